//! Question of a process whose contact with the key-value service is broken.

use serde::{Deserialize, Serialize};

use crate::{InstanceId, SequenceNumber};

/// Asks another process which configuration it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigQuery {
    /// The asking process.
    #[serde(rename = "asker")]
    pub sender: InstanceId,
    /// Number of the question.
    pub number: SequenceNumber,
}
