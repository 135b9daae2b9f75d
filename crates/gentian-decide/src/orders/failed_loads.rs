//! Loads that ended without the model. Load pattern: an engine that fails every load of a model, while
//! requests for it keep coming.

use gentian_core::{FastMap, ModelId, MonoTime, TimeSpan, UpstreamId};

/// Time after a failed load in which its engine gets no load of the model.
const ENGINE_PAUSE: TimeSpan = TimeSpan::from_secs(10);
/// Time after a failed load in which no engine gets a load of the model: a tenth of a load from the
/// weight store, of which the failed load has taken a place.
const MODEL_PAUSE: TimeSpan = TimeSpan::from_secs(1);

/// Remembers on which engines loads failed.
#[derive(Clone, Debug, Default)]
pub(super) struct FailedLoads {
    /// Bounded by the loads of a pause, at most one a second and model.
    loads: FastMap<(UpstreamId, ModelId), MonoTime>,
}

impl FailedLoads {
    /// Records that a load failed.
    pub(super) fn record(&mut self, upstream: &UpstreamId, model: &ModelId, now: MonoTime) {
        self.loads.retain(|_, time| now.since(*time) < ENGINE_PAUSE);
        self.loads.insert((upstream.clone(), model.clone()), now);
    }

    /// Returns whether no engine may load `model` now.
    pub(super) fn is_model_paused(&self, model: &ModelId, now: MonoTime) -> bool {
        let mut failed = self.loads.iter().filter(|((_, failed), _)| failed == model);
        failed.any(|(_, time)| now.since(*time) < MODEL_PAUSE)
    }

    /// Returns whether an engine may not load `model` now.
    pub(super) fn is_engine_paused(
        &self,
        upstream: &UpstreamId,
        model: &ModelId,
        now: MonoTime,
    ) -> bool {
        let key = (upstream.clone(), model.clone());
        self.loads.get(&key).is_some_and(|time| now.since(*time) < ENGINE_PAUSE)
    }

    /// Returns whether no load failed recently.
    pub(super) fn is_empty(&self) -> bool {
        self.loads.is_empty()
    }
}
