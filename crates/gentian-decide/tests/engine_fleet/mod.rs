//! Simulated fleet of engines with the real planner, hub, upstream table and call scheduler: one
//! entry and random requests. Time advances in ticks.

#![allow(clippy::unwrap_used, dead_code)]

mod bounds;
mod replay_setup;
mod simulated_engine;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use gentian_config::serving::{
    CatalogueModel, EngineSpec, RetrySafety, ServiceSpec, ServiceWeight, ServingConfig,
    ServingRoute,
};
use gentian_core::peer::{EntryReport, LimitNotice, TargetId};
use gentian_core::{
    ByteSize, FastMap, FenceNumber, InstanceId, ModelId, MonoTime, RequestId, RequestRate,
    SequenceNumber, ServiceId, SlotCount, StoreRevision, TimeSpan, TokenCount, UpstreamId,
};
use gentian_decide::limits::PermitLedger;
use gentian_decide::orders::{EngineCall, FleetPlanner, OrderAction, OrderReply};
use gentian_decide::quarantine::WorkQuarantine;
use gentian_decide::serving::{
    AttemptOutcome, CallScheduler, EngineModels, FleetHub, FleetPartition, ScheduleDecision,
    ServingCall, UpstreamRegistration, UpstreamState, UpstreamTable,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub(crate) use bounds::bounds;
use simulated_engine::{
    ADAPTER_SLOTS, BATCH_SLOTS, EngineRequest, MODEL_CAPACITY, SimulatedEngine,
};

/// Tick of the simulated clock.
pub(crate) const TICK: TimeSpan = TimeSpan::from_millis(10);
/// Times to load weights from host memory, from disk and from the weight store.
pub(crate) const HOST_LOAD_TIME: TimeSpan = TimeSpan::from_millis(700);
pub(crate) const DISK_LOAD_TIME: TimeSpan = TimeSpan::from_millis(1_400);
pub(crate) const STORE_LOAD_TIME: TimeSpan = TimeSpan::from_millis(7_800);
const START: MonoTime = MonoTime::from_millis(1_000_000);
/// Ticks between two entry reports.
const ENTRY_REPORT_TICKS: u64 = 10;
/// Ticks by which engine reports lag behind.
const ENGINE_REPORT_LAG_TICKS: usize = 15;
pub(crate) const MODEL_BYTES: u64 = 70;
pub(crate) const ENGINE_BYTES: u64 = MODEL_BYTES * MODEL_CAPACITY as u64 + 10;
const HUB: InstanceId = InstanceId::new(1);

/// One kind of request.
#[derive(Clone, Debug)]
pub(crate) struct RequestKind {
    /// Requests per second.
    pub(crate) rate: f64,
    /// Prompt tokens and generated tokens of a request.
    pub(crate) tokens: (f64, f64),
    /// Latest time to the first token that counts as on time, and time to the deadline.
    pub(crate) target_latency: TimeSpan,
    pub(crate) deadline: TimeSpan,
    /// Fraction of the requests that name an adapter of the model, and the number of its adapters.
    pub(crate) adapters: (f64, usize),
    /// Requested models with their weights.
    pub(crate) models: Vec<(usize, f64)>,
}

/// Outcomes of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KindCount {
    pub(crate) asked: u32,
    pub(crate) on_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
}

/// An accepted load of a model.
#[derive(Clone, Debug)]
pub(crate) struct LoadRecord {
    /// Time since the start of the simulation.
    pub(crate) time: TimeSpan,
    pub(crate) model: ModelId,
    pub(crate) upstream: UpstreamId,
    pub(crate) from_store: bool,
}

struct OpenRequest {
    kind: usize,
    arrived: MonoTime,
    model: ModelId,
    tokens: (f64, f64),
}

/// Simulated fleet with one entry.
pub(crate) struct EngineFleet {
    random: SmallRng,
    now: MonoTime,
    ticks: u64,
    planner: FleetPlanner,
    hub: FleetHub,
    table: UpstreamTable,
    scheduler: CallScheduler,
    quarantine: WorkQuarantine,
    route: Arc<ServingRoute>,
    engines: BTreeMap<UpstreamId, SimulatedEngine>,
    reports: BTreeMap<UpstreamId, VecDeque<gentian_decide::orders::EngineStateReport>>,
    open: FastMap<RequestId, OpenRequest>,
    next_request: u64,
    ledger: PermitLedger,
    sent: FastMap<UpstreamId, usize>,
    /// Outcomes of requests, by kind.
    pub(crate) counts: Vec<KindCount>,
    /// Number of loads from the weight store.
    pub(crate) store_loads: usize,
    /// Highest number of requests at one engine.
    pub(crate) max_engine_requests: usize,
    /// Accepted loads of models.
    pub(crate) loads: Vec<LoadRecord>,
    /// Number of orders, and of those that engines did not accept.
    pub(crate) orders: (usize, usize),
    /// Highest number of loads from the weight store at the same time.
    pub(crate) max_store_loads: usize,
    /// Loads that the weight store serves at full speed; more share that speed.
    store_concurrency: usize,
    /// Tokens at the beginning of every prompt of a model that an engine reads only once.
    shared_tokens: f64,
    /// Engines that leave, and when they are gone.
    draining: BTreeMap<UpstreamId, MonoTime>,
}

pub(crate) fn model(number: usize) -> ModelId {
    format!("m{number}").parse().unwrap()
}

fn service() -> ServiceId {
    "advice".parse().unwrap()
}

fn upstream(number: usize) -> UpstreamId {
    format!("engine-{number:03}").parse().unwrap()
}

fn engine_number(upstream: &UpstreamId) -> usize {
    upstream.as_str().strip_prefix("engine-").unwrap().parse().unwrap()
}

fn config(models: usize, adapter_bytes: u64) -> Arc<ServingConfig> {
    let models = (0..models).map(|number| {
        let spec = CatalogueModel {
            id: model(number),
            memory: ByteSize::new(MODEL_BYTES),
            adapter_memory: ByteSize::new(adapter_bytes),
            store_load_time: STORE_LOAD_TIME,
            disk_load_time: DISK_LOAD_TIME,
            host_load_time: HOST_LOAD_TIME,
        };
        (spec.id.clone(), spec)
    });
    let engine = EngineSpec {
        memory: ByteSize::new(ENGINE_BYTES),
        adapter_slots: ADAPTER_SLOTS,
        cache: None,
        batch_slots: SlotCount::new(BATCH_SLOTS as u64),
        store_loads_per_second: 30.0,
        models: models.collect(),
    };
    let spec = ServiceSpec {
        id: service(),
        connection_limit: SlotCount::new(800),
        cold_duration: TimeSpan::ZERO,
        cold_request_rate: 0.0,
        engine: Some(engine),
    };
    let services = FastMap::from_iter([(service(), Arc::new(spec))]);
    Arc::new(ServingConfig { services, ..ServingConfig::default() })
}

impl EngineFleet {
    /// Creates a fleet in which each engine has `disk_models` models on disk: the first
    /// [`MODEL_CAPACITY`] are spread evenly over the engines and loaded, the others are random.
    pub(crate) fn new(seed: u64, engines: usize, models: usize, disk_models: usize) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let config = config(models, 0);
        let mut table = UpstreamTable::new("north".parse().unwrap(), bounds());
        table.update(Arc::clone(&config));
        table.update_entry_index(0, 1);
        let mut scheduler = CallScheduler::new(bounds());
        scheduler.quotas.update_partition(FleetPartition { reachable: 1, total: 1 }, START);
        let mut all = BTreeMap::new();
        for number in 0..engines {
            let mut engine = SimulatedEngine::default();
            for index in 0..disk_models {
                let model_number = match index < MODEL_CAPACITY {
                    true => (number * MODEL_CAPACITY + index) % models,
                    false => random.random_range(0..models),
                };
                if index < MODEL_CAPACITY {
                    engine.loaded.entry(model(model_number)).or_default();
                }
                engine.on_disk.push(model(model_number));
            }
            all.insert(upstream(number), engine);
        }
        Self {
            random,
            now: START,
            ticks: 0,
            planner: FleetPlanner::new(config, TimeSpan::from_secs(5)),
            hub: FleetHub::new(HUB),
            table,
            scheduler,
            quarantine: WorkQuarantine::new("vm-0".parse().unwrap()),
            route: Arc::new(ServingRoute {
                id: "plans".parse().unwrap(),
                host: "plans.example".into(),
                path_prefix: "/".into(),
                kind: RetrySafety::Stream { is_resumable: true },
                timeout: TimeSpan::from_secs(20),
                target_latency: TimeSpan::ZERO,
                abandon_time: TimeSpan::from_secs(60),
                max_attempts: 2,
                priority: 0,
                services: vec![ServiceWeight { service: service(), weight: 1 }],
                allows_anonymous: true,
            }),
            engines: all,
            reports: BTreeMap::new(),
            open: FastMap::default(),
            next_request: 0,
            ledger: PermitLedger::new(MonoTime::ORIGIN),
            sent: FastMap::default(),
            counts: Vec::new(),
            store_loads: 0,
            max_engine_requests: 0,
            loads: Vec::new(),
            orders: (0, 0),
            max_store_loads: 0,
            store_concurrency: usize::MAX,
            shared_tokens: 0.0,
            draining: BTreeMap::new(),
        }
    }

    /// Runs requests of these kinds for `span`.
    ///
    /// # Panics
    ///
    /// Panics if an engine is ordered to load more than it can hold.
    pub(crate) fn run(&mut self, kinds: &[RequestKind], span: TimeSpan) {
        self.counts.resize(kinds.len().max(self.counts.len()), KindCount::default());
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.ticks += 1;
            self.run_engines(kinds);
            if self.ticks.is_multiple_of(60) || self.ticks == 1 {
                self.update_table();
            }
            self.submit_requests(kinds);
            self.run_planner();
            self.apply_decisions();
        }
    }

    /// Resets the counted outcomes and the highest number of requests.
    pub(crate) fn reset_counts(&mut self) {
        self.counts.iter_mut().for_each(|count| *count = KindCount::default());
        self.max_engine_requests = 0;
    }

    /// Returns the number of engines that serve a model.
    pub(crate) fn copies(&self, number: usize) -> usize {
        self.engines.values().filter(|engine| engine.serves(&model(number))).count()
    }

    /// Has an engine name a limit of requests for all entries together.
    pub(crate) fn name_limit(&mut self, number: usize, limit: RequestRate) {
        let (upstream, age) = (upstream(number), TimeSpan::ZERO);
        let notice = LimitNotice { upstream, incarnation: 1, limit: Some(limit), age };
        assert!(self.table.apply_limit(&notice, self.now));
    }

    /// Returns whether an engine serves a model.
    pub(crate) fn serves(&self, number: usize, model_number: usize) -> bool {
        self.engines[&upstream(number)].serves(&model(model_number))
    }

    /// Returns the requests that were sent to an engine.
    pub(crate) fn sent(&self, number: usize) -> usize {
        self.sent.get(&upstream(number)).copied().unwrap_or(0)
    }

    fn update_table(&mut self) {
        let registrations =
            self.engines.keys().map(|id| (engine_number(id), id)).map(|(number, id)| {
                UpstreamRegistration {
                    id: id.clone(),
                    revision: StoreRevision::default(),
                    incarnation: 1,
                    service: service(),
                    address: format!("10.0.{}.{}:80", number / 250, number % 250 + 1)
                        .parse()
                        .unwrap(),
                    domain: "north".parse().unwrap(),
                    version: None,
                    state: match self.draining.get(id) {
                        Some(end) => {
                            UpstreamState::Draining { remaining: Some(end.since(self.now)) }
                        }
                        None => UpstreamState::Ready,
                    },
                    slots: SlotCount::new(BATCH_SLOTS as u64),
                    cold_remaining: TimeSpan::ZERO,
                    models: Some(EngineModels::default()),
                }
            });
        self.table.update_registrations(
            registrations.collect(),
            StoreRevision::new(self.ticks),
            self.now,
        );
        self.planner.update_engines(&self.table, self.now);
    }

    fn run_engines(&mut self, kinds: &[RequestKind]) {
        self.remove_drained();
        self.share_store();
        let ids: Vec<UpstreamId> = self.engines.keys().cloned().collect();
        for id in ids {
            let engine = self.engines.get_mut(&id).unwrap();
            let events = engine.tick(self.now);
            self.max_engine_requests = self.max_engine_requests.max(engine.requests.len());
            let lagged_reports = self.reports.entry(id).or_default();
            lagged_reports.push_back(engine.report());
            if lagged_reports.len() > ENGINE_REPORT_LAG_TICKS {
                lagged_reports.pop_front();
            }
            for request in events.first_tokens {
                self.scheduler.record_response_start(request, &mut self.table, self.now);
                let open = &self.open[&request];
                let (latency, kind) = (self.now.since(open.arrived), open.kind);
                let count = &mut self.counts[kind];
                match latency <= kinds[kind].target_latency {
                    true => count.on_time += 1,
                    false => count.late += 1,
                }
            }
            for request in events.ended {
                self.open.remove(&request);
                let outcome = AttemptOutcome::Served(TimeSpan::ZERO);
                self.scheduler.end_attempt(request, outcome, &mut self.table, self.now);
            }
        }
    }

    fn submit_requests(&mut self, kinds: &[RequestKind]) {
        for (number, kind) in kinds.iter().enumerate() {
            if self.random.random_range(0.0..1.0) >= kind.rate * TICK.as_secs_f64() {
                continue;
            }
            self.counts[number].asked += 1;
            let sum: f64 = kind.models.iter().map(|(_, weight)| weight).sum();
            let mut left = self.random.random_range(0.0..sum);
            let requested = kind.models.iter().find(|(_, weight)| {
                left -= weight;
                left <= 0.0
            });
            let requested = model(requested.map_or(0, |(requested, _)| *requested));
            let has_adapter = self.random.random_range(0.0..1.0) < kind.adapters.0;
            let adapter = has_adapter.then(|| {
                format!("a{}", self.random.random_range(0..kind.adapters.1)).parse().unwrap()
            });
            self.next_request += 1;
            let id = RequestId::new(self.next_request);
            let call = ServingCall {
                id,
                route: Arc::new(ServingRoute {
                    target_latency: kind.target_latency,
                    ..ServingRoute::clone(&self.route)
                }),
                service: service(),
                organisation: None,
                target: Some(TargetId::new(requested).with_adapter(adapter)),
                cost: TokenCount::new(1),
                prompt_tokens: kind.tokens.0 as u32,
                shared_prefix: None,
                shared_parts: Vec::new(),
                request: None,
                stream: None,
                is_resuming: false,
                origin: None,
                received: self.now,
                queued: self.now,
                deadline: self.now + kind.deadline,
                tried: Vec::new(),
                possible_executions: 0,
                is_charged: false,
            };
            let model = call.target.as_ref().unwrap().model.clone();
            let open = OpenRequest { kind: number, arrived: self.now, model, tokens: kind.tokens };
            self.open.insert(id, open);
            self.scheduler.admit(call, self.now).unwrap();
        }
        if self.ticks.is_multiple_of(ENTRY_REPORT_TICKS) || self.scheduler.has_unreported_wait() {
            let report = EntryReport {
                vm: "vm-1".parse().unwrap(),
                instance: InstanceId::new(2),
                sequence: SequenceNumber::new(self.ticks),
                known_revision: (HUB, SequenceNumber::default()),
                spent: Vec::new(),
                work: Some(self.scheduler.work()),
                demands: self.scheduler.report_demands(self.now),
            };
            self.hub.handle_report(report, self.now);
        }
    }

    fn run_planner(&mut self) {
        let uses = self.hub.target_uses(self.now);
        let fence = Some(FenceNumber::new(7));
        let calls = self.planner.decide(&uses, &self.table, fence, self.now);
        for call in calls {
            match call {
                EngineCall::Report { upstream, .. } => {
                    let report = self.reports[&upstream].front().cloned();
                    self.planner.handle_report(&upstream, report, self.now);
                }
                EngineCall::Order(order) => {
                    let engine = self.engines.get_mut(&order.upstream).unwrap();
                    let is_load = order.action == OrderAction::Load;
                    let from_store = is_load && engine.is_store_load(&order.target.model);
                    self.orders.0 += 1;
                    let reply = engine.handle_order(&order, self.now);
                    let Some(reply) = reply else {
                        panic!("{} is ordered to load too much", order.upstream)
                    };
                    let is_accepted_load =
                        reply == OrderReply::Accepted && order.target.adapter.is_none();
                    self.orders.1 += usize::from(reply != OrderReply::Accepted);
                    self.store_loads += usize::from(is_accepted_load && from_store);
                    if is_load && is_accepted_load {
                        self.loads.push(LoadRecord {
                            time: self.now.since(START),
                            model: order.target.model.clone(),
                            upstream: order.upstream.clone(),
                            from_store,
                        });
                    }
                    self.planner.handle_reply(&order, reply, self.now);
                }
            }
        }
        let models = self.planner.resident_models(self.now);
        self.table.update_resident_models(HUB, models, self.now);
    }

    fn apply_decisions(&mut self) {
        self.table.permits.update_hub(true);
        for decision in self.scheduler.decide(&mut self.table, &mut self.quarantine, self.now) {
            match decision {
                ScheduleDecision::Send(id, pick) => {
                    *self.sent.entry(pick.upstream.clone()).or_default() += 1;
                    self.deliver_request(id, &pick.upstream);
                }
                ScheduleDecision::Refuse(id, _) => {
                    let open = self.open.remove(&id).unwrap();
                    self.counts[open.kind].refused += 1;
                }
            }
        }
        let vm = "vm-1".parse().unwrap();
        if let Some(request) = self.table.permits.next_request(&vm, HUB, self.now) {
            let reply = self.ledger.handle_ranked(&request, |_| None, self.now).unwrap();
            self.table.permits.handle_reply(&reply, self.now);
        }
    }

    fn deliver_request(&mut self, id: RequestId, upstream: &UpstreamId) {
        let engine = self.engines.get_mut(upstream).unwrap();
        let open = &self.open[&id];
        if !engine.serves(&open.model) {
            self.counts[open.kind].refused += 1;
            self.scheduler.end_attempt(id, AttemptOutcome::Rejected, &mut self.table, self.now);
            self.open.remove(&id);
            return;
        }
        let (model, (prompt, pending_decode)) = (open.model.clone(), open.tokens);
        let is_held = engine.held_prefixes.contains(&model);
        let held = if is_held { self.shared_tokens.min(prompt) } else { 0.0 };
        let pending_prefill = prompt - held;
        engine.requests.push(EngineRequest {
            id,
            model,
            pending_prefill,
            pending_decode,
            has_first_token: false,
        });
    }
}
