//! Models that the upstreams of a service can load.

use gentian_core::{ByteSize, ModelId, TimeSpan};

/// A base model with its sizes and load times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogueModel {
    /// Name of the model.
    pub id: ModelId,
    /// Memory of the loaded weights.
    pub memory: ByteSize,
    /// Memory of one loaded adapter.
    pub adapter_memory: ByteSize,
    /// Time to load the weights from the weight store.
    pub store_load_time: TimeSpan,
    /// Time to load the weights from the disk of the upstream.
    pub disk_load_time: TimeSpan,
    /// Time to load the weights from the host memory of the upstream.
    pub host_load_time: TimeSpan,
}
