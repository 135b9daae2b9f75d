//! One round of planning for the engines of one service.

use gentian_config::serving::EngineSpec;
use gentian_core::peer::TargetId;
use gentian_core::{
    AdapterId, FastMap, FenceNumber, ModelId, MonoTime, ServiceId, TimeSpan, UpstreamId,
};

use super::fleet_planner::{ModelUses, TargetUses};
use super::placement_choice::{LoadOption, LoadReason, find_option};
use super::{EngineOrder, FleetPlanner, OrderAction, OrderLane};
use crate::serving::UpstreamRow;

/// Requests that would wait for a load from disk from which a model gets a second copy, so that a
/// crash does not stop it.
const SPARE_WAITERS: f64 = 1.0;
/// Part of an engine's slots in use from which a model gets a further copy.
const FULL_PART: f64 = 0.12;

/// One round of planning for one service.
pub(super) struct PlanStep<'a> {
    pub(super) planner: &'a mut FleetPlanner,
    pub(super) service: &'a ServiceId,
    pub(super) uses: &'a TargetUses,
    pub(super) engine: &'a EngineSpec,
    pub(super) rows: FastMap<&'a UpstreamId, &'a UpstreamRow>,
    pub(super) models: ModelUses,
    /// Time in microseconds for which models wait that were given to a busy engine in this round.
    pub(super) queued: FastMap<UpstreamId, f64>,
    pub(super) fence: FenceNumber,
    pub(super) now: MonoTime,
}

impl PlanStep<'_> {
    /// Orders what requests for `target` wait for.
    pub(super) fn serve(&mut self, target: &TargetId) -> Option<EngineOrder> {
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
    pub(super) fn widen(&mut self) -> Vec<EngineOrder> {
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
