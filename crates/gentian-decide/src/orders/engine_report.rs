//! State that a model engine reports.

use gentian_core::{AdapterId, ModelId, SequenceNumber};

use crate::serving::EngineModels;

/// State report of a model engine; it may be a few hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineStateReport {
    /// Number of orders accepted so far.
    pub sequence: SequenceNumber,
    /// Whether the engine is executing an order.
    pub is_busy: bool,
    /// Models and adapters that the engine has loaded or stored.
    pub models: EngineModels,
    /// Adapters that are being fetched from the weight store.
    pub incoming: Vec<(ModelId, AdapterId)>,
}
