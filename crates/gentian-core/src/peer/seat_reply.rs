//! Reply from an elector during an outage of the key-value service.

use serde::{Deserialize, Serialize};

use super::SeatId;
use crate::{FenceNumber, InstanceId, SequenceNumber};

/// States whether an elector reaches the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatReply {
    /// The seat.
    pub seat: SeatId,
    /// Elector that sent the reply.
    pub elector: InstanceId,
    /// Number of the query.
    pub number: SequenceNumber,
    /// Whether the elector reaches the key-value service.
    pub has_contact: bool,
    /// Highest fencing number of the seat that the elector knows.
    pub fence: FenceNumber,
}
