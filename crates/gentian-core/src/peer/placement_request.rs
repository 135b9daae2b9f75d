//! Request of an entry to the holder of the placement seat.

use serde::{Deserialize, Serialize};

use super::{SeatId, TargetId};
use crate::{FenceNumber, InstanceId, SequenceNumber, TimeSpan};

/// Demand for one target at one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetDemand {
    /// The target.
    pub target: TargetId,
    /// Requests that wait for a replica.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Time left to the nearest deadline of a waiting request.
    pub slack: TimeSpan,
}

/// Reports demand and asks for changes of the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The seat.
    pub seat: SeatId,
    /// The asking entry.
    pub entry: InstanceId,
    /// Position in the sequence of asks of this entry.
    pub sequence: SequenceNumber,
    /// Fencing number of the holder from which the known view came.
    pub fence: FenceNumber,
    /// Revision of the view that the entry knows.
    #[serde(rename = "known")]
    pub known_revision: SequenceNumber,
    /// Demand at the entry.
    pub demands: Vec<TargetDemand>,
}
