//! Request of an entry to the holder of a share seat.

use serde::{Deserialize, Serialize};

use super::SeatId;
use crate::{
    BootId, FenceNumber, InstanceId, OrganisationId, SequenceNumber, SlotCount, TimeSpan,
    TokenCount, UpstreamId,
};

/// Asks for tokens of one organisation and returns unused ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Tokens wanted.
    #[serde(rename = "want")]
    pub wanted: TokenCount,
    /// Smallest amount that is of use; less is not granted.
    #[serde(rename = "least")]
    pub minimum: TokenCount,
    /// Tokens granted earlier and not used.
    pub unused: TokenCount,
    /// Number of the oldest grant among the unused tokens.
    #[serde(rename = "mark")]
    pub oldest_grant: SequenceNumber,
    /// Fencing number of the holder that gave the unused tokens.
    pub fence: FenceNumber,
}

/// Asks for concurrent calls of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Calls in flight from the asking entry.
    pub in_use: SlotCount,
    /// Calls wanted in all, those in flight among them.
    #[serde(rename = "want")]
    pub wanted: SlotCount,
    /// Limit in force at the entry, from grants up to the acknowledged one.
    pub limit: SlotCount,
    /// Start of the upstream that the entry knows.
    pub boot: Option<BootId>,
    /// Time for which the entry has known this start.
    pub boot_age: TimeSpan,
}

/// Asks the holder of a share seat for portions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// The seat.
    pub seat: SeatId,
    /// The asking entry.
    pub entry: InstanceId,
    /// Position in the sequence of asks of this entry to this seat.
    pub sequence: SequenceNumber,
    /// Newest ask whose grant the entry has taken; older grants are void from then on.
    pub acked: SequenceNumber,
    /// Asks for tokens.
    pub tokens: Vec<TokenRequest>,
    /// Asks for concurrent calls.
    pub slots: Vec<SlotRequest>,
}
