//! Runs all flows of a scenario.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use eyre::eyre;
use gentian_core::TimeSpan;
use gentian_http::WorkerPool;

use crate::arrival_plan::ArrivalPlan;
use crate::call_result::{CallOutcome, CallResult};
use crate::call_runner::run_call;
use crate::flow_report::FlowReport;
use crate::flow_spec::FlowSpec;
use crate::load_scenario::LoadScenario;

type SharedReport = Arc<Mutex<FlowReport>>;

/// Runs all flows concurrently and returns their reports in the order of the scenario.
///
/// # Errors
///
/// Returns an error if a thread cannot be started.
pub(crate) fn run_load(scenario: &LoadScenario) -> eyre::Result<Vec<FlowReport>> {
    let started = Instant::now();
    let mut reports = Vec::new();
    std::thread::scope(|scope| -> eyre::Result<()> {
        for (i, flow) in scenario.flows.iter().enumerate() {
            let report: SharedReport = Arc::new(Mutex::new(FlowReport::new(&flow.name)?));
            reports.push(Arc::clone(&report));
            let seed = scenario.seed.wrapping_add(i as u64);
            let plan = ArrivalPlan::new(seed, flow, &scenario.targets);
            let work = move || match flow.rate {
                0 => keep_open(scenario, flow, plan, &report, started),
                _ => send_arrivals(scenario, flow, plan, &report, started),
            };
            std::thread::Builder::new().name(flow.name.clone()).spawn_scoped(scope, work)?;
        }
        Ok(())
    })?;
    let into_report = |report: SharedReport| {
        let inner = Arc::into_inner(report).ok_or_else(|| eyre!("a call is still running"))?;
        Ok(inner.into_inner().unwrap_or_else(PoisonError::into_inner))
    };
    reports.into_iter().map(into_report).collect()
}

/// Sends calls at their planned times, whether or not earlier calls have ended (open loop).
fn send_arrivals(
    scenario: &LoadScenario,
    flow: &FlowSpec,
    mut plan: ArrivalPlan,
    report: &SharedReport,
    started: Instant,
) {
    let mut pool = WorkerPool::new(scenario.call_limit);
    let flow = Arc::new(flow.clone());
    loop {
        let call = plan.next_call(&flow);
        if call.at >= flow.end.unwrap_or(scenario.span).min(scenario.span) {
            break;
        }
        let wait = Duration::from(call.at).saturating_sub(started.elapsed());
        std::thread::sleep(wait);
        let (shared, call_flow) = (Arc::clone(report), Arc::clone(&flow));
        let is_sent = pool.run(move || add(&shared, &run_call(&call_flow, &call)));
        if !is_sent {
            add(report, &CallResult::new(CallOutcome::NotSent, TimeSpan::ZERO));
        }
    }
    pool.join();
}

/// Keeps a fixed number of concurrent calls until the run ends; `start` and `end` of the flow are
/// not used.
fn keep_open(
    scenario: &LoadScenario,
    flow: &FlowSpec,
    mut plan: ArrivalPlan,
    report: &SharedReport,
    started: Instant,
) {
    let end = Duration::from(scenario.span);
    std::thread::scope(|scope| {
        for _ in 0..flow.open {
            let mut call = plan.next_call(flow);
            let mut caller_plan = ArrivalPlan::new(call.number, flow, &scenario.targets);
            scope.spawn(move || {
                while started.elapsed() < end {
                    add(report, &run_call(flow, &call));
                    call = caller_plan.next_call(flow);
                }
            });
        }
    });
}

fn add(report: &SharedReport, result: &CallResult) {
    report.lock().unwrap_or_else(PoisonError::into_inner).add(result);
}
