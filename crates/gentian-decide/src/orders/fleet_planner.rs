//! Plans which engine of the fleet loads which models and adapters.

use std::net::SocketAddr;
use std::sync::Arc;

use gentian_config::serving::{EngineSpec, ServingConfig};
use gentian_core::peer::{ResidentModels, TargetId};
use gentian_core::{
    FastMap, FastSet, FenceNumber, ModelId, MonoTime, ServiceId, TimeSpan, UpstreamId,
};

use super::failed_loads::FailedLoads;
use super::model_use::ModelUse;
use super::placement_choice::load_time;
use super::plan_round::PlanRound;
use super::{
    EngineOrder, EngineStateReport, EngineTracker, FollowUpDelay, OrderAction, OrderCooldowns,
    OrderReply, PlacementFigures, StoreLoadLimiter,
};
use crate::serving::{PrefillTime, TargetUse, UpstreamRow, UpstreamTable};

/// Interval between two checks for models that need more copies. The need changes slowly, and the
/// CPU time of a check on the hub grows with the fleet.
const SCALE_OUT_INTERVAL: TimeSpan = TimeSpan::from_millis(100);
/// Interval at which the hub reads which models engines have on disk or in host memory. They change with
/// loads from the weight store only, and there are a dozen for each engine.
const STORED_MODELS_INTERVAL: TimeSpan = TimeSpan::from_secs(1);
/// Time for which a hub sees no request before it takes the fleet for one without traffic: entries of a
/// large fleet report once a second.
const MIN_IDLE_START: TimeSpan = TimeSpan::from_secs(2);
/// Maximum number of concurrent report calls, so that threads stay free for orders.
const MAX_CONCURRENT_REPORTS: usize = 40;

/// Call to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineCall {
    /// Sends an order.
    Order(EngineOrder),
    /// Fetches a state report.
    Report {
        /// Upstream that runs the engine.
        upstream: UpstreamId,
        /// Address of the engine.
        address: SocketAddr,
    },
}

pub(super) type TargetUses = FastMap<(ServiceId, TargetId), TargetUse>;
pub(super) type ModelUses = FastMap<ModelId, ModelUse>;

/// Decides the orders to all engines, and tracks their memory so that no two orders use the same
/// memory.
#[derive(Debug)]
pub struct FleetPlanner {
    config: Arc<ServingConfig>,
    pub(super) load_window: TimeSpan,
    pub(super) trackers: FastMap<UpstreamId, EngineTracker>,
    pub(super) store_limiter: StoreLoadLimiter,
    pub(super) figures: PlacementFigures,
    /// Models that an engine has on disk or in host memory, bounded by the catalogue, and when they were
    /// read.
    stored_models: FastSet<ModelId>,
    stored_models_time: MonoTime,
    follow_up_delay: FollowUpDelay,
    pub(super) failed_loads: FailedLoads,
    last_scale_out_check: MonoTime,
    /// Time of the first round in which orders could be given.
    first_round: Option<MonoTime>,
    pub(super) cooldowns: OrderCooldowns,
}

impl FleetPlanner {
    /// Creates a planner without engines; loads from the weight store are counted over a sliding
    /// window of `load_window`.
    pub fn new(config: Arc<ServingConfig>, load_window: TimeSpan) -> Self {
        Self {
            config,
            load_window,
            trackers: FastMap::default(),
            store_limiter: StoreLoadLimiter::new(),
            figures: PlacementFigures::default(),
            stored_models: FastSet::default(),
            stored_models_time: MonoTime::ORIGIN,
            follow_up_delay: FollowUpDelay::new(),
            failed_loads: FailedLoads::default(),
            last_scale_out_check: MonoTime::ORIGIN,
            first_round: None,
            cooldowns: OrderCooldowns::default(),
        }
    }

    /// Sets the cooldowns that follow from the orders of the previous hub.
    pub fn with_cooldowns(self, cooldowns: OrderCooldowns) -> Self {
        Self { cooldowns, ..self }
    }

    /// Applies a configuration.
    pub fn update(&mut self, config: Arc<ServingConfig>) {
        self.config = config;
    }

    /// Tracks the engines of `table`; an engine that has restarted gets a new tracker.
    pub fn update_engines(&mut self, table: &UpstreamTable, now: MonoTime) {
        let engines = || table.rows().filter(|row| row.registration.models.is_some());
        let incarnations: FastMap<&UpstreamId, u64> =
            engines().map(|row| (&row.registration.id, row.registration.incarnation)).collect();
        self.trackers.retain(|id, tracker| incarnations.get(id) == Some(&tracker.incarnation()));
        let trackers = &self.trackers;
        self.store_limiter.retain(|id| trackers.contains_key(id), now);
        self.cooldowns.remove_expired(now);
        for row in engines() {
            let (id, address, incarnation) =
                (&row.registration.id, row.registration.address, row.registration.incarnation);
            let make_tracker = || EngineTracker::new(id.clone(), address, incarnation, now);
            self.trackers.entry(id.clone()).or_insert_with(make_tracker);
        }
    }

    /// Handles the reply to an order.
    pub fn handle_reply(&mut self, order: &EngineOrder, reply: OrderReply, now: MonoTime) {
        let model = self.find_model(&order.target.model);
        let Some(tracker) = self.trackers.get_mut(&order.upstream) else { return };
        let confirmed = tracker.confirmed();
        let time = confirmed.zip(model).map(|(confirmed, model)| load_time(confirmed, &model).0);
        let time = time.unwrap_or(TimeSpan::ZERO);
        if reply == OrderReply::Refused && order.action == OrderAction::Load {
            self.failed_loads.record(&order.upstream, &order.target, now);
        }
        tracker.handle_reply(order, reply, time, &mut self.follow_up_delay, now);
    }

    /// Handles a report, or `None` after a failed report call. Returns the order that the report
    /// shows as done, with the time since its acceptance.
    pub fn handle_report(
        &mut self,
        upstream: &UpstreamId,
        report: Option<EngineStateReport>,
        now: MonoTime,
    ) -> Option<(EngineOrder, TimeSpan)> {
        let tracker = self.trackers.get_mut(upstream)?;
        let done = tracker.handle_report(report, now);
        if let Some((order, _)) = &done
            && order.action == OrderAction::Load
            && !tracker.has_target(&order.target)
        {
            self.failed_loads.record(upstream, &order.target, now);
        }
        if tracker.is_free() {
            self.end_store_load(upstream, done.as_ref(), now);
        }
        done
    }

    fn end_store_load(
        &mut self,
        upstream: &UpstreamId,
        done: Option<&(EngineOrder, TimeSpan)>,
        now: MonoTime,
    ) {
        let Some(model) = self.store_limiter.model(upstream).cloned() else { return };
        let expected = self.find_model(&model).map_or(TimeSpan::ZERO, |spec| spec.store_load_time);
        let is_load =
            |order: &EngineOrder| order.action == OrderAction::Load && order.target.model == model;
        let done = done.filter(|(order, _)| is_load(order));
        // A load that failed says nothing of the store's speed.
        let done = done.filter(|(order, _)| self.has_target(upstream, &order.target));
        let duration = done.map(|(_, duration)| *duration);
        self.store_limiter.record_end(upstream, duration, expected, now);
    }

    /// Returns what each engine has loaded, for engines whose state is confirmed.
    pub fn resident_models(&self, now: MonoTime) -> Vec<ResidentModels> {
        let confirmed = self.trackers.iter().filter(|(_, tracker)| tracker.confirmed().is_some());
        let rows = confirmed.map(|(upstream, tracker)| ResidentModels {
            upstream: upstream.clone(),
            incarnation: tracker.incarnation(),
            loaded: tracker.usable_targets(now),
            in_transition: tracker.changing_model().cloned(),
        });
        rows.collect()
    }

    /// Returns the cooldowns after recent orders, for the handover message to a successor.
    pub fn cooldowns(&self) -> &OrderCooldowns {
        &self.cooldowns
    }

    /// Returns the number of tracked engines.
    pub fn engine_count(&self) -> usize {
        self.trackers.len()
    }

    /// Returns whether an engine has loaded `target`.
    pub fn has_target(&self, upstream: &UpstreamId, target: &TargetId) -> bool {
        self.trackers.get(upstream).is_some_and(|tracker| tracker.has_target(target))
    }

    /// Returns how many loads the weight store is taken to serve at full speed.
    pub fn store_places(&self) -> usize {
        self.store_limiter.max_concurrent()
    }

    /// Returns copies and loads as of the last check for further copies.
    pub fn figures(&self) -> PlacementFigures {
        self.figures
    }

    /// Returns whether `upstream` is a tracked engine.
    pub fn has_engine(&self, upstream: &UpstreamId) -> bool {
        self.trackers.contains_key(upstream)
    }

    /// Returns when the next call is due if no event arrives.
    pub fn due(&self, now: MonoTime) -> Option<MonoTime> {
        self.trackers.values().filter_map(|tracker| tracker.due(now)).min()
    }

    /// Returns the calls that are due; orders are given only with a fencing number.
    pub fn decide(
        &mut self,
        uses: &TargetUses,
        table: &UpstreamTable,
        fence: Option<FenceNumber>,
        now: MonoTime,
    ) -> Vec<EngineCall> {
        for (upstream, tracker) in &mut self.trackers {
            tracker.update_limit(table.limit(upstream));
        }
        let mut calls = self.due_calls(fence, now);
        let due_count = calls.len();
        let Some(fence) = fence else { return calls };
        let config = Arc::clone(&self.config);
        let scales_out = now.since(self.last_scale_out_check) >= SCALE_OUT_INTERVAL;
        if scales_out {
            self.figures = PlacementFigures::default();
        }
        self.update_stored_models(now);
        let first_round = *self.first_round.get_or_insert(now);
        let is_idle = uses.is_empty() && now.since(first_round) >= MIN_IDLE_START;
        for (service, engine) in engine_services(&config) {
            let rows: FastMap<&UpstreamId, &UpstreamRow> = table
                .rows()
                .filter(|row| row.registration.service == *service && table.is_available(row, now))
                .map(|row| (&row.registration.id, row))
                .collect();
            let prefill_time = table.prefill_time(service);
            let mut models = self.model_uses(service, uses, &rows, now);
            self.count_skipped(&mut models, table, now);
            share_prefill(&mut models, &rows, prefill_time);
            for (model, usage) in &mut models {
                usage.wanted = usage.wanted_copies(model, engine);
            }
            if scales_out {
                self.figures.add_models(&models);
            }
            let mut round = PlanRound::new(self, service, engine, uses, rows, models)
                .with_fence_and_time(fence, now);
            let mut waiting: Vec<_> =
                uses.iter().filter(|((id, _), usage)| id == service && usage.waiting > 0).collect();
            waiting.sort_by_key(|((_, target), usage)| (usage.time_left, target.clone()));
            let waiting_loads =
                waiting.iter().filter_map(|((_, target), _)| round.load_for_waiting(target));
            calls.extend(waiting_loads.map(EngineCall::Order));
            if scales_out {
                calls.extend(round.add_copies().into_iter().map(EngineCall::Order));
                calls.extend(round.add_adapter_copies().into_iter().map(EngineCall::Order));
                if is_idle {
                    calls.extend(round.fill_free_memory().into_iter().map(EngineCall::Order));
                }
            }
        }
        if scales_out {
            self.last_scale_out_check = now;
            self.figures.update_store(&self.store_limiter);
        }
        self.record_orders(&calls[due_count..], now);
        calls
    }

    fn record_orders(&mut self, calls: &[EngineCall], now: MonoTime) {
        for call in calls {
            if let EngineCall::Order(order) = call {
                self.cooldowns.record_order(&order.upstream, now);
            }
        }
    }

    /// Returns the calls that follow from earlier ones: retries, loads after unloads, and report
    /// calls.
    pub fn due_calls(&mut self, fence: Option<FenceNumber>, now: MonoTime) -> Vec<EngineCall> {
        let mut calls = Vec::new();
        let pending = self.trackers.values().filter(|tracker| tracker.is_report_pending()).count();
        let mut report_capacity = MAX_CONCURRENT_REPORTS.saturating_sub(pending);
        for (upstream, tracker) in &mut self.trackers {
            let retry = fence.and_then(|fence| tracker.next_retry(fence, now));
            calls.extend(retry.map(EngineCall::Order));
            if report_capacity > 0 && tracker.start_due_report(now) {
                report_capacity -= 1;
                let (upstream, address) = (upstream.clone(), tracker.address());
                calls.push(EngineCall::Report { upstream, address });
            }
        }
        self.record_orders(&calls, now);
        calls
    }

    fn model_uses(
        &self,
        service: &ServiceId,
        uses: &TargetUses,
        rows: &FastMap<&UpstreamId, &UpstreamRow>,
        now: MonoTime,
    ) -> ModelUses {
        let mut models = ModelUses::default();
        for ((_, target), usage) in uses.iter().filter(|((id, _), _)| id == service) {
            let sum = models.entry(target.model.clone()).or_default();
            sum.add_requests(usage);
            sum.last_arrival = sum.last_arrival.max(usage.last_arrival);
            for (upstream, count) in &usage.running {
                let running = sum.running.entry(upstream.clone()).or_default();
                *running = running.saturating_add(*count);
            }
        }
        for (id, tracker) in &self.trackers {
            let Some(row) = rows.get(id) else { continue };
            let loading = tracker.loading_target().map(|target| &target.model);
            let held: FastSet<&ModelId> =
                tracker.kept_models(now).into_iter().chain(loading).collect();
            // The models of an engine share its limit.
            let share = row.limit.map(|limit| limit.per_second() / held.len().max(1) as f64);
            for model in held {
                models.entry(model.clone()).or_default().add_copy(share);
            }
        }
        for (model, usage) in &mut models {
            usage.is_stored = self.stored_models.contains(model);
        }
        models
    }

    /// Reads at intervals which models engines have on disk or in host memory.
    fn update_stored_models(&mut self, now: MonoTime) {
        if now.since(self.stored_models_time) < STORED_MODELS_INTERVAL {
            return;
        }
        self.stored_models_time = now;
        self.stored_models.clear();
        for state in self.trackers.values().filter_map(|tracker| tracker.confirmed()) {
            for model in state.on_disk.iter().chain(&state.in_host_memory) {
                if !self.stored_models.contains(model) {
                    self.stored_models.insert(model.clone());
                }
            }
        }
    }

    /// Counts the copies on engines to which a connection of this entry has just failed. They are not
    /// lost, as those of engines that leave are.
    fn count_skipped(&self, models: &mut ModelUses, table: &UpstreamTable, now: MonoTime) {
        for row in table.rows().filter(|row| row.is_ready() && !row.is_usable(now)) {
            let tracker = self.trackers.get(&row.registration.id);
            for model in tracker.into_iter().flat_map(|tracker| tracker.kept_models(now)) {
                models.entry(model.clone()).or_default().has_skipped_copy = true;
            }
        }
    }

    fn find_model(&self, model: &ModelId) -> Option<gentian_config::serving::CatalogueModel> {
        let mut engines = self.config.services.values().filter_map(|it| it.engine.as_ref());
        engines.find_map(|engine| engine.models.get(model)).cloned()
    }
}

/// Divides the prompt tokens that are pending at each engine among the models that run requests there.
fn share_prefill(
    models: &mut ModelUses,
    rows: &FastMap<&UpstreamId, &UpstreamRow>,
    prefill_time: PrefillTime,
) {
    for usage in models.values_mut() {
        for (upstream, running) in &usage.running {
            let Some(work) = rows.get(upstream).map(|row| row.work()) else { continue };
            let share = f64::from(*running) / f64::from(work.running.max(*running).max(1));
            usage.pending_tokens += f64::from(work.pending_prefill_tokens) * share.min(1.0);
        }
        usage.update_prefill(prefill_time);
    }
}

fn engine_services(config: &ServingConfig) -> impl Iterator<Item = (&ServiceId, &EngineSpec)> {
    config.services.iter().filter_map(|(id, service)| Some((id, service.engine.as_ref()?)))
}
