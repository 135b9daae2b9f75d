//! One planning round over the engines of one service.

use gentian_config::serving::EngineSpec;
use gentian_core::peer::TargetId;
use gentian_core::{
    AdapterId, ByteSize, FastMap, FastSet, FenceNumber, ModelId, MonoTime, ServiceId, TimeSpan,
    UpstreamId,
};

use super::fleet_planner::{ModelUses, TargetUses};
use super::model_use::SCALE_OUT_FRACTION;
use super::placement_choice::{LoadOption, LoadReason, WantedLoad, find_option};
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
            return match self.is_loading(&target.model) {
                true => None,
                false => self.load_model(&target.model, LoadReason::Waiting, false),
            };
        }
        target.adapter.as_ref()?;
        let is_loaded = engines.iter().any(|id| self.has_target(id, target));
        if is_loaded || self.loading.contains(target) {
            return None;
        }
        self.load_adapter(&engines, target)
    }

    /// Orders more copies of heavily used models, and loads from the weight store for waiting
    /// requests. The store serves few loads at a time, so models with the most requests go first.
    pub(super) fn add_copies(&mut self) -> Vec<EngineOrder> {
        let mut wanted: Vec<(f64, ModelId, LoadReason)> = Vec::new();
        for (model, usage) in &self.models {
            let reason = match usage.copies {
                0 if usage.waiting > 0 && !self.is_loading(model) => LoadReason::Waiting,
                copies if copies > 0 && copies < usage.wanted => LoadReason::ExtraCopy,
                _ => continue,
            };
            wanted.push((usage.requests_per_copy(), model.clone(), reason));
        }
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        let loads = wanted.into_iter();
        loads.filter_map(|(_, model, reason)| self.load_model(&model, reason, true)).collect()
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

    /// Orders a load of `model` on the engine with the lowest expected delay, from the weight store
    /// only if `uses_store`.
    fn load_model(
        &mut self,
        model: &ModelId,
        reason: LoadReason,
        uses_store: bool,
    ) -> Option<EngineOrder> {
        let spec = self.engine.models.get(model)?.clone();
        let load = WantedLoad {
            model: &spec,
            engine: self.engine,
            uses: &self.models,
            reason,
            now: self.now,
        };
        let mut options: Vec<LoadOption> = self
            .trackers()
            .filter(|(_, tracker)| {
                tracker.confirmed().is_some_and(|it| !it.loaded.contains_key(model))
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
        let has_capacity = uses_store && self.store_has_capacity();
        options.retain(|option| !option.is_from_store || has_capacity);
        let best = options.into_iter().min_by(|a, b| {
            a.cost_micros.total_cmp(&b.cost_micros).then_with(|| a.upstream.cmp(&b.upstream))
        })?;
        if !self.accepts_order(&best.upstream) {
            // The best engine is busy or cooling down, or no more orders may be given now. Later
            // models of the round count the load of this one as a delay.
            *self.queued_load_micros.entry(best.upstream).or_default() +=
                spec.disk_load_time.as_micros() as f64;
            return None;
        }
        self.models.entry(model.clone()).or_default().copies += 1;
        self.start_load(best, TargetId::new(model.clone()))
    }

    fn store_has_capacity(&mut self) -> bool {
        let open = self.planner.store_loads.len();
        let rate = self.engine.store_loads_per_second;
        self.planner.store_limiter.has_capacity(rate, self.planner.load_window, open, self.now)
    }

    fn start_load(&mut self, option: LoadOption, target: TargetId) -> Option<EngineOrder> {
        if option.is_from_store {
            self.planner.store_limiter.record_start(self.now);
            self.planner.store_loads.insert(option.upstream.clone(), target.model.clone());
        }
        self.loading.insert(target.clone());
        self.order_capacity = self.order_capacity.saturating_sub(1);
        let tracker = self.planner.trackers.get_mut(&option.upstream)?;
        let mut victims = option.victims.into_iter();
        match (victims.next(), victims.next()) {
            (None, _) => tracker.start_order(OrderAction::Load, target, None, self.fence, self.now),
            (Some(victim), more) => {
                // Only one order is sent now. If it is the last unload, the load follows it;
                // otherwise a later round plans the rest.
                let follow_up = more.is_none().then_some(target);
                let victim = TargetId::new(victim);
                tracker.start_order(OrderAction::Unload, victim, follow_up, self.fence, self.now)
            }
        }
    }

    fn load_adapter(&mut self, engines: &[UpstreamId], target: &TargetId) -> Option<EngineOrder> {
        let memory = self.engine.models.get(&target.model)?.adapter_memory;
        let mut free_engines: Vec<UpstreamId> =
            engines.iter().filter(|id| self.accepts_order(id)).cloned().collect();
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
            return tracker.start_order(
                OrderAction::Load,
                target.clone(),
                None,
                self.fence,
                self.now,
            );
        }
        // One that frees too little is unloaded by itself; the next round goes on from there.
        let follow_up = (free + freed >= memory).then(|| target.clone());
        tracker.start_order(OrderAction::Unload, victim?, follow_up, self.fence, self.now)
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
