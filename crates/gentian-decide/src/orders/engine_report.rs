//! What a model engine reports of itself.

use gentian_core::{AdapterId, ModelId, SequenceNumber};

use crate::serving::EngineModels;

/// Report of a model engine; it may be some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineStateReport {
    /// Orders accepted so far.
    pub sequence: SequenceNumber,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// What it holds.
    pub models: EngineModels,
    /// Adapters on their way from the weight store.
    pub incoming: Vec<(ModelId, AdapterId)>,
}
