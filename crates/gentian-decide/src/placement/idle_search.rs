//! Search for idle objects that may be unloaded from an engine.

use std::cmp::Reverse;

use gentian_config::ConfigSet;
use gentian_core::peer::{ObjectPhase, ObjectView, TargetId};
use gentian_core::{ByteSize, ModelId, MonoTime, TimeSpan};

use super::{DemandTracker, EngineState, IdleCost, SizedTarget};

/// Idle time below which an object is not unloaded to free memory for another one.
const MIN_IDLE_TIME: TimeSpan = TimeSpan::from_millis(5_000);
/// Expected time of a model load.
const MODEL_LOAD_TIME: TimeSpan = TimeSpan::from_millis(2_000);
/// Expected time of an adapter load.
const ADAPTER_LOAD_TIME: TimeSpan = TimeSpan::from_millis(15);

/// Search over one configuration and the current demand.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleSearch<'a> {
    /// Configuration in force.
    pub(super) set: &'a ConfigSet,
    /// Demand of the entries.
    pub(super) demands: &'a DemandTracker,
    /// Time from which an object that was never seen in use counts as idle.
    pub(super) since: MonoTime,
    /// Current time.
    pub(super) now: MonoTime,
}

impl IdleSearch<'_> {
    /// Chooses the objects to unload so that `target` fits on `engine`, or returns `None` if it cannot
    /// be made to fit.
    pub(super) fn choose_victims(
        &self,
        engine: &EngineState,
        target: &TargetId,
        needed: ByteSize,
    ) -> Option<Vec<SizedTarget>> {
        let mut free_memory = engine.free_memory() + self.unloading_memory(engine);
        let mut victims = Vec::new();
        for victim in self.eviction_candidates(engine, target) {
            if free_memory >= needed {
                break;
            }
            free_memory = free_memory + victim.memory;
            victims.push(victim);
        }
        (free_memory >= needed).then_some(victims)
    }

    /// Returns the objects of `engine` whose idle cost has reached the cost of loading them again. A
    /// base model is not among them while the engine has an adapter on it.
    pub(super) fn objects_past_break_even(&self, engine: &EngineState) -> Vec<SizedTarget> {
        let Some(report) = engine.report(self.now) else { return Vec::new() };
        let objects = engine.objects();
        let has_adapter = |target: &TargetId| {
            let mut others = objects.iter().map(|object| &object.target);
            target.adapter.is_none()
                && others.any(|other| other.adapter.is_some() && other.model == target.model)
        };
        let loaded = objects.iter().filter(|object| object.phase == ObjectPhase::Loaded);
        let removable = loaded.map(|object| &object.target).filter(|t| !has_adapter(t));
        let is_past_break_even = |object: &SizedTarget| {
            let is_adapter = object.target.adapter.is_some();
            let load_time = if is_adapter { ADAPTER_LOAD_TIME } else { MODEL_LOAD_TIME };
            let engine_memory = report.memory_total;
            let cost = IdleCost { memory: object.memory, engine_memory, load_time };
            self.idle_time(&object.target).is_some_and(|span| span >= cost.break_even())
        };
        removable.map(|target| self.sized(target)).filter(is_past_break_even).collect()
    }

    /// Returns the objects that may be unloaded for `target`: the loaded ones of every other model
    /// of which every object has been idle for at least [`MIN_IDLE_TIME`]. The model that has been
    /// idle longest goes first, and the adapters of each model go before the base model.
    fn eviction_candidates(&self, engine: &EngineState, target: &TargetId) -> Vec<SizedTarget> {
        let objects = engine.objects();
        let is_idle = |object: &ObjectView| {
            self.idle_time(&object.target).is_some_and(|span| span >= MIN_IDLE_TIME)
        };
        let objects_of = |model: &ModelId| -> Vec<&ObjectView> {
            objects.iter().filter(|object| object.target.model == *model).collect()
        };
        let mut models: Vec<&ModelId> = objects.iter().map(|o| &o.target.model).collect();
        models.sort();
        models.dedup();
        models.retain(|model| **model != target.model);
        models.retain(|model| objects_of(model).into_iter().all(is_idle));
        models.sort_by_key(|model| Reverse(self.idle_time(&TargetId::new((*model).clone()))));
        let candidates = models.into_iter().flat_map(|model| {
            let mut group = objects_of(model);
            group.sort_by_key(|object| object.target.adapter.is_none());
            group
        });
        let loaded = candidates.filter(|object| object.phase == ObjectPhase::Loaded);
        loaded.map(|object| self.sized(&object.target)).collect()
    }

    /// Returns the memory of the objects that are being unloaded.
    fn unloading_memory(&self, engine: &EngineState) -> ByteSize {
        let objects = engine.objects().into_iter();
        let unloading = objects.filter(|object| object.phase == ObjectPhase::Unloading);
        unloading.map(|object| self.sized(&object.target).memory).sum()
    }

    /// Returns for how long `target` has been idle, or `None` while requests wait for it or run on it.
    fn idle_time(&self, target: &TargetId) -> Option<TimeSpan> {
        let demand = self.demands.demand(target, self.now);
        let is_idle = demand.running + demand.waiting == 0;
        is_idle.then(|| self.demands.idle_time(target, self.since, self.now))
    }

    fn sized(&self, target: &TargetId) -> SizedTarget {
        let memory = self.set.memory_of(&target.model, target.adapter.as_ref());
        SizedTarget { target: target.clone(), memory: memory.unwrap_or_default() }
    }
}
