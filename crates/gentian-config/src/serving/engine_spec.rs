//! Model engines of a service.

use gentian_core::{ByteSize, FastMap, ModelId, SlotCount};

use super::CatalogueModel;

/// What each upstream of a model-serving service bears.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Memory for weights and adapters together.
    pub memory: ByteSize,
    /// Adapters that an upstream holds or fetches at the same time.
    pub adapter_slots: usize,
    /// Requests in one batch.
    pub batch_slots: SlotCount,
    /// Loads a second that the weight store bears, over all upstreams.
    pub store_loads_per_second: f64,
    /// Models that can be loaded.
    pub models: FastMap<ModelId, CatalogueModel>,
}
