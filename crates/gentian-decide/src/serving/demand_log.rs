//! Demand for models and adapters at an entry, as it reports it to the hub.

use gentian_core::peer::{ServingDemand, TargetId};
use gentian_core::{FastMap, FastSet, MonoTime, ServiceId, TimeSpan, UpstreamId};

use super::ServingCall;
use super::queue_deadline::queue_deadline;

/// Time for which a target stays in the reports after its last request.
const DEMAND_RETENTION: TimeSpan = TimeSpan::from_secs(10);

type TargetKey = (ServiceId, TargetId);

#[derive(Debug, Default)]
struct TargetRecord {
    arrived: u64,
    last_arrival: MonoTime,
    /// Value of `arrived` in the last report to the hub.
    reported_arrivals: u64,
    /// Whether the last report to the hub included waiting requests.
    is_wait_reported: bool,
}

/// Requests for each model or adapter, and what of them was reported to the hub.
#[derive(Debug, Default)]
pub(super) struct DemandLog {
    targets: FastMap<TargetKey, TargetRecord>,
}

impl DemandLog {
    /// Records that a request arrived.
    pub(super) fn record_arrival(&mut self, call: &ServingCall, now: MonoTime) {
        if let Some(key) = target_key(call) {
            let record = self.targets.entry(key).or_default();
            record.arrived += 1;
            record.last_arrival = now;
        }
    }

    /// Returns whether the last report included no request that waits for the target of `call`.
    pub(super) fn is_unreported(&self, call: &ServingCall) -> bool {
        let record = target_key(call).and_then(|key| self.targets.get(&key));
        record.is_some_and(|record| !record.is_wait_reported)
    }

    /// Returns the demand for the targets that requests use, wait for or have requested since the
    /// last report, and marks it as reported.
    pub(super) fn report(
        &mut self,
        waiting: &[ServingCall],
        running: &[(&ServingCall, &UpstreamId)],
        now: MonoTime,
    ) -> Vec<ServingDemand> {
        let running_calls = running.iter().map(|(call, _)| *call);
        let in_use: FastSet<TargetKey> =
            running_calls.chain(waiting).filter_map(target_key).collect();
        self.targets.retain(|key, record| {
            now.since(record.last_arrival) < DEMAND_RETENTION || in_use.contains(key)
        });
        let is_included = |key: &TargetKey, record: &TargetRecord| {
            in_use.contains(key) || record.arrived != record.reported_arrivals
        };
        let included = self.targets.iter().filter(|(key, record)| is_included(key, record));
        let demands = included
            .map(|(key, record)| target_demand(key, record.arrived, waiting, running, now))
            .collect();
        let awaited: FastSet<TargetKey> = waiting.iter().filter_map(target_key).collect();
        for (key, record) in &mut self.targets {
            record.reported_arrivals = record.arrived;
            record.is_wait_reported = awaited.contains(key);
        }
        demands
    }
}

fn target_demand(
    key: &TargetKey,
    arrived: u64,
    waiting: &[ServingCall],
    running: &[(&ServingCall, &UpstreamId)],
    now: MonoTime,
) -> ServingDemand {
    let is_for_target = |call: &ServingCall| target_key(call).as_ref() == Some(key);
    let waiting: Vec<&ServingCall> = waiting.iter().filter(|call| is_for_target(call)).collect();
    let slack = waiting.iter().map(|call| queue_deadline(call).since(now)).min();
    let mut running_counts: FastMap<UpstreamId, u32> = FastMap::default();
    for (_, upstream) in running.iter().filter(|(call, _)| is_for_target(call)) {
        *running_counts.entry((*upstream).clone()).or_default() += 1;
    }
    ServingDemand {
        service: key.0.clone(),
        target: key.1.clone(),
        arrived,
        waiting: u32::try_from(waiting.len()).unwrap_or(u32::MAX),
        slack: slack.unwrap_or(TimeSpan::ZERO),
        running: running_counts.into_iter().collect(),
    }
}

fn target_key(call: &ServingCall) -> Option<TargetKey> {
    Some((call.service.clone(), call.target.clone()?))
}
