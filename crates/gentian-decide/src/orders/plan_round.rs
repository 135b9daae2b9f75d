//! One round of planning for the engines of one service.

use gentian_config::serving::EngineSpec;
use gentian_core::peer::TargetId;
use gentian_core::{
    AdapterId, FastMap, FastSet, FenceNumber, ModelId, MonoTime, ServiceId, TimeSpan, UpstreamId,
};

use super::fleet_planner::{ModelUses, TargetUses};
use super::placement_choice::{FULL_PART, LoadOption, LoadReason, find_option};
use super::{EngineOrder, EngineTracker, FleetPlanner, OrderAction};
use crate::serving::UpstreamRow;

/// Delay that each request in an engine's batch adds to those of a model that is loaded there.
const NEIGHBOUR_DELAY: TimeSpan = TimeSpan::from_millis(10);

/// Orders without an answer at a time: a new holder finds much to order, and each order has a thread
/// and a connection while it is under way.
const ORDERS_AT_ONCE: usize = 24;

/// One round of planning for one service.
pub(super) struct PlanRound<'a> {
    planner: &'a mut FleetPlanner,
    service: &'a ServiceId,
    engine: &'a EngineSpec,
    uses: &'a TargetUses,
    rows: FastMap<&'a UpstreamId, &'a UpstreamRow>,
    models: ModelUses,
    /// Engines that held each model when the round began.
    holders: FastMap<ModelId, Vec<UpstreamId>>,
    /// What engines load, with the orders of this round.
    coming: FastSet<TargetId>,
    /// Time in microseconds for which models wait that were given to a busy engine in this round.
    queued: FastMap<UpstreamId, f64>,
    /// Orders that may still be given beside those without an answer.
    room: usize,
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
        let mut holders: FastMap<ModelId, Vec<UpstreamId>> = FastMap::default();
        let mut coming = FastSet::default();
        let unanswered = planner.lanes.values().filter(|lane| lane.is_unanswered()).count();
        for (id, lane) in planner.lanes.iter().filter(|(id, _)| rows.contains_key(id)) {
            for model in lane.known().into_iter().flat_map(|known| known.loaded.keys()) {
                holders.entry(model.clone()).or_default().push(id.clone());
            }
            coming.extend(lane.loading().cloned());
        }
        Self {
            planner,
            service,
            engine,
            uses,
            rows,
            models,
            holders,
            coming,
            queued: FastMap::default(),
            room: ORDERS_AT_ONCE.saturating_sub(unanswered),
            fence: FenceNumber::default(),
            now: MonoTime::ORIGIN,
        }
    }

    /// Sets the fencing number of the orders and the present time.
    pub(super) fn with_time(self, fence: FenceNumber, now: MonoTime) -> Self {
        Self { fence, now, ..self }
    }

    /// Orders what requests for `target` wait for.
    pub(super) fn serve(&mut self, target: &TargetId) -> Option<EngineOrder> {
        let holders = self.holders(&target.model);
        if holders.is_empty() {
            return match self.is_coming(&target.model) {
                true => None,
                false => self.load_model(&target.model, LoadReason::Waiting, false),
            };
        }
        target.adapter.as_ref()?;
        let is_there = holders.iter().any(|id| self.has(id, target));
        if is_there || self.coming.contains(target) {
            return None;
        }
        self.load_adapter(&holders, target)
    }

    /// Orders further copies of models that are in much use, and from the weight store what requests
    /// wait for. The store bears few loads at a time: those that most requests need go first.
    pub(super) fn widen(&mut self) -> Vec<EngineOrder> {
        let mut wanted: Vec<(f64, ModelId, LoadReason)> = Vec::new();
        for (model, usage) in &self.models {
            let reason = match usage.copies {
                0 if usage.waiting > 0 && !self.is_coming(model) => LoadReason::Waiting,
                copies if copies > 0 && copies < usage.wanted => LoadReason::Spare,
                _ => continue,
            };
            wanted.push((usage.requests_per_copy(), model.clone(), reason));
        }
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        let loads = wanted.into_iter();
        loads.filter_map(|(_, model, reason)| self.load_model(&model, reason, true)).collect()
    }

    /// Orders adapters in much use beside further copies of their models, where these have fewer
    /// requests than the engines that hold the adapters.
    pub(super) fn widen_adapters(&mut self) -> Vec<EngineOrder> {
        let service = self.service;
        let uses = self.uses.iter().filter(|((name, _), _)| name == service);
        let mut targets: Vec<(&TargetId, bool)> = uses
            .filter(|((_, target), usage)| target.adapter.is_some() && usage.is_active())
            .map(|((_, target), usage)| (target, usage.waiting > 0))
            .collect();
        targets.sort();
        let orders = targets.into_iter();
        orders.filter_map(|(target, is_awaited)| self.widen_adapter(target, is_awaited)).collect()
    }

    fn widen_adapter(&mut self, target: &TargetId, is_awaited: bool) -> Option<EngineOrder> {
        let (with, without): (Vec<UpstreamId>, Vec<UpstreamId>) =
            self.holders(&target.model).into_iter().partition(|id| self.has(id, target));
        let least = with.iter().map(|id| self.running_at(id)).min()?;
        // Requests wait only where the engines that hold it are full.
        let full = match is_awaited {
            true => 1.0,
            false => self.engine.batch_slots.get() as f64 * FULL_PART,
        };
        let others: Vec<UpstreamId> = without
            .into_iter()
            .filter(|id| f64::from(self.running_at(id)) + full <= f64::from(least))
            .collect();
        if others.is_empty() || self.coming.contains(target) {
            return None;
        }
        self.load_adapter(&others, target)
    }

    /// Tells whether an engine loads a model, or an adapter of it.
    fn is_coming(&self, model: &ModelId) -> bool {
        self.coming.iter().any(|coming| coming.model == *model)
    }

    fn running_at(&self, id: &UpstreamId) -> u32 {
        self.rows.get(id).map_or(0, |row| row.work().running)
    }

    /// Orders a load of `model` where it is there soonest, from the weight store only if `uses_store`.
    fn load_model(
        &mut self,
        model: &ModelId,
        reason: LoadReason,
        uses_store: bool,
    ) -> Option<EngineOrder> {
        let spec = self.engine.models.get(model)?.clone();
        let mut options: Vec<LoadOption> = self
            .lanes()
            .filter(|(_, lane)| lane.known().is_some_and(|it| !it.loaded.contains_key(model)))
            .filter_map(|(id, lane)| {
                find_option(lane, id, &spec, self.engine, &self.models, (reason, self.now))
            })
            .collect();
        for option in &mut options {
            option.cost +=
                f64::from(self.running_at(&option.upstream)) * NEIGHBOUR_DELAY.as_micros() as f64;
            option.cost += self.queued.get(&option.upstream).copied().unwrap_or(0.0);
        }
        let has_room = uses_store && self.store_has_room();
        options.retain(|option| !option.is_from_store || has_room);
        let best = options
            .into_iter()
            .min_by(|a, b| a.cost.total_cmp(&b.cost).then_with(|| a.upstream.cmp(&b.upstream)))?;
        if !self.is_lane_free(&best.upstream) {
            // A copy close by is worth the wait for its engine; later models queue behind this one.
            *self.queued.entry(best.upstream).or_default() +=
                spec.disk_load_time.as_micros() as f64;
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
        self.coming.insert(target.clone());
        self.room = self.room.saturating_sub(1);
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
        let mut free: Vec<UpstreamId> =
            holders.iter().filter(|id| self.is_lane_free(id)).cloned().collect();
        free.sort_by_key(|id| {
            (self.planner.lanes[id].adapter_count(), self.running_at(id), id.clone())
        });
        let id = free.first()?.clone();
        self.coming.insert(target.clone());
        self.room = self.room.saturating_sub(1);
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

    /// Engines that hold a model which no order changes.
    fn holders(&self, model: &ModelId) -> Vec<UpstreamId> {
        let is_steady = |id: &&UpstreamId| {
            self.planner.lanes.get(*id).is_some_and(|lane| lane.changing() != Some(model))
        };
        let held = self.holders.get(model).into_iter().flatten();
        held.filter(is_steady).cloned().collect()
    }

    fn has(&self, id: &UpstreamId, target: &TargetId) -> bool {
        self.planner.lanes.get(id).is_some_and(|lane| lane.has(target))
    }

    fn is_lane_free(&self, id: &UpstreamId) -> bool {
        let is_free = self.planner.lanes.get(id).is_some_and(EngineTracker::is_free);
        is_free && self.room > 0 && !self.planner.cooldowns.is_cooling_down(id, self.now)
    }

    fn lanes(&self) -> impl Iterator<Item = (&UpstreamId, &EngineTracker)> {
        self.planner.lanes.iter().filter(|(id, _)| self.rows.contains_key(id))
    }
}
