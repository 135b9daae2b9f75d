//! Question of a seat's holder during an outage of the key-value service.

use serde::{Deserialize, Serialize};

use super::SeatId;
use crate::{InstanceId, SequenceNumber};

/// Asks an elector whether it has contact with the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatQuery {
    /// The seat.
    pub seat: SeatId,
    /// The asking holder.
    #[serde(rename = "asker")]
    pub sender: InstanceId,
    /// Number of the question.
    pub number: SequenceNumber,
}
