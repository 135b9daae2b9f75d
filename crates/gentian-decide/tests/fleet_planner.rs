//! The planner never orders more than an engine can hold. The simulated engines report late,
//! restart, lose replies and execute orders late.

#![allow(clippy::unwrap_used)]

mod engine_fleet;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::sync::Arc;

use gentian_config::serving::{CatalogueModel, EngineSpec, ServiceSpec, ServingConfig};
use gentian_core::peer::{EntryReport, ServingDemand, TargetId};
use gentian_core::{
    ByteSize, DomainId, FastMap, FenceNumber, InstanceId, ModelId, MonoTime, RequestRate,
    SequenceNumber, ServiceId, SlotCount, StoreRevision, TimeSpan, UpstreamId,
};
use gentian_decide::orders::{
    EngineCall, EngineOrder, EngineStateReport, FleetPlanner, OrderAction, OrderReply,
};
use gentian_decide::serving::{
    EngineModels, FleetHub, LoadedModel, UpstreamRegistration, UpstreamState, UpstreamTable,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const START: MonoTime = MonoTime::from_millis(1_000_000);
const STEP: TimeSpan = TimeSpan::from_millis(50);
const LOAD_TIME: TimeSpan = TimeSpan::from_millis(600);
const MODEL_BYTES: u64 = 70;
const ENGINE_BYTES: u64 = 150;
const ADAPTER_SLOTS: usize = 2;
const ENGINES: usize = 3;
const MODELS: usize = 8;
/// Steps by which reports lag behind the state of the engine.
const REPORT_LAG_STEPS: usize = 4;

fn service() -> ServiceId {
    "advice".parse().unwrap()
}

fn model(number: usize) -> ModelId {
    format!("m{number}").parse().unwrap()
}

/// Adapters of every second model are so large that an engine with two models holds only one of them.
fn adapter_bytes(model: &ModelId) -> u64 {
    match model.as_str().ends_with(['1', '3', '5', '7']) {
        true => 8,
        false => 1,
    }
}

fn config() -> Arc<ServingConfig> {
    let models = (0..MODELS).map(|number| {
        let spec = CatalogueModel {
            id: model(number),
            memory: ByteSize::new(MODEL_BYTES),
            adapter_memory: ByteSize::new(adapter_bytes(&model(number))),
            store_load_time: LOAD_TIME,
            disk_load_time: LOAD_TIME,
            host_load_time: LOAD_TIME,
        };
        (spec.id.clone(), spec)
    });
    let engine = EngineSpec {
        memory: ByteSize::new(ENGINE_BYTES),
        adapter_slots: ADAPTER_SLOTS,
        cache: None,
        batch_slots: SlotCount::new(16),
        store_loads_per_second: 100.0,
        models: models.collect(),
    };
    let spec = ServiceSpec {
        id: service(),
        connection_limit: SlotCount::new(100),
        cold_duration: TimeSpan::ZERO,
        cold_request_rate: 0.0,
        engine: Some(engine),
    };
    let services = FastMap::from_iter([(service(), Arc::new(spec))]);
    Arc::new(ServingConfig { services, ..ServingConfig::default() })
}

/// Actual state of a simulated engine.
#[derive(Clone, Default)]
struct SimulatedEngine {
    incarnation: u64,
    sequence: u64,
    loaded: BTreeMap<ModelId, BTreeSet<String>>,
    open: Option<(ModelId, OrderAction, MonoTime)>,
    delayed: Vec<(MonoTime, EngineOrder)>,
    reports: Vec<EngineStateReport>,
}

impl SimulatedEngine {
    fn execute(&mut self, order: &EngineOrder, now: MonoTime) -> Result<OrderReply, String> {
        self.finish(now);
        if self.open.is_some() || order.expected.get() != self.sequence {
            return Ok(OrderReply::Conflict);
        }
        let model = order.target.model.clone();
        match (&order.target.adapter, order.action) {
            (None, OrderAction::Load) => {
                let needed = self.held_bytes() + MODEL_BYTES;
                if needed > ENGINE_BYTES {
                    return Err(format!("{needed} bytes on {}", order.upstream));
                }
                self.open = Some((model, order.action, now + LOAD_TIME));
            }
            (None, OrderAction::Unload) => {
                self.open = Some((model, order.action, now + STEP));
            }
            (Some(adapter), OrderAction::Load) => {
                let count: usize = self.loaded.values().map(BTreeSet::len).sum();
                if count >= ADAPTER_SLOTS {
                    return Err(format!("{} adapters on {}", count + 1, order.upstream));
                }
                let needed = self.held_bytes() + adapter_bytes(&model);
                if needed > ENGINE_BYTES {
                    return Err(format!("{needed} bytes with an adapter on {}", order.upstream));
                }
                let Some(adapters) = self.loaded.get_mut(&model) else {
                    return Ok(OrderReply::Refused);
                };
                adapters.insert(adapter.to_string());
            }
            (Some(adapter), OrderAction::Unload) => {
                if let Some(adapters) = self.loaded.get_mut(&model) {
                    adapters.remove(adapter.as_str());
                }
            }
        }
        self.sequence += 1;
        Ok(OrderReply::Accepted)
    }

    fn held_bytes(&self) -> u64 {
        let adapters = self.loaded.iter().map(|(id, it)| adapter_bytes(id) * it.len() as u64);
        self.loaded.len() as u64 * MODEL_BYTES + adapters.sum::<u64>()
    }

    fn finish(&mut self, now: MonoTime) {
        let Some((model, action, _)) = self.open.take_if(|(_, _, end)| *end <= now) else { return };
        match action {
            OrderAction::Load => {
                self.loaded.insert(model, BTreeSet::new());
            }
            OrderAction::Unload => {
                self.loaded.remove(&model);
            }
        }
    }

    fn report(&self) -> EngineStateReport {
        let loaded = self.loaded.iter().map(|(id, adapters)| LoadedModel {
            id: id.clone(),
            adapters: adapters.iter().map(|name| name.parse().unwrap()).collect(),
        });
        EngineStateReport {
            sequence: SequenceNumber::new(self.sequence),
            is_busy: self.open.is_some(),
            models: EngineModels { loaded: loaded.collect(), ..EngineModels::default() },
            incoming: Vec::new(),
        }
    }
}

struct PlannerRun {
    random: StdRng,
    planner: FleetPlanner,
    hub: FleetHub,
    table: UpstreamTable,
    engines: Vec<SimulatedEngine>,
    loads: usize,
}

impl PlannerRun {
    fn new(seed: u64) -> Self {
        let domain: DomainId = "north".parse().unwrap();
        let mut table = UpstreamTable::new(domain, engine_fleet::bounds());
        table.update(config());
        Self {
            random: StdRng::seed_from_u64(seed),
            planner: FleetPlanner::new(config(), TimeSpan::from_secs(5)),
            hub: FleetHub::new(InstanceId::new(1)),
            table,
            engines: vec![SimulatedEngine::default(); ENGINES],
            loads: 0,
        }
    }

    fn registration(&self, number: usize) -> UpstreamRegistration {
        UpstreamRegistration {
            id: format!("engine-{number}").parse().unwrap(),
            revision: StoreRevision::default(),
            incarnation: self.engines[number].incarnation,
            service: service(),
            address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
            domain: "north".parse().unwrap(),
            version: None,
            state: UpstreamState::Ready,
            slots: SlotCount::new(16),
            cold_remaining: TimeSpan::ZERO,
            models: Some(EngineModels::default()),
        }
    }

    fn report_demand(&mut self, step: u64, now: MonoTime) {
        let target = TargetId::new(model(self.random.random_range(0..MODELS)));
        let adapters = ["a1", "a2", "a3"];
        let adapter = adapters.get(self.random.random_range(0..5)).map(|it| it.parse().unwrap());
        let demand = ServingDemand {
            service: service(),
            target: target.with_adapter(adapter),
            arrived: step,
            waiting: 1,
            slack: TimeSpan::from_secs(1),
            running: Vec::new(),
        };
        self.hub.handle_report(
            EntryReport {
                vm: "vm-1".parse().unwrap(),
                instance: InstanceId::new(2),
                sequence: SequenceNumber::new(step + 1),
                known_revision: (InstanceId::default(), SequenceNumber::default()),
                spent: Vec::new(),
                work: None,
                demands: vec![demand],
            },
            now,
        );
    }

    /// Runs one step; returns an error if an order exceeds the memory or the adapter slots of an
    /// engine.
    fn step(&mut self, step: u64, has_faults: bool) -> Result<(), String> {
        let now = START + STEP * step;
        for engine in &mut self.engines {
            engine.finish(now);
            let (due, delayed): (Vec<_>, Vec<_>) =
                engine.delayed.drain(..).partition(|(time, _)| *time <= now);
            engine.delayed = delayed;
            for (_, order) in due {
                engine.execute(&order, now)?;
            }
            let report = engine.report();
            engine.reports.push(report);
        }
        if has_faults && self.random.random_range(0..60) == 0 {
            let number = self.random.random_range(0..ENGINES);
            let incarnation = self.engines[number].incarnation + 1;
            self.engines[number] = SimulatedEngine { incarnation, ..SimulatedEngine::default() };
        }
        let registrations = (0..ENGINES).map(|number| self.registration(number)).collect();
        self.table.update_registrations(registrations, StoreRevision::new(step), now);
        self.planner.update_engines(&self.table, now);
        if step.is_multiple_of(5) {
            self.report_demand(step, now);
        }
        let uses = self.hub.target_uses(now);
        let fence = Some(FenceNumber::new(7));
        for call in self.planner.decide(&uses, &self.table, fence, now) {
            self.handle_call(call, has_faults, now)?;
        }
        Ok(())
    }

    fn handle_call(
        &mut self,
        call: EngineCall,
        has_faults: bool,
        now: MonoTime,
    ) -> Result<(), String> {
        let number = |upstream: &UpstreamId| -> usize {
            upstream.as_str().strip_prefix("engine-").unwrap().parse().unwrap()
        };
        match call {
            EngineCall::Report { upstream, .. } => {
                let reports = &self.engines[number(&upstream)].reports;
                let report =
                    reports.len().checked_sub(REPORT_LAG_STEPS).and_then(|at| reports.get(at));
                let is_lost = has_faults && self.random.random_range(0..10) == 0;
                let report = report.cloned().filter(|_| !is_lost);
                self.planner.handle_report(&upstream, report, now);
            }
            EngineCall::Order(order) => {
                // A random number that selects the fault, if any.
                let case = if has_faults { self.random.random_range(0..10) } else { 9 };
                let delay = TimeSpan::from_millis(self.random.random_range(100..4_000));
                let engine = &mut self.engines[number(&order.upstream)];
                let reply = match case {
                    // No reply: executed late (0), executed at once (1), or never executed (2).
                    0 => {
                        engine.delayed.push((now + delay, order.clone()));
                        OrderReply::Unknown
                    }
                    1 => {
                        engine.execute(&order, now)?;
                        OrderReply::Unknown
                    }
                    2 => OrderReply::Unknown,
                    _ => engine.execute(&order, now)?,
                };
                let is_load = order.target.adapter.is_none() && order.action == OrderAction::Load;
                self.loads += usize::from(is_load && reply == OrderReply::Accepted);
                self.planner.handle_reply(&order, reply, now);
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    /// No order exceeds what its engine can hold, whenever it is executed.
    #[test]
    fn memory_is_never_overcommitted(seed in any::<u64>()) {
        let mut run = PlannerRun::new(seed);
        for step in 0..600 {
            if let Err(excess) = run.step(step, true) {
                return Err(TestCaseError::fail(format!("step {step}: {excess}")));
            }
        }
        prop_assert!(run.loads > 3, "only {} loads", run.loads);
    }
}

#[test]
fn requested_models_are_loaded_soon() {
    let mut run = PlannerRun::new(1);
    for step in 0..40 {
        run.step(step, false).unwrap();
    }
    let loaded: usize = run.engines.iter().map(|engine| engine.loaded.len()).sum();
    assert!(loaded >= 2, "{loaded} models loaded after two seconds");
}

/// The engine is busy all the time, and counts reports as requests. It accepts 11 in this time, at
/// least four of which must be left to callers.
#[rstest]
#[case::without_a_limit(None, 20..=40)]
#[case::one_a_second(Some(1_000), 2..=6)]
#[case::fifty_a_second(Some(50_000), 20..=40)]
fn reports_used_up_the_limit_that_an_engine_named(
    #[case] limit_millis: Option<u64>,
    #[case] expected: RangeInclusive<usize>,
) {
    let mut table = UpstreamTable::new("north".parse().unwrap(), engine_fleet::bounds());
    let upstream: UpstreamId = "i-0".parse().unwrap();
    let registration = UpstreamRegistration {
        id: upstream.clone(),
        revision: StoreRevision::new(1),
        incarnation: 1,
        service: service(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "north".parse().unwrap(),
        version: None,
        state: UpstreamState::Ready,
        slots: SlotCount::new(16),
        cold_remaining: TimeSpan::ZERO,
        models: Some(EngineModels::default()),
    };
    table.update_registrations(vec![registration], StoreRevision::new(1), START);
    let limit = limit_millis.map(RequestRate::from_millis);
    table.record_limit(&upstream, limit, START, START + STEP);
    let mut planner = FleetPlanner::new(config(), TimeSpan::from_secs(5));
    planner.update_engines(&table, START);
    let busy = EngineStateReport { is_busy: true, ..SimulatedEngine::default().report() };
    let mut reports = 0;
    for step in 0..80 {
        let now = START + STEP * step;
        for call in planner.decide(&FastMap::default(), &table, None, now) {
            assert!(matches!(call, EngineCall::Report { .. }), "{call:?}");
            reports += 1;
            planner.handle_report(&upstream, Some(busy.clone()), now);
        }
    }
    assert!(expected.contains(&reports), "{reports} reports in 4 s");
}
