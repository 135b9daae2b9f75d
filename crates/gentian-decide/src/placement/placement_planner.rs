//! Decisions of the holder of the placement seat.

use std::sync::Arc;

use gentian_config::{ConfigSet, UpstreamKind, UpstreamSpec};
use gentian_core::peer::{ObjectPhase, PlacementReply, PlacementRequest, SeatId, TargetId};
use gentian_core::{
    ByteSize, FastMap, FastSet, FenceNumber, ModelId, MonoTime, OrderId, TimeSpan, UpstreamId,
};

use super::demand_tracker::TotalDemand;
use super::idle_search::IdleSearch;
use super::{
    DemandTracker, EngineReport, EngineState, LoadLimiter, OrderKind, OrderOutcome, PlacementOrder,
    SizedTarget, UpstreamViews,
};

/// Time after taking the seat in which the effects of an earlier holder's orders become visible in
/// reports.
const SETTLE_TIME: TimeSpan = TimeSpan::from_millis(3_000);
/// Demand for a target, in percent of the slots of its engines, above which a replica is added.
const SCALE_OUT_DEMAND_PERCENT: u64 = 80;
/// Time between two refreshes of the views of all upstreams.
const VIEW_REFRESH_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Time between two searches for objects whose idle cost has reached that of a load.
const IDLE_SEARCH_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);
/// Bits of an order id below the fencing number, which hold the count of orders.
const ORDER_NUMBER_BITS: u32 = 32;

/// Decides loads and unloads, and keeps the state of upstreams that is sent to entries.
#[derive(Debug)]
pub struct PlacementPlanner {
    seat: SeatId,
    fence: FenceNumber,
    started_at: MonoTime,
    /// No orders are made before this time.
    orders_start: MonoTime,
    set: Arc<ConfigSet>,
    /// Engines that some route lists for each model.
    engines_by_model: FastMap<ModelId, Vec<UpstreamSpec>>,
    /// States of the upstreams that have reported or were given an order. Reports of every configured
    /// upstream are accepted, not only of engines.
    engines: FastMap<UpstreamId, EngineState>,
    /// Upstreams whose VMs the platform lists as leaving.
    leaving: FastSet<UpstreamId>,
    demands: DemandTracker,
    views: UpstreamViews,
    changed_upstreams: FastSet<UpstreamId>,
    views_refreshed_at: MonoTime,
    idle_searched_at: MonoTime,
    limiter: LoadLimiter,
    order_count: u64,
}

impl PlacementPlanner {
    /// Creates the planner of a holder that starts to act now.
    pub fn new(seat: SeatId, fence: FenceNumber, now: MonoTime) -> Self {
        let is_first = fence == FenceNumber::new(1);
        Self {
            seat,
            fence,
            started_at: now,
            orders_start: if is_first { now } else { now + SETTLE_TIME },
            set: Arc::default(),
            engines_by_model: FastMap::default(),
            engines: FastMap::default(),
            leaving: FastSet::default(),
            demands: DemandTracker::new(),
            views: UpstreamViews::new(),
            changed_upstreams: FastSet::default(),
            views_refreshed_at: MonoTime::ORIGIN,
            idle_searched_at: MonoTime::ORIGIN,
            limiter: LoadLimiter::new(),
            order_count: 0,
        }
    }

    /// Applies a configuration.
    pub fn update(&mut self, set: Arc<ConfigSet>) {
        self.engines.retain(|id, _| set.upstreams.contains_key(id));
        self.engines_by_model = group_engines_by_model(&set);
        self.set = set;
        self.views_refreshed_at = MonoTime::ORIGIN;
    }

    /// Replaces the set of upstreams whose VMs the platform lists as leaving.
    pub fn update_leaving(&mut self, leaving: FastSet<UpstreamId>) {
        self.leaving = leaving;
        self.views_refreshed_at = MonoTime::ORIGIN;
    }

    /// Handles a report whose status call was sent at `requested_at`.
    pub fn handle_report(&mut self, report: EngineReport, requested_at: MonoTime) {
        if self.set.upstreams.contains_key(&report.upstream) {
            self.changed_upstreams.insert(report.upstream.clone());
            self.engines
                .entry(report.upstream.clone())
                .or_default()
                .handle_report(report, requested_at);
        }
    }

    /// Handles the outcome of an order.
    pub fn handle_outcome(
        &mut self,
        upstream: &UpstreamId,
        id: OrderId,
        outcome: OrderOutcome,
        now: MonoTime,
    ) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.handle_outcome(id, outcome, now);
            self.changed_upstreams.insert(upstream.clone());
        }
    }

    /// Handles the demand of an entry and returns the changes of the views that it does not have yet.
    pub fn handle_request(&mut self, request: &PlacementRequest, now: MonoTime) -> PlacementReply {
        self.demands.update_demand(request, now);
        self.refresh_views(now);
        self.views.make_reply(request, self.seat, self.fence)
    }

    /// Returns the orders that are to be sent now.
    pub fn decide(&mut self, now: MonoTime) -> Vec<PlacementOrder> {
        if now < self.orders_start {
            return Vec::new();
        }
        let mut orders = self.resend_orders(now);
        // Targets without a replica go first, so that no load of a further replica delays them.
        let (served, unserved): (Vec<_>, Vec<_>) = self
            .demands
            .waiting(now)
            .into_iter()
            .partition(|(target, _)| self.has_replica(target, now));
        for (target, demand) in unserved.into_iter().chain(served) {
            orders.extend(self.decide_target(&target, demand, now));
        }
        orders.extend(self.unload_idle(now));
        orders
    }

    fn resend_orders(&mut self, now: MonoTime) -> Vec<PlacementOrder> {
        let engines = self.engines.values_mut();
        engines.flat_map(|engine| engine.start_resends(now)).collect()
    }

    fn decide_target(
        &mut self,
        target: &TargetId,
        demand: TotalDemand,
        now: MonoTime,
    ) -> Vec<PlacementOrder> {
        let engines = self.available_engines(target, now);
        let (replicas, candidates): (Vec<_>, Vec<_>) =
            engines.iter().cloned().partition(|spec| self.has_replica_on(target, &spec.id));
        let slots: u64 = replicas.iter().map(|replica| replica.slots.get()).sum();
        let calls = u64::from(demand.waiting) + u64::from(demand.running);
        if !replicas.is_empty() && calls * 100 <= slots * SCALE_OUT_DEMAND_PERCENT {
            return Vec::new();
        }
        let base = target.base();
        let is_base_loading =
            target.adapter.is_some() && engines.iter().any(|spec| self.is_loading(&base, &spec.id));
        if is_base_loading {
            return Vec::new();
        }
        match self.choose_engine(target, &candidates) {
            Some(upstream) => self.load_on(target, &upstream, now).into_iter().collect(),
            None if replicas.is_empty() => self.unload_to_fit(target, &candidates, now),
            None => Vec::new(),
        }
    }

    /// Returns whether `target` is loaded or loading on an engine that accepts new work.
    fn has_replica(&self, target: &TargetId, now: MonoTime) -> bool {
        self.available_engines(target, now).iter().any(|spec| self.has_replica_on(target, &spec.id))
    }

    fn has_replica_on(&self, target: &TargetId, upstream: &UpstreamId) -> bool {
        let phase = self.engines.get(upstream).and_then(|engine| engine.phase(target));
        matches!(phase, Some(ObjectPhase::Loaded | ObjectPhase::Loading))
    }

    fn is_loading(&self, target: &TargetId, upstream: &UpstreamId) -> bool {
        let engine = self.engines.get(upstream);
        engine.and_then(|engine| engine.phase(target)) == Some(ObjectPhase::Loading)
    }

    /// Returns the engines that accept new work and may serve `target`.
    fn available_engines(&self, target: &TargetId, now: MonoTime) -> Vec<UpstreamSpec> {
        let listed = self.engines_by_model.get(&target.model).into_iter().flatten();
        let is_available = |spec: &&UpstreamSpec| {
            let engine = self.engines.get(&spec.id);
            let is_live = engine.is_some_and(|engine| engine.report(now).is_some());
            is_live && self.set.is_serving(spec) && !self.leaving.contains(&spec.id)
        };
        listed.filter(is_available).cloned().collect()
    }

    /// Chooses an engine with enough free memory. One that has the base model loaded is preferred,
    /// then the one with the most free memory.
    fn choose_engine(&self, target: &TargetId, candidates: &[UpstreamSpec]) -> Option<UpstreamId> {
        let fitting = candidates.iter().filter_map(|spec| {
            let engine = self.engines.get(&spec.id)?;
            let needed = self.needed_memory(target, engine)?;
            let free_memory = engine.free_memory();
            let has_base = engine.phase(&target.base()) == Some(ObjectPhase::Loaded);
            (free_memory >= needed).then(|| (has_base, free_memory, spec.id.clone()))
        });
        fitting.max().map(|(_, _, id)| id)
    }

    fn needed_memory(&self, target: &TargetId, engine: &EngineState) -> Option<ByteSize> {
        let own = self.set.memory_of(&target.model, target.adapter.as_ref())?;
        if target.adapter.is_none() || engine.phase(&target.base()).is_some() {
            return Some(own);
        }
        Some(own + self.set.memory_of(&target.model, None)?)
    }

    fn load_on(
        &mut self,
        target: &TargetId,
        upstream: &UpstreamId,
        now: MonoTime,
    ) -> Option<PlacementOrder> {
        let base_phase = self.engines.get(upstream)?.phase(&target.base());
        let next = match base_phase {
            Some(ObjectPhase::Loaded) => target.clone(),
            None => target.base(),
            Some(ObjectPhase::Loading | ObjectPhase::Unloading) => return None,
        };
        let of_adapters = next.adapter.is_some();
        let running_loads: usize =
            self.engines.values().map(|engine| engine.running_loads(of_adapters)).sum();
        if !self.limiter.acquire_load(&next, running_loads, &self.set.fleet, now) {
            return None;
        }
        let memory = self.set.memory_of(&next.model, next.adapter.as_ref())?;
        let object = SizedTarget { target: next, memory };
        Some(self.make_order(OrderKind::Load, object, upstream, "demand", now))
    }

    /// Returns the orders that unload idle objects of one engine, longest idle first, so that
    /// `target` fits there. The engine is the one with the fewest objects to unload.
    fn unload_to_fit(
        &mut self,
        target: &TargetId,
        candidates: &[UpstreamSpec],
        now: MonoTime,
    ) -> Vec<PlacementOrder> {
        let search = self.idle_search(now);
        let plans = candidates.iter().filter_map(|spec| {
            let engine = self.engines.get(&spec.id)?;
            let needed = self.needed_memory(target, engine)?;
            let victims = search.choose_victims(engine, target, needed)?;
            Some((victims.len(), spec.id.clone(), victims))
        });
        let Some((_, upstream, victims)) = plans.min() else { return Vec::new() };
        let unload = |victim| self.make_order(OrderKind::Unload, victim, &upstream, "room", now);
        victims.into_iter().map(unload).collect()
    }

    fn unload_idle(&mut self, now: MonoTime) -> Vec<PlacementOrder> {
        if now.since(self.idle_searched_at) < IDLE_SEARCH_INTERVAL {
            return Vec::new();
        }
        self.idle_searched_at = now;
        let search = self.idle_search(now);
        let past_break_even = |(id, engine): (&UpstreamId, &EngineState)| {
            let objects = search.objects_past_break_even(engine);
            objects.into_iter().map(|object| (id.clone(), object)).collect::<Vec<_>>()
        };
        let due: Vec<(UpstreamId, SizedTarget)> =
            self.engines.iter().flat_map(past_break_even).collect();
        let unload = |(id, object)| self.make_order(OrderKind::Unload, object, &id, "idle", now);
        due.into_iter().map(unload).collect()
    }

    fn idle_search(&self, now: MonoTime) -> IdleSearch<'_> {
        IdleSearch { set: &self.set, demands: &self.demands, since: self.started_at, now }
    }

    fn make_order(
        &mut self,
        kind: OrderKind,
        object: SizedTarget,
        upstream: &UpstreamId,
        reason: &'static str,
        now: MonoTime,
    ) -> PlacementOrder {
        self.order_count += 1;
        let SizedTarget { target, memory } = object;
        let id = OrderId::new(self.fence.get() << ORDER_NUMBER_BITS | self.order_count);
        let (fence, upstream, decided_at) = (self.fence, upstream.clone(), now);
        let order =
            PlacementOrder { id, fence, upstream, kind, target, memory, reason, decided_at };
        self.changed_upstreams.insert(order.upstream.clone());
        let engine = self.engines.entry(order.upstream.clone()).or_default();
        engine.add_order(order.clone(), now);
        order
    }

    /// Refreshes the views of changed upstreams. After each [`VIEW_REFRESH_INTERVAL`] it refreshes
    /// those of all upstreams, since a report can expire without any event.
    fn refresh_views(&mut self, now: MonoTime) {
        let changed = std::mem::take(&mut self.changed_upstreams);
        if now.since(self.views_refreshed_at) >= VIEW_REFRESH_INTERVAL {
            self.views_refreshed_at = now;
            let set = Arc::clone(&self.set);
            set.upstreams.keys().for_each(|id| self.refresh_view(id, now));
        } else {
            changed.iter().for_each(|id| self.refresh_view(id, now));
        }
    }

    fn refresh_view(&mut self, id: &UpstreamId, now: MonoTime) {
        let engine = self.engines.get(id);
        let boot = engine.and_then(|engine| engine.report(now)).map(|report| report.boot);
        let objects = engine.map(EngineState::objects).unwrap_or_default();
        let objects = if boot.is_some() { objects } else { Vec::new() };
        self.views.update(id, boot, objects, self.leaving.contains(id));
    }
}

fn group_engines_by_model(set: &ConfigSet) -> FastMap<ModelId, Vec<UpstreamSpec>> {
    let mut engines_by_model: FastMap<ModelId, Vec<UpstreamSpec>> = FastMap::default();
    for route in set.routes.values().filter(|route| route.kind == UpstreamKind::Engine) {
        for model in &route.models {
            let specs = engines_by_model.entry(model.clone()).or_default();
            specs.extend(route.upstreams.iter().filter_map(|id| set.upstreams.get(id)).cloned());
        }
    }
    for specs in engines_by_model.values_mut() {
        specs.sort_by(|a, b| a.id.cmp(&b.id));
        specs.dedup_by(|a, b| a.id == b.id);
    }
    engines_by_model
}
