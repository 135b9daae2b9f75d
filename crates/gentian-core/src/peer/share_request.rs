//! Request from an entry to the holder of a share seat.

use serde::{Deserialize, Serialize};

use super::SeatId;
use crate::{
    BootId, FenceNumber, InstanceId, OrganisationId, SequenceNumber, SlotCount, TimeSpan,
    TokenCount, UpstreamId,
};

/// Requests tokens of one organisation and returns unused ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Tokens wanted.
    #[serde(rename = "want")]
    pub wanted: TokenCount,
    /// Smallest useful amount; less is not granted.
    #[serde(rename = "least")]
    pub minimum: TokenCount,
    /// Unused tokens of earlier grants.
    pub unused: TokenCount,
    /// Number of the oldest grant among the unused tokens.
    #[serde(rename = "mark")]
    pub oldest_grant: SequenceNumber,
    /// Fencing number of the holder that granted the unused tokens.
    pub fence: FenceNumber,
}

/// Requests concurrent calls at one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Calls in flight from the requesting entry.
    pub in_use: SlotCount,
    /// Total number of calls wanted, including those in flight.
    #[serde(rename = "want")]
    pub wanted: SlotCount,
    /// Limit at the entry after it applied the grant that `acked` acknowledges.
    pub limit: SlotCount,
    /// Boot id of the upstream, as known to the entry.
    pub boot: Option<BootId>,
    /// Time for which the entry has known this boot id.
    pub boot_age: TimeSpan,
}

/// Requests tokens and concurrent calls from the holder of a share seat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// The seat.
    pub seat: SeatId,
    /// Entry that sent the request.
    pub entry: InstanceId,
    /// Position in this entry's sequence of requests to this seat.
    pub sequence: SequenceNumber,
    /// Newest request whose grant the entry has applied; from then on it ignores the
    /// grants of older requests.
    pub acked: SequenceNumber,
    /// Requests for tokens.
    pub tokens: Vec<TokenRequest>,
    /// Requests for concurrent calls.
    pub slots: Vec<SlotRequest>,
}
