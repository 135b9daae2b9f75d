//! Reply to a process that cannot reach the key-value service.

use serde::{Deserialize, Serialize};

use crate::{ConfigVersion, InstanceId, SequenceNumber};

/// States which configuration version a process has in force, and whether that process reaches the
/// key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReply {
    /// Process that sent the reply.
    pub peer: InstanceId,
    /// Number of the query.
    pub number: SequenceNumber,
    /// Configuration version in force at the process.
    pub version: ConfigVersion,
    /// Whether the process reaches the key-value service.
    pub has_contact: bool,
}
