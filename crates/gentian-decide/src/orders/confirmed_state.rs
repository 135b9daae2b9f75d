//! Confirmed state of an engine.

use gentian_core::{AdapterId, FastMap, FastSet, ModelId, SequenceNumber};

use super::EngineStateReport;

/// What an engine is known to have loaded or stored after it has accepted `sequence` orders.
#[derive(Clone, Debug, Default)]
pub(super) struct ConfirmedState {
    pub(super) sequence: SequenceNumber,
    pub(super) loaded: FastMap<ModelId, FastSet<AdapterId>>,
    pub(super) in_host_memory: Vec<ModelId>,
    pub(super) on_disk: Vec<ModelId>,
}

impl ConfirmedState {
    /// Creates the state from a report; adapters that are being fetched count as loaded.
    pub(super) fn new(report: EngineStateReport) -> Self {
        let mut loaded: FastMap<ModelId, FastSet<AdapterId>> = FastMap::default();
        for model in report.models.loaded {
            loaded.entry(model.id).or_default().extend(model.adapters);
        }
        for (model, adapter) in report.incoming {
            loaded.entry(model).or_default().insert(adapter);
        }
        Self {
            sequence: report.sequence,
            loaded,
            in_host_memory: report.models.in_host_memory,
            on_disk: report.models.on_disk,
        }
    }
}
