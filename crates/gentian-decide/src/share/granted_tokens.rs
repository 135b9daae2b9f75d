//! Tokens granted to an entry.

use gentian_core::{FenceNumber, MonoTime, SequenceNumber, TokenCount};

/// Tokens of one grant, which an entry may spend until they expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedTokens {
    /// Tokens that are left.
    pub amount: TokenCount,
    /// Expiry by the clock of the entry.
    pub expires_at: MonoTime,
    /// Number of the grant in the organisation's bucket.
    pub grant_number: SequenceNumber,
    /// Fencing number of the holder that made the grant.
    pub fence: FenceNumber,
}
