//! Under random late, lost and duplicate orders, failed loads, engine restarts and changes of the
//! holder, no engine is overcommitted and the limits of the weight store hold.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::sync::Arc;

use gentian_config::{ConfigSet, parse_config};
use gentian_core::peer::{ObjectPhase, PlacementRequest, SeatId, TargetDemand, TargetId};
use gentian_core::{
    BootId, ByteSize, FenceNumber, InstanceId, MonoTime, SequenceNumber, TimeSpan, UpstreamId,
};
use gentian_decide::placement::{
    EngineReport, OrderKind, OrderOutcome, PlacementOrder, PlacementPlanner, ReportedObject,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const STEP: TimeSpan = TimeSpan::from_millis(25);
const STEPS: u64 = 4_000;
const POLL_STEPS: u64 = 8;
const START: MonoTime = MonoTime::from_millis(1_000_000_000);
const ENGINES: usize = 3;
const MODELS: usize = 8;
const MEMORY: ByteSize = ByteSize::from_mib(40 * 1024);

struct Engine {
    id: UpstreamId,
    boot: u64,
    objects: BTreeMap<TargetId, Option<MonoTime>>,
}

#[derive(Clone)]
struct FaultPlan {
    holder_changes: bool,
    restarts: bool,
    lost_replies: u32,
    max_delay_millis: u64,
}

struct Simulation {
    random: SmallRng,
    plan: FaultPlan,
    set: Arc<ConfigSet>,
    now: MonoTime,
    planner: PlacementPlanner,
    fence: FenceNumber,
    engines: Vec<Engine>,
    orders: BTreeMap<(MonoTime, u64), PlacementOrder>,
    outcomes: BTreeMap<(MonoTime, u64), (PlacementOrder, OrderOutcome)>,
    counter: u64,
    sequence: u64,
    first_violation: Option<String>,
    loads: u64,
}

fn config() -> Arc<ConfigSet> {
    let mut text = "[fleet main]\nload_interval = 100ms\nmodel_loads = 4\nadapter_loads = 30\n\
                    [domain d]\n"
        .to_owned();
    for i in 0..ENGINES {
        text += &format!(
            "[upstream e{i}]\nkind = engine\naddress = 127.0.0.1:{}\ndomain = d\nslots = 8\n",
            i + 1
        );
    }
    for i in 0..MODELS {
        text += &format!("[model m{i}]\nmemory = 14GiB\n");
        text += &format!("[adapter a{i}]\nbase = m{i}\nmemory = 100MiB\n");
    }
    let models: Vec<String> = (0..MODELS).map(|i| format!("m{i}")).collect();
    text += &format!(
        "[route r]\npath = /r\nkind = engine\nopen = yes\nupstreams = e0, e1, e2\nmodels = {}\n",
        models.join(", ")
    );
    Arc::new(parse_config(&text).unwrap())
}

fn target(i: usize) -> TargetId {
    TargetId::new(format!("m{i}").parse().unwrap())
        .with_adapter(Some(format!("a{i}").parse().unwrap()))
}

impl Simulation {
    fn new(seed: u64, plan: FaultPlan) -> Self {
        let set = config();
        let fence = FenceNumber::new(1);
        let mut planner = PlacementPlanner::new(seat(&set), fence, START);
        planner.update(Arc::clone(&set));
        let engine = |i: usize| Engine {
            id: format!("e{i}").parse().unwrap(),
            boot: i as u64,
            objects: BTreeMap::new(),
        };
        Self {
            random: SmallRng::seed_from_u64(seed),
            plan,
            set,
            now: START,
            planner,
            fence,
            engines: (0..ENGINES).map(engine).collect(),
            orders: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            counter: 0,
            sequence: 0,
            first_violation: None,
            loads: 0,
        }
    }

    fn run(&mut self, wanted: impl Fn(u64, &mut SmallRng) -> Vec<usize>) {
        for step in 0..STEPS {
            self.now = self.now + STEP;
            if step < STEPS * 3 / 4 {
                self.cause_faults();
            }
            self.run_engines();
            if step % POLL_STEPS == 0 {
                self.report();
            }
            while self.outcomes.first_key_value().is_some_and(|(key, _)| key.0 <= self.now) {
                let (_, (order, outcome)) = self.outcomes.pop_first().unwrap();
                self.planner.handle_outcome(&order.upstream, order.id, outcome, self.now);
            }
            let demands = wanted(step, &mut self.random);
            self.send_request(&demands);
            for order in self.planner.decide(self.now) {
                self.send(order);
            }
            self.check();
        }
    }

    fn cause_faults(&mut self) {
        if self.plan.holder_changes && self.random.random_range(0..800) == 0 {
            self.fence = self.fence.next();
            self.planner = PlacementPlanner::new(seat(&self.set), self.fence, self.now);
            self.planner.update(Arc::clone(&self.set));
            self.outcomes.clear();
        }
        if self.plan.restarts && self.random.random_range(0..800) == 0 {
            let i = self.random.random_range(0..ENGINES);
            self.engines[i].boot += 100;
            self.engines[i].objects.clear();
            let id = self.engines[i].id.clone();
            self.orders.retain(|_, order| order.upstream != id);
        }
    }

    fn send(&mut self, order: PlacementOrder) {
        let at = self.now
            + TimeSpan::from_millis(self.random.random_range(1..=self.plan.max_delay_millis));
        self.counter += 1;
        self.orders.insert((at, self.counter), order);
    }

    fn run_engines(&mut self) {
        let now = self.now;
        while self.orders.first_key_value().is_some_and(|(key, _)| key.0 <= now) {
            let (_, order) = self.orders.pop_first().unwrap();
            let load_time = self.random.random_range(300..2_500);
            let is_failed = self.plan.restarts && self.random.random_range(0..20) == 0;
            let engine =
                self.engines.iter_mut().find(|engine| engine.id == order.upstream).unwrap();
            let (span, outcome) = match order.kind {
                OrderKind::Unload => {
                    engine.objects.remove(&order.target);
                    (1, OrderOutcome::Done)
                }
                OrderKind::Load if engine.objects.contains_key(&order.target) => {
                    (1, OrderOutcome::Done)
                }
                OrderKind::Load if is_failed || !has_base(engine, &order.target, now) => {
                    (1, OrderOutcome::Refused)
                }
                OrderKind::Load => {
                    let ready = now + TimeSpan::from_millis(load_time);
                    engine.objects.insert(order.target.clone(), Some(ready));
                    self.loads += 1;
                    (load_time, OrderOutcome::Done)
                }
            };
            let is_lost = self.random.random_range(0..100) < self.plan.lost_replies;
            let outcome = if is_lost { OrderOutcome::Unknown } else { outcome };
            self.counter += 1;
            self.outcomes
                .insert((now + TimeSpan::from_millis(span), self.counter), (order, outcome));
        }
    }

    fn report(&mut self) {
        for engine in &self.engines {
            let objects = engine.objects.iter().map(|(target, ready)| ReportedObject {
                target: target.clone(),
                phase: phase(*ready, self.now),
                memory: self.memory(target),
            });
            let objects: Vec<ReportedObject> = objects.collect();
            let report = EngineReport {
                upstream: engine.id.clone(),
                boot: BootId::new(engine.boot),
                memory_total: MEMORY,
                memory_used: objects.iter().map(|object| object.memory).sum(),
                objects,
            };
            self.planner.handle_report(report, self.now);
        }
    }

    fn send_request(&mut self, demands: &[usize]) {
        self.sequence += 1;
        let ready = |i: usize| {
            let mut engines = self.engines.iter();
            engines.any(|engine| {
                engine
                    .objects
                    .get(&target(i))
                    .is_some_and(|r| phase(*r, self.now) == ObjectPhase::Loaded)
            })
        };
        let demand = |i: &usize| TargetDemand {
            target: target(*i),
            waiting: u32::from(!ready(*i)),
            running: u32::from(ready(*i)),
            slack: TimeSpan::from_secs(20),
        };
        let request = PlacementRequest {
            seat: seat(&self.set),
            entry: InstanceId::new(1),
            sequence: SequenceNumber::new(self.sequence),
            fence: self.fence,
            known_revision: SequenceNumber::default(),
            demands: demands.iter().map(demand).collect(),
        };
        self.planner.handle_request(&request, self.now);
    }

    fn memory(&self, target: &TargetId) -> ByteSize {
        self.set.memory_of(&target.model, target.adapter.as_ref()).unwrap()
    }

    fn check(&mut self) {
        let mut loading = [0, 0];
        for engine in &self.engines {
            let used: ByteSize = engine.objects.keys().map(|target| self.memory(target)).sum();
            if used > MEMORY {
                self.first_violation.get_or_insert(format!(
                    "{} has {used} of {MEMORY} at {:?}",
                    engine.id, self.now
                ));
            }
            for (target, ready) in &engine.objects {
                let is_loading = phase(*ready, self.now) == ObjectPhase::Loading;
                loading[usize::from(target.adapter.is_some())] += usize::from(is_loading);
            }
        }
        if loading[0] > 4 || loading[1] > 30 {
            self.first_violation.get_or_insert(format!("{loading:?} loads at {:?}", self.now));
        }
    }

    fn replicas(&self, target: &TargetId) -> usize {
        self.engines.iter().filter(|engine| engine.objects.contains_key(target)).count()
    }
}

fn seat(set: &ConfigSet) -> SeatId {
    set.fleet.placement_seat()
}

fn phase(ready: Option<MonoTime>, now: MonoTime) -> ObjectPhase {
    if ready.is_some_and(|ready| ready > now) { ObjectPhase::Loading } else { ObjectPhase::Loaded }
}

fn has_base(engine: &Engine, target: &TargetId, now: MonoTime) -> bool {
    let base = engine.objects.get(&target.base());
    target.adapter.is_none() || base.is_some_and(|r| phase(*r, now) == ObjectPhase::Loaded)
}

/// Returns the targets with demand: two or three at a time, and different ones every ten seconds.
fn changing_demand(step: u64, random: &mut SmallRng) -> Vec<usize> {
    let first = (step / 400) as usize % MODELS;
    let has_third = random.random_range(0..40) == 0;
    let mut wanted = vec![first, (first + 3) % MODELS];
    wanted.extend(has_third.then(|| random.random_range(0..MODELS)));
    wanted.dedup();
    wanted
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 50, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn memory_and_store_limits_hold_with_every_fault(seed: u64) {
        let plan = FaultPlan {
            holder_changes: true, restarts: true, lost_replies: 10, max_delay_millis: 2_000,
        };
        let mut simulation = Simulation::new(seed, plan);
        simulation.run(changing_demand);
        prop_assert_eq!(&simulation.first_violation, &None);
        prop_assert!(simulation.loads > 4, "only {} loads", simulation.loads);
    }

    #[test]
    fn one_load_serves_a_burst(seed: u64, wanted in 0..MODELS) {
        let plan = FaultPlan {
            holder_changes: false, restarts: false, lost_replies: 20, max_delay_millis: 400,
        };
        let mut simulation = Simulation::new(seed, plan);
        simulation.run(|_, _| vec![wanted]);
        prop_assert_eq!(simulation.loads, 2, "the base model and the adapter");
        prop_assert_eq!(simulation.replicas(&target(wanted)), 1);
    }

    #[test]
    fn wanted_target_is_loaded_once_faults_end(seed: u64, wanted in 0..MODELS) {
        let plan = FaultPlan {
            holder_changes: true, restarts: true, lost_replies: 10, max_delay_millis: 2_000,
        };
        let mut simulation = Simulation::new(seed, plan);
        simulation.run(|step, random| match step > STEPS / 2 {
            true => vec![wanted],
            false => changing_demand(step, random),
        });
        prop_assert!(simulation.replicas(&target(wanted)) >= 1);
    }
}

#[test]
fn store_limits_hold_for_a_cold_burst_of_every_model() {
    let plan =
        FaultPlan { holder_changes: false, restarts: false, lost_replies: 0, max_delay_millis: 50 };
    let mut simulation = Simulation::new(1, plan);
    simulation.run(|_, _| (0..MODELS).collect());
    assert_eq!(simulation.first_violation, None);
    assert!(simulation.loads >= 6, "only {} loads", simulation.loads);
}
