//! Reply from the holder of a share seat to an entry.

use serde::{Deserialize, Serialize};

use super::SeatId;
use crate::{
    FenceNumber, OrganisationId, SequenceNumber, SlotCount, TimeSpan, TokenCount, UpstreamId,
};

/// Grant of tokens of one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Tokens granted; zero if none are available now.
    pub granted: TokenCount,
    /// Number of the grant in the sequence of grants from the organisation's bucket.
    #[serde(rename = "mark")]
    pub grant_number: SequenceNumber,
    /// Validity of the grant, which the entry counts from the time it sent the request.
    #[serde(rename = "life")]
    pub ttl: TimeSpan,
    /// Time until the smallest useful amount is available.
    pub retry_after: TimeSpan,
}

impl TokenGrant {
    /// Returns whether the holder lacks tokens: it granted none, and the smallest useful amount is
    /// available only later. A grant of zero because none were wanted has no such wait.
    pub fn is_exhausted(&self) -> bool {
        self.granted == TokenCount::ZERO && self.retry_after > TimeSpan::ZERO
    }
}

/// Grant of concurrent calls at one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Calls that the entry may have in flight concurrently.
    pub limit: SlotCount,
    /// Calls in flight from all entries, as far as the holder knows.
    pub occupied: SlotCount,
    /// Calls that the upstream can run concurrently at present.
    pub capacity: SlotCount,
}

/// Grants tokens and concurrent calls to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The seat.
    pub seat: SeatId,
    /// Fencing number of the holder.
    pub fence: FenceNumber,
    /// Sequence number of the request.
    pub sequence: SequenceNumber,
    /// Grants of tokens.
    pub tokens: Vec<TokenGrant>,
    /// Grants of concurrent calls.
    pub slots: Vec<SlotGrant>,
    /// Validity of the slot grants, which the entry counts from the time it sent the request.
    #[serde(rename = "slot_life")]
    pub slot_ttl: TimeSpan,
}
