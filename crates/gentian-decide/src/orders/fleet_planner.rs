//! Which models and adapters are loaded where, over all engines of a fleet.

use std::net::SocketAddr;
use std::sync::Arc;

use gentian_config::serving::{EngineSpec, ServingConfig};
use gentian_core::peer::{ResidentModels, TargetId};
use gentian_core::{FastMap, FenceNumber, ModelId, MonoTime, ServiceId, TimeSpan, UpstreamId};

use super::placement_choice::{ModelUse, load_time};
use super::plan_round::PlanRound;
use super::{
    EngineOrder, EngineStateReport, EngineTracker, OrderCooldowns, OrderReply, StoreLoadLimiter,
};
use crate::serving::{TargetUse, UpstreamRow, UpstreamTable};

/// Time between two looks at what needs further copies: that changes slowly, and looking takes the
/// hub's processor a time that grows with the fleet.
const WIDEN_EVERY: TimeSpan = TimeSpan::from_millis(100);
/// Reports that are asked for at the same time, so that orders find a free thread beside them.
const REPORTS_AT_ONCE: usize = 40;

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

pub(super) type TargetUses = FastMap<(ServiceId, TargetId), TargetUse>;
pub(super) type ModelUses = FastMap<ModelId, ModelUse>;

/// Decides the orders to all engines under one account of their memory.
#[derive(Debug)]
pub struct FleetPlanner {
    config: Arc<ServingConfig>,
    pub(super) load_window: TimeSpan,
    pub(super) lanes: FastMap<UpstreamId, EngineTracker>,
    pub(super) ceiling: StoreLoadLimiter,
    /// Loads from the weight store under way, by engine.
    pub(super) store_loads: FastMap<UpstreamId, ModelId>,
    widened: MonoTime,
    pub(super) cooldowns: OrderCooldowns,
}

impl FleetPlanner {
    /// Creates a planner that knows no engine; loads from the weight store are counted within
    /// `load_window`.
    pub fn new(config: Arc<ServingConfig>, load_window: TimeSpan) -> Self {
        Self {
            config,
            load_window,
            lanes: FastMap::default(),
            ceiling: StoreLoadLimiter::new(),
            store_loads: FastMap::default(),
            widened: MonoTime::ORIGIN,
            cooldowns: OrderCooldowns::default(),
        }
    }

    /// Adds what the holder before ordered.
    pub fn with_cooldowns(self, cooldowns: OrderCooldowns) -> Self {
        Self { cooldowns, ..self }
    }

    /// Takes a configuration over.
    pub fn update(&mut self, config: Arc<ServingConfig>) {
        self.config = config;
    }

    /// Takes over which engines there are.
    pub fn update_engines(&mut self, table: &UpstreamTable, now: MonoTime) {
        let engines = || table.rows().filter(|row| row.registration.models.is_some());
        let born: FastMap<&UpstreamId, u64> =
            engines().map(|row| (&row.registration.id, row.registration.incarnation)).collect();
        self.lanes.retain(|id, lane| born.get(id) == Some(&lane.born()));
        let lanes = &self.lanes;
        self.store_loads.retain(|id, _| lanes.contains_key(id));
        self.cooldowns.forget_past(now);
        for row in engines() {
            let (id, address, born) =
                (&row.registration.id, row.registration.address, row.registration.incarnation);
            let make_lane = || EngineTracker::new(id.clone(), address, born, now);
            self.lanes.entry(id.clone()).or_insert_with(make_lane);
        }
    }

    /// Takes the answer to an order in.
    pub fn handle_reply(&mut self, order: &EngineOrder, reply: OrderReply, now: MonoTime) {
        let model = self.find_model(&order.target.model);
        let Some(lane) = self.lanes.get_mut(&order.upstream) else { return };
        let known = lane.known();
        let time = known.zip(model).map(|(known, model)| load_time(known, &model).0);
        lane.handle_reply(order, reply, time.unwrap_or(TimeSpan::ZERO), now);
    }

    /// Takes a report in, or the failure to get one; returns the order that it shows as done, with
    /// the time since it was accepted.
    pub fn handle_report(
        &mut self,
        upstream: &UpstreamId,
        report: Option<EngineStateReport>,
        now: MonoTime,
    ) -> Option<(EngineOrder, TimeSpan)> {
        let lane = self.lanes.get_mut(upstream)?;
        let done = lane.handle_report(report, now);
        if lane.is_free() {
            self.end_store_load(upstream, done.as_ref());
        }
        done
    }

    fn end_store_load(&mut self, upstream: &UpstreamId, done: Option<&(EngineOrder, TimeSpan)>) {
        let Some(model) = self.store_loads.remove(upstream) else { return };
        let usual = self.find_model(&model).map(|spec| spec.store_load_time);
        if let (Some((order, took)), Some(usual)) = (done, usual)
            && order.target.model == model
        {
            self.ceiling.note_end(*took, usual, self.store_loads.len());
        }
    }

    /// Returns what the engines hold.
    pub fn resident_models(&self, now: MonoTime) -> Vec<ResidentModels> {
        let known = self.lanes.iter().filter(|(_, lane)| lane.known().is_some());
        let rows = known.map(|(upstream, lane)| ResidentModels {
            upstream: upstream.clone(),
            incarnation: lane.born(),
            loaded: lane.usable(now),
            in_transition: lane.changing().cloned(),
        });
        rows.collect()
    }

    /// Returns the orders that a successor has to know of.
    pub fn cooldowns(&self) -> &OrderCooldowns {
        &self.cooldowns
    }

    /// Returns the number of engines.
    pub fn engine_count(&self) -> usize {
        self.lanes.len()
    }

    /// Tells whether an engine is known.
    pub fn has_engine(&self, upstream: &UpstreamId) -> bool {
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
        let due = calls.len();
        let Some(fence) = fence else { return calls };
        let config = Arc::clone(&self.config);
        let widens = now.since(self.widened) >= WIDEN_EVERY;
        for (service, engine) in engine_services(&config) {
            let rows: FastMap<&UpstreamId, &UpstreamRow> = table
                .rows()
                .filter(|row| row.registration.service == *service && table.is_available(row, now))
                .map(|row| (&row.registration.id, row))
                .collect();
            let models = self.model_uses(service, engine, uses, &rows);
            let mut step =
                PlanRound::new(self, service, engine, uses, rows, models).with_time(fence, now);
            let mut waiting: Vec<_> = uses
                .iter()
                .filter(|((name, _), usage)| name == service && usage.waiting > 0)
                .collect();
            waiting.sort_by_key(|((_, target), usage)| (usage.slack, target.clone()));
            let first = waiting.iter().filter_map(|((_, target), _)| step.serve(target));
            calls.extend(first.map(EngineCall::Order));
            if widens {
                calls.extend(step.widen().into_iter().map(EngineCall::Order));
                calls.extend(step.widen_adapters().into_iter().map(EngineCall::Order));
            }
        }
        if widens {
            self.widened = now;
        }
        self.note_orders(&calls[due..], now);
        calls
    }

    fn note_orders(&mut self, calls: &[EngineCall], now: MonoTime) {
        for call in calls {
            if let EngineCall::Order(order) = call {
                self.cooldowns.record_order(&order.upstream, now);
            }
        }
    }

    /// Returns the calls that follow from earlier ones: repeats, loads behind unloads, and reports.
    pub fn due_calls(&mut self, fence: Option<FenceNumber>, now: MonoTime) -> Vec<EngineCall> {
        let mut calls = Vec::new();
        let asked = self.lanes.values().filter(|lane| lane.is_asked()).count();
        let mut reports = REPORTS_AT_ONCE.saturating_sub(asked);
        for (upstream, lane) in &mut self.lanes {
            let repeat = fence.and_then(|fence| lane.take_repeat(fence, now));
            calls.extend(repeat.map(EngineCall::Order));
            if reports > 0 && lane.take_report_due(now) {
                reports -= 1;
                let (upstream, address) = (upstream.clone(), lane.address());
                calls.push(EngineCall::Report { upstream, address });
            }
        }
        self.note_orders(&calls, now);
        calls
    }

    fn model_uses(
        &self,
        service: &ServiceId,
        engine: &EngineSpec,
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
        for (model, usage) in &mut models {
            usage.wanted = usage.wanted_copies(model, engine);
        }
        models
    }

    fn find_model(&self, model: &ModelId) -> Option<gentian_config::serving::CatalogueModel> {
        let mut engines = self.config.services.values().filter_map(|it| it.engine.as_ref());
        engines.find_map(|engine| engine.models.get(model)).cloned()
    }
}

fn engine_services(config: &ServingConfig) -> impl Iterator<Item = (&ServiceId, &EngineSpec)> {
    config.services.iter().filter_map(|(id, service)| Some((id, service.engine.as_ref()?)))
}
