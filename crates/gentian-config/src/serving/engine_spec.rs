//! Model engines of a service.

use gentian_core::{ByteSize, FastMap, ModelId, SlotCount, TokenCount};

use super::CatalogueModel;

/// Capacity of each upstream of a model-serving service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Memory for weights and adapters together.
    pub memory: ByteSize,
    /// Adapters that an upstream may have loaded or be fetching at the same time.
    pub adapter_slots: usize,
    /// Maximum number of requests in one batch.
    pub batch_slots: SlotCount,
    /// Tokens that running requests and kept parts of prompts share; `None` if it is not known.
    pub cache: Option<TokenCount>,
    /// Loads per second that the weight store can serve, over all upstreams.
    pub store_loads_per_second: f64,
    /// Models that can be loaded.
    pub models: FastMap<ModelId, CatalogueModel>,
}
