//! Request from an entry to the holder of the placement seat.

use serde::{Deserialize, Serialize};

use super::{SeatId, TargetId};
use crate::{FenceNumber, InstanceId, SequenceNumber, TimeSpan};

/// Demand for one target at one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetDemand {
    /// The target.
    pub target: TargetId,
    /// Requests that are queued until an upstream has the target loaded.
    pub waiting: u32,
    /// Requests in progress.
    pub running: u32,
    /// Time until the earliest deadline of a queued request.
    pub slack: TimeSpan,
}

/// Reports demand and asks which upstreams changed since the view known to the entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The seat.
    pub seat: SeatId,
    /// Entry that sent the request.
    pub entry: InstanceId,
    /// Position in this entry's sequence of requests.
    pub sequence: SequenceNumber,
    /// Fencing number of the holder that sent the view known to the entry.
    pub fence: FenceNumber,
    /// Revision of the view known to the entry.
    #[serde(rename = "known")]
    pub known_revision: SequenceNumber,
    /// Demand at the entry.
    pub demands: Vec<TargetDemand>,
}
