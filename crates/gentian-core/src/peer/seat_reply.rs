//! Answer of an elector during an outage of the key-value service.

use serde::{Deserialize, Serialize};

use super::SeatId;
use crate::{FenceNumber, InstanceId, SequenceNumber};

/// Says whether an elector has contact with the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatReply {
    /// The seat.
    pub seat: SeatId,
    /// The answering elector.
    pub elector: InstanceId,
    /// Number of the question.
    pub number: SequenceNumber,
    /// Whether the elector has contact.
    pub has_contact: bool,
    /// Highest fencing number of the seat that the elector knows.
    pub fence: FenceNumber,
}
