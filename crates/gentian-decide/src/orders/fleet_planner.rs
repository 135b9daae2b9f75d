//! Which models and adapters are loaded where, over all engines of a fleet.

use std::net::SocketAddr;
use std::sync::Arc;

use gentian_config::serving::{EngineSpec, ServingConfig};
use gentian_core::peer::{HoldingRow, TargetId};
use gentian_core::{
    AdapterId, FastMap, FenceNumber, ModelId, MonoTime, ServiceId, TimeSpan, UpstreamId,
};

use super::placement_choice::{LoadOption, LoadReason, ModelUse, find_option, load_time};
use super::{EngineOrder, EngineStateReport, LoadCeiling, OrderAction, OrderLane, OrderReply};
use crate::serving::{TargetUse, UpstreamRow, UpstreamTable};

/// Requests that would wait for a load from disk from which a model gets a second copy, so that a
/// crash does not stop it.
const SPARE_WAITERS: f64 = 1.0;
/// Part of an engine's slots in use from which a model gets a further copy.
const FULL_PART: f64 = 0.12;

/// A call of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineCall {
    /// Gives an order.
    Order(EngineOrder),
    /// Asks for a report.
    Report {
        /// The engine.
        upstream: UpstreamId,
        /// Its address.
        address: SocketAddr,
    },
}

type TargetUses = FastMap<(ServiceId, TargetId), TargetUse>;
type ModelUses = FastMap<ModelId, ModelUse>;

/// Decides the orders to all engines under one account of their memory.
#[derive(Debug)]
pub struct FleetPlanner {
    config: Arc<ServingConfig>,
    load_window: TimeSpan,
    lanes: FastMap<UpstreamId, OrderLane>,
    ceiling: LoadCeiling,
    /// Loads from the weight store under way, by engine.
    store_loads: FastMap<UpstreamId, ModelId>,
}

impl FleetPlanner {
    /// Creates a planner that knows no engine; loads from the weight store are counted within
    /// `load_window`.
    pub fn new(config: Arc<ServingConfig>, load_window: TimeSpan) -> Self {
        Self {
            config,
            load_window,
            lanes: FastMap::default(),
            ceiling: LoadCeiling::new(),
            store_loads: FastMap::default(),
        }
    }

    /// Takes a configuration over.
    pub fn update(&mut self, config: Arc<ServingConfig>) {
        self.config = config;
    }

    /// Takes over which engines there are.
    pub fn sync(&mut self, table: &UpstreamTable, now: MonoTime) {
        let engines = || table.rows().filter(|row| row.entry.holdings.is_some());
        let born: FastMap<&UpstreamId, u64> =
            engines().map(|row| (&row.entry.id, row.entry.born)).collect();
        self.lanes.retain(|id, lane| born.get(id) == Some(&lane.born()));
        let lanes = &self.lanes;
        self.store_loads.retain(|id, _| lanes.contains_key(id));
        for row in engines() {
            let (id, address, born) = (&row.entry.id, row.entry.address, row.entry.born);
            let make_lane = || OrderLane::new(id.clone(), address, born, now);
            self.lanes.entry(id.clone()).or_insert_with(make_lane);
        }
    }

    /// Takes the answer to an order in.
    pub fn take_reply(&mut self, order: &EngineOrder, reply: OrderReply, now: MonoTime) {
        let model = self.find_model(&order.target.model);
        let Some(lane) = self.lanes.get_mut(&order.upstream) else { return };
        let known = lane.known();
        let time = known.zip(model).map(|(known, model)| load_time(known, &model).0);
        lane.take_reply(order, reply, time.unwrap_or(TimeSpan::ZERO), now);
    }

    /// Takes a report in, or the failure to get one; returns the order that it shows as done, with
    /// the time since it was accepted.
    pub fn take_report(
        &mut self,
        upstream: &UpstreamId,
        report: Option<EngineStateReport>,
        now: MonoTime,
    ) -> Option<(EngineOrder, TimeSpan)> {
        let lane = self.lanes.get_mut(upstream)?;
        let done = lane.take_report(report, now);
        if lane.is_free() {
            self.end_store_load(upstream, done.as_ref());
        }
        done
    }

    fn end_store_load(&mut self, upstream: &UpstreamId, done: Option<&(EngineOrder, TimeSpan)>) {
        let Some(model) = self.store_loads.remove(upstream) else { return };
        let usual = self.find_model(&model).map(|spec| spec.store_load);
        if let (Some((order, took)), Some(usual)) = (done, usual)
            && order.target.model == model
        {
            self.ceiling.note_end(*took, usual, self.store_loads.len());
        }
    }

    /// Returns what the engines hold.
    pub fn rows(&self, now: MonoTime) -> Vec<HoldingRow> {
        let known = self.lanes.iter().filter(|(_, lane)| lane.known().is_some());
        let rows = known.map(|(upstream, lane)| HoldingRow {
            upstream: upstream.clone(),
            born: lane.born(),
            loaded: lane.usable(now),
            changing: lane.changing().cloned(),
        });
        rows.collect()
    }

    /// Tells whether an engine is known.
    pub fn has_lane(&self, upstream: &UpstreamId) -> bool {
        self.lanes.contains_key(upstream)
    }

    /// Returns when the next call is due without any event.
    pub fn due(&self, now: MonoTime) -> Option<MonoTime> {
        self.lanes.values().filter_map(|lane| lane.due(now)).min()
    }

    /// Decides the calls that are due; orders are given only under `fence`.
    pub fn decide(
        &mut self,
        uses: &TargetUses,
        table: &UpstreamTable,
        fence: Option<FenceNumber>,
        now: MonoTime,
    ) -> Vec<EngineCall> {
        let mut calls = self.due_calls(fence, now);
        let Some(fence) = fence else { return calls };
        let config = Arc::clone(&self.config);
        for (service, engine) in engine_services(&config) {
            let rows: FastMap<&UpstreamId, &UpstreamRow> = table
                .rows()
                .filter(|row| row.entry.service == *service && table.is_open(row, now))
                .map(|row| (&row.entry.id, row))
                .collect();
            let models = self.model_uses(service, uses, &rows);
            let mut step = PlanStep {
                planner: self,
                service,
                uses,
                engine,
                rows,
                models,
                queued: FastMap::default(),
                fence,
                now,
            };
            let mut waiting: Vec<_> = uses
                .iter()
                .filter(|((name, _), usage)| name == service && usage.waiting > 0)
                .collect();
            waiting.sort_by_key(|((_, target), usage)| (usage.slack, target.clone()));
            let first = waiting.iter().filter_map(|((_, target), _)| step.serve(target));
            calls.extend(first.map(EngineCall::Order));
            calls.extend(step.widen().into_iter().map(EngineCall::Order));
        }
        calls
    }

    fn due_calls(&mut self, fence: Option<FenceNumber>, now: MonoTime) -> Vec<EngineCall> {
        let mut calls = Vec::new();
        for (upstream, lane) in &mut self.lanes {
            let repeat = fence.and_then(|fence| lane.take_repeat(fence, now));
            calls.extend(repeat.map(EngineCall::Order));
            if lane.take_report_due(now) {
                let (upstream, address) = (upstream.clone(), lane.address());
                calls.push(EngineCall::Report { upstream, address });
            }
        }
        calls
    }

    fn model_uses(
        &self,
        service: &ServiceId,
        uses: &TargetUses,
        rows: &FastMap<&UpstreamId, &UpstreamRow>,
    ) -> ModelUses {
        let mut models = ModelUses::default();
        for ((_, target), usage) in uses.iter().filter(|((name, _), _)| name == service) {
            let sum = models.entry(target.model.clone()).or_default();
            sum.waiting += usage.waiting;
            sum.rate += usage.rate;
            sum.last = sum.last.max(usage.last);
            for (upstream, count) in &usage.running {
                *sum.running.entry(upstream.clone()).or_default() += count;
            }
        }
        for (_, lane) in self.lanes.iter().filter(|(id, _)| rows.contains_key(id)) {
            let held = lane.known().into_iter().flat_map(|known| known.loaded.keys());
            let loading = lane.loading().map(|target| &target.model);
            for model in held.chain(loading) {
                models.entry(model.clone()).or_default().copies += 1;
            }
        }
        models
    }

    fn find_model(&self, model: &ModelId) -> Option<gentian_config::serving::CatalogueModel> {
        let mut engines = self.config.services.values().filter_map(|it| it.engine.as_ref());
        engines.find_map(|engine| engine.models.get(model)).cloned()
    }
}

/// One round of planning for one service.
struct PlanStep<'a> {
    planner: &'a mut FleetPlanner,
    service: &'a ServiceId,
    uses: &'a TargetUses,
    engine: &'a EngineSpec,
    rows: FastMap<&'a UpstreamId, &'a UpstreamRow>,
    models: ModelUses,
    /// Time in microseconds for which models wait that were given to a busy engine in this round.
    queued: FastMap<UpstreamId, f64>,
    fence: FenceNumber,
    now: MonoTime,
}

impl PlanStep<'_> {
    /// Orders what requests for `target` wait for.
    fn serve(&mut self, target: &TargetId) -> Option<EngineOrder> {
        let holders = self.holders(&target.model);
        if holders.is_empty() {
            let is_coming = self.lanes().any(|(_, lane)| {
                lane.loading().is_some_and(|loading| loading.model == target.model)
            });
            return if is_coming {
                None
            } else {
                self.load_model(&target.model, LoadReason::Waiting)
            };
        }
        target.adapter.as_ref()?;
        let is_there =
            self.lanes().any(|(_, lane)| lane.has(target) || lane.loading() == Some(target));
        if is_there {
            return None;
        }
        self.load_adapter(&holders, target)
    }

    /// Orders further copies of models that are in much use.
    fn widen(&mut self) -> Vec<EngineOrder> {
        let mut wanted: Vec<(f64, ModelId)> = Vec::new();
        let slots = self.engine.slots.get().max(1) as f64;
        for (model, usage) in &self.models {
            let running: u32 = usage.running.values().sum();
            let reload = self.engine.models.get(model).map_or(TimeSpan::ZERO, |it| it.disk_load);
            let waiters = usage.rate * reload.as_secs_f64();
            let spare = usize::from(waiters >= SPARE_WAITERS);
            let full = (f64::from(running) / (slots * FULL_PART)) as usize;
            let desired = 1 + spare + full;
            if usage.copies > 0 && usage.copies < desired {
                wanted.push((usage.rate / usage.copies as f64, model.clone()));
            }
        }
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        wanted.iter().filter_map(|(_, model)| self.load_model(model, LoadReason::Spare)).collect()
    }

    fn load_model(&mut self, model: &ModelId, reason: LoadReason) -> Option<EngineOrder> {
        let spec = self.engine.models.get(model)?.clone();
        let mut options: Vec<LoadOption> = self
            .lanes()
            .filter(|(_, lane)| lane.known().is_some_and(|it| !it.loaded.contains_key(model)))
            .filter_map(|(id, lane)| {
                find_option(lane, id, &spec, self.engine, &self.models, (reason, self.now))
            })
            .collect();
        for option in &mut options {
            option.cost += self.queued.get(&option.upstream).copied().unwrap_or(0.0);
        }
        options.retain(|option| !option.is_from_store || self.store_has_room());
        let best = options
            .into_iter()
            .min_by(|a, b| a.cost.total_cmp(&b.cost).then_with(|| a.upstream.cmp(&b.upstream)))?;
        if !self.is_lane_free(&best.upstream) {
            // A copy close by is worth the wait for its engine; later models queue behind this one.
            *self.queued.entry(best.upstream).or_default() += spec.disk_load.as_micros() as f64;
            return None;
        }
        self.models.entry(model.clone()).or_default().copies += 1;
        self.open_load(best, TargetId::new(model.clone()))
    }

    fn store_has_room(&mut self) -> bool {
        let open = self.planner.store_loads.len();
        let rate = self.engine.store_loads_per_second;
        self.planner.ceiling.has_room(rate, self.planner.load_window, open, self.now)
    }

    fn open_load(&mut self, option: LoadOption, target: TargetId) -> Option<EngineOrder> {
        if option.is_from_store {
            self.planner.ceiling.note_load(self.now);
            self.planner.store_loads.insert(option.upstream.clone(), target.model.clone());
        }
        let lane = self.planner.lanes.get_mut(&option.upstream)?;
        let mut victims = option.victims.into_iter();
        match (victims.next(), victims.next()) {
            (None, _) => lane.open(OrderAction::Load, target, None, self.fence, self.now),
            (Some(victim), more) => {
                // Behind the last unload the load follows at once; before, the plan is made anew.
                let then = more.is_none().then_some(target);
                let victim = TargetId::new(victim);
                lane.open(OrderAction::Unload, victim, then, self.fence, self.now)
            }
        }
    }

    fn load_adapter(&mut self, holders: &[UpstreamId], target: &TargetId) -> Option<EngineOrder> {
        let memory = self.engine.models.get(&target.model)?.adapter_memory;
        let running = |id: &UpstreamId| self.rows.get(id).map_or(0, |row| row.work().running);
        let mut free: Vec<UpstreamId> =
            holders.iter().filter(|id| self.is_lane_free(id)).cloned().collect();
        free.sort_by_key(|id| (self.planner.lanes[id].adapter_count(), running(id), id.clone()));
        let id = free.first()?.clone();
        let lane = self.planner.lanes.get_mut(&id)?;
        let has_slot = lane.adapter_count() < self.engine.adapter_slots;
        if has_slot && lane.free_memory(self.engine) >= memory {
            return lane.open(OrderAction::Load, target.clone(), None, self.fence, self.now);
        }
        let victim = self.find_idle_adapter(&id)?;
        let lane = self.planner.lanes.get_mut(&id)?;
        lane.open(OrderAction::Unload, victim, Some(target.clone()), self.fence, self.now)
    }

    /// Finds the adapter on `id` that was idle for longest.
    fn find_idle_adapter(&self, id: &UpstreamId) -> Option<TargetId> {
        let known = self.planner.lanes.get(id)?.known()?;
        let name_target = |model: &ModelId, adapter: &AdapterId| {
            TargetId::new(model.clone()).with_adapter(Some(adapter.clone()))
        };
        let held = known.loaded.iter().flat_map(|(model, adapters)| {
            adapters.iter().map(move |adapter| name_target(model, adapter))
        });
        let usage = |target: &TargetId| self.uses.get(&(self.service.clone(), target.clone()));
        let is_idle = |target: &TargetId| {
            usage(target).is_none_or(|it| it.waiting == 0 && !it.running.contains_key(id))
        };
        held.filter(is_idle).min_by_key(|target| (usage(target).map(|it| it.last), target.clone()))
    }

    fn holders(&self, model: &ModelId) -> Vec<UpstreamId> {
        let holds = |lane: &OrderLane| {
            let is_held = lane.known().is_some_and(|known| known.loaded.contains_key(model));
            is_held && lane.changing() != Some(model)
        };
        self.lanes().filter(|(_, lane)| holds(lane)).map(|(id, _)| id.clone()).collect()
    }

    fn is_lane_free(&self, id: &UpstreamId) -> bool {
        self.planner.lanes.get(id).is_some_and(OrderLane::is_free)
    }

    fn lanes(&self) -> impl Iterator<Item = (&UpstreamId, &OrderLane)> {
        self.planner.lanes.iter().filter(|(id, _)| self.rows.contains_key(id))
    }
}

fn engine_services(config: &ServingConfig) -> impl Iterator<Item = (&ServiceId, &EngineSpec)> {
    config.services.iter().filter_map(|(id, service)| Some((id, service.engine.as_ref()?)))
}
