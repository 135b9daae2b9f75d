//! Search for objects that may leave an engine.

use std::cmp::Reverse;

use gentian_config::ConfigSet;
use gentian_core::peer::{ObjectPhase, ObjectView, TargetId};
use gentian_core::{ByteSize, ModelId, MonoTime, TimeSpan};

use super::{DemandTracker, EngineState, IdleCost, SizedTarget};

/// Idle time below which an object is not unloaded to make room.
const KEEP_TIME: TimeSpan = TimeSpan::from_millis(5_000);
/// Expected time of a model load and of an adapter load.
const MODEL_LOAD_TIME: TimeSpan = TimeSpan::from_millis(2_000);
const ADAPTER_LOAD_TIME: TimeSpan = TimeSpan::from_millis(15);

/// What the search looks at.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleSearch<'a> {
    /// Configuration in force.
    pub(super) set: &'a ConfigSet,
    /// Demand at the entries.
    pub(super) demands: &'a DemandTracker,
    /// Time from which on an object never seen in use counts as idle.
    pub(super) since: MonoTime,
    /// The present time.
    pub(super) now: MonoTime,
}

impl IdleSearch<'_> {
    /// Chooses the objects whose leaving makes room for `target` on `engine`; `None` if there is no
    /// way to make room.
    pub(super) fn choose_victims(
        &self,
        engine: &EngineState,
        target: &TargetId,
        needed: ByteSize,
    ) -> Option<Vec<SizedTarget>> {
        let mut room = engine.free_memory() + self.leaving_memory(engine);
        let mut victims = Vec::new();
        for victim in self.idle_families(engine, target) {
            if room >= needed {
                break;
            }
            room = room + victim.memory;
            victims.push(victim);
        }
        (room >= needed).then_some(victims)
    }

    /// Returns the objects of `engine` whose idle memory has cost as much as loading them again. A
    /// base model is left alone while an adapter on it is there.
    pub(super) fn past_break_even(&self, engine: &EngineState) -> Vec<SizedTarget> {
        let Some(report) = engine.report(self.now) else { return Vec::new() };
        let objects = engine.objects();
        let is_needed = |target: &TargetId| {
            let mut others = objects.iter().map(|object| &object.target);
            target.adapter.is_none()
                && others.any(|other| other.adapter.is_some() && other.model == target.model)
        };
        let loaded = objects.iter().filter(|object| object.phase == ObjectPhase::Loaded);
        let unused = loaded.map(|object| &object.target).filter(|t| !is_needed(t));
        let is_outlived = |object: &SizedTarget| {
            let is_adapter = object.target.adapter.is_some();
            let load_time = if is_adapter { ADAPTER_LOAD_TIME } else { MODEL_LOAD_TIME };
            let engine_memory = report.memory_total;
            let cost = IdleCost { memory: object.memory, engine_memory, load_time };
            self.idle_time(&object.target).is_some_and(|span| span >= cost.break_even())
        };
        unused.map(|target| self.sized(target)).filter(is_outlived).collect()
    }

    /// Objects that may make room for `target`: longest idle base models first, each behind the
    /// adapters on it.
    fn idle_families(&self, engine: &EngineState, target: &TargetId) -> Vec<SizedTarget> {
        let objects = engine.objects();
        let is_idle = |object: &ObjectView| {
            self.idle_time(&object.target).is_some_and(|span| span >= KEEP_TIME)
        };
        let members = |model: &ModelId| -> Vec<&ObjectView> {
            objects.iter().filter(|object| object.target.model == *model).collect()
        };
        let mut models: Vec<&ModelId> = objects.iter().map(|o| &o.target.model).collect();
        models.sort();
        models.dedup();
        models.retain(|model| **model != target.model);
        models.retain(|model| members(model).into_iter().all(is_idle));
        models.sort_by_key(|model| Reverse(self.idle_time(&TargetId::new((*model).clone()))));
        let family = models.into_iter().flat_map(|model| {
            let mut family = members(model);
            family.sort_by_key(|object| object.target.adapter.is_none());
            family
        });
        let loaded = family.filter(|object| object.phase == ObjectPhase::Loaded);
        loaded.map(|object| self.sized(&object.target)).collect()
    }

    /// Memory of objects that are being unloaded.
    fn leaving_memory(&self, engine: &EngineState) -> ByteSize {
        let objects = engine.objects().into_iter();
        let leaving = objects.filter(|object| object.phase == ObjectPhase::Unloading);
        leaving.map(|object| self.sized(&object.target).memory).sum()
    }

    /// Returns for how long `target` has been idle; `None` while requests wait for it or run.
    fn idle_time(&self, target: &TargetId) -> Option<TimeSpan> {
        let load = self.demands.load(target, self.now);
        let is_idle = load.running + load.waiting == 0;
        is_idle.then(|| self.demands.idle_time(target, self.since, self.now))
    }

    fn sized(&self, target: &TargetId) -> SizedTarget {
        let memory = self.set.memory_of(&target.model, target.adapter.as_ref());
        SizedTarget { target: target.clone(), memory: memory.unwrap_or_default() }
    }
}
