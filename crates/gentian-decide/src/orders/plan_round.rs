//! One planning round over the engines of one service.

use gentian_config::serving::EngineSpec;
use gentian_core::peer::TargetId;
use gentian_core::{
    AdapterId, ByteSize, FastMap, FastSet, FenceNumber, ModelId, MonoTime, ServiceId, TimeSpan,
    UpstreamId,
};

use super::fleet_planner::{ModelUses, TargetUses};
use super::idle_fill::{count_holders, select_fills};
use super::model_use::SCALE_OUT_FRACTION;
use super::placement_choice::{LoadOption, LoadReason, WantedLoad, find_option};
use super::store_schedule::{LoadClass, WantedPlace, count_unknown_loads, select_loads};
use super::{EngineOrder, EngineTracker, FleetPlanner, OrderAction};
use crate::serving::UpstreamRow;

/// Added to the cost of a load on an engine for each request that runs there.
const DELAY_PER_RUNNING_REQUEST: TimeSpan = TimeSpan::from_millis(10);

/// Maximum number of open orders that the engines have not accepted yet: a new holder may want to
/// send many orders at once, and each order occupies a thread and a connection until its reply.
const MAX_PENDING_ORDERS: usize = 24;

/// One planning round for one service.
pub(super) struct PlanRound<'a> {
    planner: &'a mut FleetPlanner,
    service: &'a ServiceId,
    engine: &'a EngineSpec,
    uses: &'a TargetUses,
    rows: FastMap<&'a UpstreamId, &'a UpstreamRow>,
    models: ModelUses,
    /// Engines that had loaded each model when the round began.
    loaded_engines: FastMap<ModelId, Vec<UpstreamId>>,
    /// Targets that engines are loading, including the orders of this round.
    loading: FastSet<TargetId>,
    /// Disk load times, in microseconds, of the models that wait for each engine in this round.
    queued_load_micros: FastMap<UpstreamId, f64>,
    /// Number of orders that may still be given.
    order_capacity: usize,
    fence: FenceNumber,
    now: MonoTime,
}

impl<'a> PlanRound<'a> {
    /// Creates a round over the engines of `rows`.
    pub(super) fn new(
        planner: &'a mut FleetPlanner,
        service: &'a ServiceId,
        engine: &'a EngineSpec,
        uses: &'a TargetUses,
        rows: FastMap<&'a UpstreamId, &'a UpstreamRow>,
        models: ModelUses,
    ) -> Self {
        let mut loaded_engines: FastMap<ModelId, Vec<UpstreamId>> = FastMap::default();
        let mut loading = FastSet::default();
        let pending_orders =
            planner.trackers.values().filter(|tracker| tracker.is_order_pending()).count();
        for (id, tracker) in planner.trackers.iter().filter(|(id, _)| rows.contains_key(id)) {
            for model in
                tracker.confirmed().into_iter().flat_map(|confirmed| confirmed.loaded.keys())
            {
                loaded_engines.entry(model.clone()).or_default().push(id.clone());
            }
            loading.extend(tracker.loading_target().cloned());
        }
        Self {
            planner,
            service,
            engine,
            uses,
            rows,
            models,
            loaded_engines,
            loading,
            queued_load_micros: FastMap::default(),
            order_capacity: MAX_PENDING_ORDERS.saturating_sub(pending_orders),
            fence: FenceNumber::default(),
            now: MonoTime::ORIGIN,
        }
    }

    /// Sets the fencing number of the orders and the current time.
    pub(super) fn with_fence_and_time(self, fence: FenceNumber, now: MonoTime) -> Self {
        Self { fence, now, ..self }
    }

    /// Orders the load that requests for `target` wait for, if none is running yet.
    pub(super) fn load_for_waiting(&mut self, target: &TargetId) -> Option<EngineOrder> {
        let engines = self.engines_with(&target.model);
        if engines.is_empty() {
            // A copy also counts while the state of its engine is read again.
            let has_copy = self.models.get(&target.model).is_some_and(|usage| usage.copies > 0);
            return match has_copy || self.is_loading(&target.model) {
                true => None,
                false => self.load_from_engine(&target.model),
            };
        }
        target.adapter.as_ref()?;
        let is_loaded = engines.iter().any(|id| self.has_target(id, target));
        if is_loaded || self.loading.contains(target) {
            return None;
        }
        self.load_adapter(&engines, target)
    }

    /// Orders more copies of heavily used models, and loads for models without any copy. Those from the
    /// weight store wait for a place there.
    pub(super) fn add_copies(&mut self) -> Vec<EngineOrder> {
        let mut wanted: Vec<WantedPlace> = Vec::new();
        for (model, usage) in &self.models {
            let Some(spec) = self.engine.models.get(model) else { continue };
            if let Some((class, worth)) = usage.wanted_load(self.engine, spec.store_load_time)
                && !(class == LoadClass::Missing && self.is_loading(model))
            {
                wanted.push(WantedPlace { model: model.clone(), class, worth });
            }
        }
        wanted.sort_by(|a, b| b.worth.total_cmp(&a.worth).then_with(|| a.model.cmp(&b.model)));
        let mut orders = Vec::new();
        let mut from_store = Vec::new();
        for load in wanted {
            match self.find_best(&load.model, self.reason(&load)) {
                Some(best) if best.is_from_store => from_store.push(load),
                Some(best) => orders.extend(self.order_best(best, &load.model, load.class)),
                None => {}
            }
        }
        orders.extend(self.start_store_loads(from_store));
        orders
    }

    /// Orders the loads from the weight store that get a place there.
    fn start_store_loads(&mut self, mut wanted: Vec<WantedPlace>) -> Vec<EngineOrder> {
        let mut orders = Vec::new();
        let limiter = &mut self.planner.store_limiter;
        let rate = self.engine.store_loads_per_second;
        let capacity = limiter.window_capacity(rate, self.planner.load_window, self.now);
        let places = limiter.max_concurrent().min(limiter.open_count() + capacity);
        self.planner.figures.store_queue += wanted.len();
        // It is not known which models an earlier holder's loads are of, so further copies wait for them.
        let trackers = self.trackers().map(|it| it.1);
        let unknown = count_unknown_loads(trackers, self.engine, self.now);
        let unknown_loads = std::iter::repeat_n(LoadClass::Missing, unknown);
        wanted.retain(|load| unknown == 0 || load.class == LoadClass::Missing);
        loop {
            let limiter = &self.planner.store_limiter;
            let open = limiter.open_classes().chain(unknown_loads.clone()).collect();
            let selected = select_loads(wanted.clone(), open, places, limiter.last_class());
            let Some(load) = selected.into_iter().next() else { return orders };
            wanted.retain(|other| other.model != load.model);
            // A place is not kept for an engine that is busy.
            let options = self.load_options(&load.model, self.reason(&load)).into_iter();
            let best =
                options.filter(|it| self.accepts_order(&it.upstream)).min_by(LoadOption::compare);
            let order = best.and_then(|best| self.order_best(best, &load.model, load.class));
            self.planner.figures.store_queue -= usize::from(order.is_some());
            orders.extend(order);
        }
    }

    fn reason(&self, load: &WantedPlace) -> LoadReason {
        let has_waiting = self.models.get(&load.model).is_some_and(|usage| usage.waiting > 0);
        match load.class {
            LoadClass::Missing if has_waiting => LoadReason::Waiting,
            _ => LoadReason::ExtraCopy,
        }
    }

    /// Orders loads into memory that is free before the first request.
    pub(super) fn fill_free_memory(&mut self) -> Vec<EngineOrder> {
        let states = self.trackers().filter_map(|(_, tracker)| {
            let loading = tracker.loading_target().map(|target| &target.model);
            Some((tracker.confirmed()?, loading))
        });
        let held = count_holders(states);
        let free = self.trackers().filter(|(id, _)| self.accepts_order(id));
        let engines = free.filter_map(|(id, tracker)| {
            Some((id.clone(), tracker.confirmed()?, tracker.free_memory(self.engine)))
        });
        let fills = select_fills(engines.collect(), self.engine, held).into_iter();
        let order = |(upstream, model): (UpstreamId, ModelId)| {
            let (victims, cost_micros) = (Vec::new(), 0.0);
            let option = LoadOption { upstream, victims, is_from_store: false, cost_micros };
            self.order_best(option, &model, LoadClass::Spare)
        };
        fills.filter_map(order).collect()
    }

    /// Orders adapters that are in use on further engines that have loaded their models and run
    /// fewer requests than every engine with the adapter.
    pub(super) fn add_adapter_copies(&mut self) -> Vec<EngineOrder> {
        let service = self.service;
        let uses = self.uses.iter().filter(|((id, _), _)| id == service);
        let mut targets: Vec<(&TargetId, bool)> = uses
            .filter(|((_, target), usage)| target.adapter.is_some() && usage.is_active())
            .map(|((_, target), usage)| (target, usage.waiting > 0))
            .collect();
        targets.sort();
        let orders = targets.into_iter();
        orders
            .filter_map(|(target, has_waiting)| self.add_adapter_copy(target, has_waiting))
            .collect()
    }

    fn add_adapter_copy(&mut self, target: &TargetId, has_waiting: bool) -> Option<EngineOrder> {
        let (engines_with_adapter, engines_without_adapter): (Vec<UpstreamId>, Vec<UpstreamId>) =
            self.engines_with(&target.model)
                .into_iter()
                .partition(|id| self.has_target(id, target));
        if engines_with_adapter.is_empty() || self.loading.contains(target) {
            return None;
        }
        let unlimited: Vec<UpstreamId> =
            engines_without_adapter.iter().filter(|id| !self.is_limited(id)).cloned().collect();
        if has_waiting
            && !unlimited.is_empty()
            && engines_with_adapter.iter().all(|id| self.is_limited(id))
        {
            return self.load_adapter(&unlimited, target);
        }
        let fewest = engines_with_adapter.iter().map(|id| self.running_requests(id)).min()?;
        // If requests wait, every engine with the adapter is full, so any engine with fewer
        // requests is better.
        let margin = match has_waiting {
            true => 1.0,
            false => self.engine.batch_slots.get() as f64 * SCALE_OUT_FRACTION,
        };
        let others: Vec<UpstreamId> = engines_without_adapter
            .into_iter()
            .filter(|id| f64::from(self.running_requests(id)) + margin <= f64::from(fewest))
            .collect();
        if others.is_empty() {
            return None;
        }
        self.load_adapter(&others, target)
    }

    /// Returns whether an engine is loading `model` or an adapter of it.
    fn is_loading(&self, model: &ModelId) -> bool {
        self.loading.iter().any(|loading| loading.model == *model)
    }

    /// Returns whether an engine names a limit of requests.
    fn is_limited(&self, id: &UpstreamId) -> bool {
        self.rows.get(id).is_some_and(|row| row.limit.is_some())
    }

    fn running_requests(&self, id: &UpstreamId) -> u32 {
        self.rows.get(id).map_or(0, |row| row.work().running)
    }

    /// Orders the load of a model that requests wait for on an engine that has its weights.
    fn load_from_engine(&mut self, model: &ModelId) -> Option<EngineOrder> {
        let options = self.load_options(model, LoadReason::Waiting).into_iter();
        let best = options.filter(|option| !option.is_from_store).min_by(LoadOption::compare)?;
        self.order_best(best, model, LoadClass::Missing)
    }

    /// Returns the option to load `model` with the lowest expected delay.
    fn find_best(&self, model: &ModelId, reason: LoadReason) -> Option<LoadOption> {
        self.load_options(model, reason).into_iter().min_by(LoadOption::compare)
    }

    fn load_options(&self, model: &ModelId, reason: LoadReason) -> Vec<LoadOption> {
        let Some(spec) = self.engine.models.get(model) else { return Vec::new() };
        let failed_loads = &self.planner.failed_loads;
        if failed_loads.is_model_paused(model, self.now) {
            return Vec::new();
        }
        let load = WantedLoad {
            model: spec,
            engine: self.engine,
            uses: &self.models,
            reason,
            now: self.now,
        };
        let target = TargetId::new(model.clone());
        let mut options: Vec<LoadOption> = self
            .trackers()
            .filter(|(_, tracker)| {
                tracker.confirmed().is_some_and(|it| !it.loaded.contains_key(model))
            })
            .filter(|(id, _)| {
                failed_loads.is_empty() || !failed_loads.is_engine_paused(id, &target, self.now)
            })
            .filter_map(|(id, tracker)| find_option(tracker, id, self.is_limited(id), &load))
            .collect();
        for option in &mut options {
            option.cost_micros += f64::from(self.running_requests(&option.upstream))
                * DELAY_PER_RUNNING_REQUEST.as_micros() as f64;
            // At an engine that names a limit, requests wait for each other.
            let limit = self.rows.get(&option.upstream).and_then(|row| row.limit);
            option.cost_micros += limit.map_or(0.0, |it| it.time_for(1).as_micros() as f64);
            option.cost_micros +=
                self.queued_load_micros.get(&option.upstream).copied().unwrap_or(0.0);
        }
        options
    }

    /// Orders the load of `model` by this option, unless its engine accepts no order now.
    fn order_best(
        &mut self,
        best: LoadOption,
        model: &ModelId,
        class: LoadClass,
    ) -> Option<EngineOrder> {
        if !self.accepts_order(&best.upstream) {
            // The best engine is busy or cooling down, or no more orders may be given now. Later
            // models of the round count the load of this one as a delay.
            let time = self.engine.models.get(model).map_or(TimeSpan::ZERO, |it| it.disk_load_time);
            *self.queued_load_micros.entry(best.upstream).or_default() += time.as_micros() as f64;
            return None;
        }
        self.models.entry(model.clone()).or_default().copies += 1;
        let target = TargetId::new(model.clone());
        if best.is_from_store {
            self.planner.store_limiter.record_start(&best.upstream, model, class, self.now);
        }
        self.loading.insert(target.clone());
        self.order_capacity = self.order_capacity.saturating_sub(1);
        let tracker = self.planner.trackers.get_mut(&best.upstream)?;
        let unloads = best.victims.into_iter().map(|it| (OrderAction::Unload, TargetId::new(it)));
        let steps = unloads.chain([(OrderAction::Load, target)]);
        tracker.start_order(steps, self.fence, self.now)
    }

    fn load_adapter(&mut self, engines: &[UpstreamId], target: &TargetId) -> Option<EngineOrder> {
        let memory = self.engine.models.get(&target.model)?.adapter_memory;
        let mut free_engines: Vec<UpstreamId> =
            engines.iter().filter(|id| self.accepts_order(id)).cloned().collect();
        free_engines.retain(|id| !self.planner.failed_loads.is_engine_paused(id, target, self.now));
        free_engines.sort_by_key(|id| {
            let adapters = self.planner.trackers[id].adapter_count();
            (self.is_limited(id), adapters, self.running_requests(id), id.clone())
        });
        let id = free_engines.first()?.clone();
        let victim = self.find_idle_adapter(&id);
        let freed = victim.as_ref().and_then(|victim| self.engine.models.get(&victim.model));
        let freed = freed.map_or(ByteSize::ZERO, |model| model.adapter_memory);
        self.loading.insert(target.clone());
        self.order_capacity = self.order_capacity.saturating_sub(1);
        let tracker = self.planner.trackers.get_mut(&id)?;
        let has_slot = tracker.adapter_count() < self.engine.adapter_slots;
        let free = tracker.free_memory(self.engine);
        if has_slot && free >= memory {
            let steps = [(OrderAction::Load, target.clone())];
            return tracker.start_order(steps, self.fence, self.now);
        }
        // One that frees too little is unloaded by itself; the next round goes on from there.
        let load = (free + freed >= memory).then(|| (OrderAction::Load, target.clone()));
        let steps = [(OrderAction::Unload, victim?)].into_iter().chain(load);
        tracker.start_order(steps, self.fence, self.now)
    }

    /// Returns the adapter on `id` that has been idle for the longest time.
    fn find_idle_adapter(&self, id: &UpstreamId) -> Option<TargetId> {
        let confirmed = self.planner.trackers.get(id)?.confirmed()?;
        let adapter_target = |model: &ModelId, adapter: &AdapterId| {
            TargetId::new(model.clone()).with_adapter(Some(adapter.clone()))
        };
        let resident = confirmed.loaded.iter().flat_map(|(model, adapters)| {
            adapters.iter().map(move |adapter| adapter_target(model, adapter))
        });
        let usage = |target: &TargetId| self.uses.get(&(self.service.clone(), target.clone()));
        let is_idle = |target: &TargetId| {
            usage(target).is_none_or(|it| it.waiting == 0 && !it.running.contains_key(id))
        };
        resident
            .filter(is_idle)
            .min_by_key(|target| (usage(target).map(|it| it.last_arrival), target.clone()))
    }

    /// Returns the engines that have loaded `model` and have no open order for it.
    fn engines_with(&self, model: &ModelId) -> Vec<UpstreamId> {
        let is_unchanged = |id: &&UpstreamId| {
            self.planner
                .trackers
                .get(*id)
                .is_some_and(|tracker| tracker.changing_model() != Some(model))
        };
        let resident = self.loaded_engines.get(model).into_iter().flatten();
        resident.filter(is_unchanged).cloned().collect()
    }

    fn has_target(&self, id: &UpstreamId, target: &TargetId) -> bool {
        self.planner.trackers.get(id).is_some_and(|tracker| tracker.has_target(target))
    }

    /// Returns whether an order to an engine can be planned and sent now.
    fn accepts_order(&self, id: &UpstreamId) -> bool {
        let is_free = self.planner.trackers.get(id).is_some_and(EngineTracker::is_free);
        is_free && self.order_capacity > 0 && !self.planner.cooldowns.is_cooling_down(id, self.now)
    }

    fn trackers(&self) -> impl Iterator<Item = (&UpstreamId, &EngineTracker)> {
        self.planner.trackers.iter().filter(|(id, _)| self.rows.contains_key(id))
    }
}
