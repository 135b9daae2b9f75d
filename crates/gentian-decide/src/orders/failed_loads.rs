//! Loads that engines refused or ended without the model or adapter. Load pattern: an engine that fails
//! every load of a target, while requests for it keep coming.

use gentian_core::peer::TargetId;
use gentian_core::{FastMap, ModelId, MonoTime, TimeSpan, UpstreamId};

/// Time after a failed load in which its engine gets no load of the target.
const ENGINE_PAUSE: TimeSpan = TimeSpan::from_secs(10);
/// Time after a failed load in which no engine gets a load of the model: a tenth of a load from the
/// weight store, of which the failed load has taken a place.
const MODEL_PAUSE: TimeSpan = TimeSpan::from_secs(1);

/// Remembers on which engines loads failed.
#[derive(Clone, Debug, Default)]
pub(super) struct FailedLoads {
    /// Bounded by the loads that engines fail within a pause.
    loads: FastMap<(UpstreamId, TargetId), MonoTime>,
}

impl FailedLoads {
    /// Records that a load failed.
    pub(super) fn record(&mut self, upstream: &UpstreamId, target: &TargetId, now: MonoTime) {
        self.loads.retain(|_, time| now.since(*time) < ENGINE_PAUSE);
        self.loads.insert((upstream.clone(), target.clone()), now);
    }

    /// Returns whether no engine may load `model` now.
    pub(super) fn is_model_paused(&self, model: &ModelId, now: MonoTime) -> bool {
        let is_for_model = |target: &TargetId| target.adapter.is_none() && target.model == *model;
        let mut failed = self.loads.iter().filter(|((_, target), _)| is_for_model(target));
        failed.any(|(_, time)| now.since(*time) < MODEL_PAUSE)
    }

    /// Returns whether an engine may not load `target` now.
    pub(super) fn is_engine_paused(
        &self,
        upstream: &UpstreamId,
        target: &TargetId,
        now: MonoTime,
    ) -> bool {
        let key = (upstream.clone(), target.clone());
        self.loads.get(&key).is_some_and(|time| now.since(*time) < ENGINE_PAUSE)
    }

    /// Returns whether no load failed recently.
    pub(super) fn is_empty(&self) -> bool {
        self.loads.is_empty()
    }
}
