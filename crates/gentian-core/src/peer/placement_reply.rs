//! Reply from the holder of the placement seat to an entry.

use serde::{Deserialize, Serialize};

use super::{SeatId, UpstreamView};
use crate::{FenceNumber, SequenceNumber};

/// Lists the upstreams that changed since the revision known to the entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementReply {
    /// The seat.
    pub seat: SeatId,
    /// Fencing number of the holder.
    pub fence: FenceNumber,
    /// Sequence number of the request.
    pub sequence: SequenceNumber,
    /// Revision of the view at the entry after it applies this message.
    pub revision: SequenceNumber,
    /// Upstreams that changed.
    pub views: Vec<UpstreamView>,
}
