//! Answer to a process whose contact with the key-value service is broken.

use serde::{Deserialize, Serialize};

use crate::{ConfigVersion, InstanceId, SequenceNumber};

/// Says which configuration a process knows, and whether it has contact itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReply {
    /// The answering process.
    pub peer: InstanceId,
    /// Number of the question.
    pub number: SequenceNumber,
    /// Version in force there.
    pub version: ConfigVersion,
    /// Whether the process has contact with the key-value service.
    pub has_contact: bool,
}
