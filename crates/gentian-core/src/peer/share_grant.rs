//! Answer of the holder of a share seat to an entry.

use serde::{Deserialize, Serialize};

use super::SeatId;
use crate::{
    FenceNumber, OrganisationId, SequenceNumber, SlotCount, TimeSpan, TokenCount, UpstreamId,
};

/// Tokens of one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Tokens granted; zero if none can be had now.
    pub granted: TokenCount,
    /// Number of the grant among those of the organisation's bucket.
    #[serde(rename = "mark")]
    pub grant_number: SequenceNumber,
    /// Life of the grant, counted by the entry from its ask.
    #[serde(rename = "life")]
    pub ttl: TimeSpan,
    /// Time until the smallest useful amount will be there.
    pub retry_after: TimeSpan,
}

impl TokenGrant {
    /// Tells whether the holder has none of the wanted tokens now.
    pub fn is_exhausted(&self) -> bool {
        self.granted == TokenCount::ZERO && self.retry_after > TimeSpan::ZERO
    }
}

/// Concurrent calls of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Calls that the entry may have in flight at the same time.
    pub limit: SlotCount,
    /// Calls in flight from all entries, as far as the holder knows.
    pub occupied: SlotCount,
    /// Calls that the upstream bears now.
    pub capacity: SlotCount,
}

/// Grants portions to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The seat.
    pub seat: SeatId,
    /// Fencing number of the holder.
    pub fence: FenceNumber,
    /// Sequence number of the ask.
    pub sequence: SequenceNumber,
    /// Grants of tokens.
    pub tokens: Vec<TokenGrant>,
    /// Grants of concurrent calls.
    pub slots: Vec<SlotGrant>,
    /// Life of the slot grants, counted by the entry from its ask.
    #[serde(rename = "slot_life")]
    pub slot_ttl: TimeSpan,
}
