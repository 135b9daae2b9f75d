//! Query from the holder of a seat during an outage of the key-value service.

use serde::{Deserialize, Serialize};

use super::SeatId;
use crate::{InstanceId, SequenceNumber};

/// Asks an elector whether it reaches the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatQuery {
    /// The seat.
    pub seat: SeatId,
    /// Holder that sent the query.
    #[serde(rename = "asker")]
    pub sender: InstanceId,
    /// Number of the query, repeated in the reply.
    pub number: SequenceNumber,
}
