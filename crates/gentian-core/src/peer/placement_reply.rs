//! Answer of the holder of the placement seat to an entry.

use serde::{Deserialize, Serialize};

use super::{SeatId, UpstreamView};
use crate::{FenceNumber, SequenceNumber};

/// Tells an entry what changed since the revision that it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementReply {
    /// The seat.
    pub seat: SeatId,
    /// Fencing number of the holder.
    pub fence: FenceNumber,
    /// Sequence number of the ask.
    pub sequence: SequenceNumber,
    /// Revision that the entry knows once it has taken this message in.
    pub revision: SequenceNumber,
    /// Upstreams that changed.
    pub views: Vec<UpstreamView>,
}
