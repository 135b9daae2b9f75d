//! The head of the stored configuration.

use gentian_config::ChunkDigest;
use gentian_core::{ConfigVersion, PublicationId};
use serde::{Deserialize, Serialize};

/// Version of the configuration and the digest of each chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// The version; it only grows.
    pub version: ConfigVersion,
    /// The publication, the same in each retry of it.
    pub publication: PublicationId,
    /// Digest of each chunk.
    pub chunks: Vec<ChunkDigest>,
}
