//! Head record of the stored configuration.

use gentian_config::ChunkDigest;
use gentian_core::{ConfigVersion, PublicationId};
use serde::{Deserialize, Serialize};

/// Head record: the version of the configuration and the digest of each chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Version, which only increases.
    pub version: ConfigVersion,
    /// Id of the publication; a retry has the same id.
    pub publication: PublicationId,
    /// Digest of each chunk.
    pub chunks: Vec<ChunkDigest>,
}
