//! Everything that the holder of the placement seat decides.

use std::sync::Arc;

use gentian_config::{ConfigSet, UpstreamKind, UpstreamSpec};
use gentian_core::peer::{ObjectPhase, PlacementReply, PlacementRequest, SeatId, TargetId};
use gentian_core::{
    ByteSize, FastMap, FastSet, FenceNumber, ModelId, MonoTime, OrderId, TimeSpan, UpstreamId,
};

use super::demand_tracker::TargetLoad;
use super::idle_search::IdleSearch;
use super::{
    DemandTracker, EngineReport, EngineState, LoadLimiter, OrderKind, OrderOutcome, PlacementOrder,
    SizedTarget, UpstreamViews,
};

/// Time after taking the seat in which orders of the earlier holder become visible.
const SETTLE_TIME: TimeSpan = TimeSpan::from_millis(3_000);
/// Load of a replica, in percent of its slots, above which another one is wanted.
const FULL_PERCENT: u64 = 80;
/// Time between two refreshes of the whole view.
const SWEEP_EVERY: TimeSpan = TimeSpan::from_millis(500);
/// Time between two searches for objects that have been idle for long.
const IDLE_SEARCH_EVERY: TimeSpan = TimeSpan::from_millis(1_000);
/// Bits of an order id below the fencing number.
const ORDER_BITS: u32 = 32;

/// Decides loads and unloads, and keeps the view that entries follow.
#[derive(Debug)]
pub struct PlacementPlanner {
    seat: SeatId,
    fence: FenceNumber,
    started: MonoTime,
    settled: MonoTime,
    set: Arc<ConfigSet>,
    /// Engines that some route offers for each model.
    offers: FastMap<ModelId, Vec<UpstreamSpec>>,
    engines: FastMap<UpstreamId, EngineState>,
    leaving: FastSet<UpstreamId>,
    demands: DemandTracker,
    views: UpstreamViews,
    changed: FastSet<UpstreamId>,
    swept: MonoTime,
    idle_searched: MonoTime,
    gate: LoadLimiter,
    orders: u64,
}

impl PlacementPlanner {
    /// Creates the planner of a holder that starts to act now.
    pub fn new(seat: SeatId, fence: FenceNumber, now: MonoTime) -> Self {
        let is_first = fence == FenceNumber::new(1);
        Self {
            seat,
            fence,
            started: now,
            settled: if is_first { now } else { now + SETTLE_TIME },
            set: Arc::default(),
            offers: FastMap::default(),
            engines: FastMap::default(),
            leaving: FastSet::default(),
            demands: DemandTracker::new(),
            views: UpstreamViews::new(),
            changed: FastSet::default(),
            swept: MonoTime::ORIGIN,
            idle_searched: MonoTime::ORIGIN,
            gate: LoadLimiter::new(),
            orders: 0,
        }
    }

    /// Takes a configuration over.
    pub fn update(&mut self, set: Arc<ConfigSet>) {
        self.engines.retain(|id, _| set.upstreams.contains_key(id));
        self.offers = find_offers(&set);
        self.set = set;
        self.swept = MonoTime::ORIGIN;
    }

    /// Takes the upstreams over whose VMs the platform lists as leaving.
    pub fn update_leaving(&mut self, leaving: FastSet<UpstreamId>) {
        self.leaving = leaving;
        self.swept = MonoTime::ORIGIN;
    }

    /// Takes a report in; `asked` is when the status call was sent.
    pub fn handle_report(&mut self, report: EngineReport, asked: MonoTime) {
        if self.set.upstreams.contains_key(&report.upstream) {
            self.changed.insert(report.upstream.clone());
            self.engines.entry(report.upstream.clone()).or_default().handle_report(report, asked);
        }
    }

    /// Takes the end of an order in.
    pub fn handle_outcome(
        &mut self,
        upstream: &UpstreamId,
        id: OrderId,
        end: OrderOutcome,
        now: MonoTime,
    ) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.handle_outcome(id, end, now);
            self.changed.insert(upstream.clone());
        }
    }

    /// Takes the demand of an entry in and answers with the changes that it does not know.
    pub fn handle_request(&mut self, ask: &PlacementRequest, now: MonoTime) -> PlacementReply {
        self.demands.handle_request(ask, now);
        self.refresh_views(now);
        self.views.answer(ask, self.seat, self.fence)
    }

    /// Decides the orders that are due.
    pub fn decide(&mut self, now: MonoTime) -> Vec<PlacementOrder> {
        if now < self.settled {
            return Vec::new();
        }
        let mut orders = self.resend_orders(now);
        // A load of the first replica is not kept waiting by one of a further replica.
        let (served, unserved): (Vec<_>, Vec<_>) = self
            .demands
            .waiting(now)
            .into_iter()
            .partition(|(target, _)| self.has_host(target, now));
        for (target, load) in unserved.into_iter().chain(served) {
            orders.extend(self.decide_target(&target, load, now));
        }
        orders.extend(self.unload_idle(now));
        orders
    }

    fn resend_orders(&mut self, now: MonoTime) -> Vec<PlacementOrder> {
        let engines = self.engines.values_mut();
        engines.flat_map(|engine| engine.drain_resends(now)).collect()
    }

    fn decide_target(
        &mut self,
        target: &TargetId,
        load: TargetLoad,
        now: MonoTime,
    ) -> Vec<PlacementOrder> {
        let open = self.open_engines(target, now);
        let (hosts, free): (Vec<_>, Vec<_>) =
            open.iter().cloned().partition(|spec| self.is_host(target, &spec.id));
        let slots: u64 = hosts.iter().map(|host| host.slots.get()).sum();
        let demand = u64::from(load.waiting) + u64::from(load.running);
        if !hosts.is_empty() && demand * 100 <= slots * FULL_PERCENT {
            return Vec::new();
        }
        let base = target.base();
        let is_base_coming =
            target.adapter.is_some() && open.iter().any(|spec| self.is_loading(&base, &spec.id));
        if is_base_coming {
            return Vec::new();
        }
        match self.choose_engine(target, &free) {
            Some(upstream) => self.load_on(target, &upstream, now).into_iter().collect(),
            None if hosts.is_empty() => self.make_room(target, &free, now),
            None => Vec::new(),
        }
    }

    /// Tells whether `target` is loaded or being loaded on an engine that takes new work.
    fn has_host(&self, target: &TargetId, now: MonoTime) -> bool {
        self.open_engines(target, now).iter().any(|spec| self.is_host(target, &spec.id))
    }

    fn is_host(&self, target: &TargetId, upstream: &UpstreamId) -> bool {
        let phase = self.engines.get(upstream).and_then(|engine| engine.phase(target));
        matches!(phase, Some(ObjectPhase::Loaded | ObjectPhase::Loading))
    }

    fn is_loading(&self, target: &TargetId, upstream: &UpstreamId) -> bool {
        let engine = self.engines.get(upstream);
        engine.and_then(|engine| engine.phase(target)) == Some(ObjectPhase::Loading)
    }

    /// Engines that take new work and may serve `target`.
    fn open_engines(&self, target: &TargetId, now: MonoTime) -> Vec<UpstreamSpec> {
        let offered = self.offers.get(&target.model).into_iter().flatten();
        let is_open = |spec: &&UpstreamSpec| {
            let engine = self.engines.get(&spec.id);
            let is_live = engine.is_some_and(|engine| engine.report(now).is_some());
            is_live && self.set.is_serving(spec) && !self.leaving.contains(&spec.id)
        };
        offered.filter(is_open).cloned().collect()
    }

    /// The engine with enough free memory: first one that has the base model, then the one with
    /// the most memory left.
    fn choose_engine(&self, target: &TargetId, free: &[UpstreamSpec]) -> Option<UpstreamId> {
        let fitting = free.iter().filter_map(|spec| {
            let engine = self.engines.get(&spec.id)?;
            let needed = self.needed_memory(target, engine)?;
            let left = engine.free_memory();
            let has_base = engine.phase(&target.base()) == Some(ObjectPhase::Loaded);
            (left >= needed).then(|| (has_base, left, spec.id.clone()))
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
        let open: usize = self.engines.values().map(|engine| engine.open_loads(of_adapters)).sum();
        if !self.gate.pass(&next, open, &self.set.fleet, now) {
            return None;
        }
        let memory = self.set.memory_of(&next.model, next.adapter.as_ref())?;
        let object = SizedTarget { target: next, memory };
        Some(self.order(OrderKind::Load, object, upstream, "demand", now))
    }

    /// Unloads idle objects of one engine until `target` fits, the longest idle first.
    fn make_room(
        &mut self,
        target: &TargetId,
        free: &[UpstreamSpec],
        now: MonoTime,
    ) -> Vec<PlacementOrder> {
        let search = self.idle_search(now);
        let plans = free.iter().filter_map(|spec| {
            let engine = self.engines.get(&spec.id)?;
            let needed = self.needed_memory(target, engine)?;
            let victims = search.choose_victims(engine, target, needed)?;
            Some((victims.len(), spec.id.clone(), victims))
        });
        let Some((_, upstream, victims)) = plans.min() else { return Vec::new() };
        let unload = |victim| self.order(OrderKind::Unload, victim, &upstream, "room", now);
        victims.into_iter().map(unload).collect()
    }

    fn unload_idle(&mut self, now: MonoTime) -> Vec<PlacementOrder> {
        if now.since(self.idle_searched) < IDLE_SEARCH_EVERY {
            return Vec::new();
        }
        self.idle_searched = now;
        let search = self.idle_search(now);
        let past_break_even = |(id, engine): (&UpstreamId, &EngineState)| {
            let objects = search.past_break_even(engine);
            objects.into_iter().map(|object| (id.clone(), object)).collect::<Vec<_>>()
        };
        let due: Vec<(UpstreamId, SizedTarget)> =
            self.engines.iter().flat_map(past_break_even).collect();
        let unload = |(id, object)| self.order(OrderKind::Unload, object, &id, "idle", now);
        due.into_iter().map(unload).collect()
    }

    fn idle_search(&self, now: MonoTime) -> IdleSearch<'_> {
        IdleSearch { set: &self.set, demands: &self.demands, since: self.started, now }
    }

    fn order(
        &mut self,
        kind: OrderKind,
        object: SizedTarget,
        upstream: &UpstreamId,
        reason: &'static str,
        now: MonoTime,
    ) -> PlacementOrder {
        self.orders += 1;
        let SizedTarget { target, memory } = object;
        let id = OrderId::new(self.fence.get() << ORDER_BITS | self.orders);
        let (fence, upstream, decided) = (self.fence, upstream.clone(), now);
        let order = PlacementOrder { id, fence, upstream, kind, target, memory, reason, decided };
        self.changed.insert(order.upstream.clone());
        let engine = self.engines.entry(order.upstream.clone()).or_default();
        engine.add_order(order.clone(), now);
        order
    }

    /// Brings the view of changed upstreams up to date, and now and then that of all, since reports
    /// grow old without any event.
    fn refresh_views(&mut self, now: MonoTime) {
        let changed = std::mem::take(&mut self.changed);
        if now.since(self.swept) >= SWEEP_EVERY {
            self.swept = now;
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
        self.views.note(id, boot, objects, self.leaving.contains(id));
    }
}

fn find_offers(set: &ConfigSet) -> FastMap<ModelId, Vec<UpstreamSpec>> {
    let mut offers: FastMap<ModelId, Vec<UpstreamSpec>> = FastMap::default();
    for route in set.routes.values().filter(|route| route.kind == UpstreamKind::Engine) {
        for model in &route.models {
            let specs = offers.entry(model.clone()).or_default();
            specs.extend(route.upstreams.iter().filter_map(|id| set.upstreams.get(id)).cloned());
        }
    }
    for specs in offers.values_mut() {
        specs.sort_by(|a, b| a.id.cmp(&b.id));
        specs.dedup_by(|a, b| a.id == b.id);
    }
    offers
}
