//! Query from a process that cannot reach the key-value service.

use serde::{Deserialize, Serialize};

use crate::{InstanceId, SequenceNumber};

/// Asks another process which configuration version it has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigQuery {
    /// Process that sent the query.
    #[serde(rename = "asker")]
    pub sender: InstanceId,
    /// Number of the query, repeated in the reply.
    pub number: SequenceNumber,
}
