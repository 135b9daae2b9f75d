//! Tokens granted to an entry.

use gentian_core::{FenceNumber, MonoTime, SequenceNumber, TokenCount};

/// Tokens that an entry may spend until they expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedTokens {
    /// Tokens left.
    pub amount: TokenCount,
    /// End of their life by the clock of the entry.
    pub expires: MonoTime,
    /// Number of the grant at the holder.
    pub mark: SequenceNumber,
    /// Fencing number of the holder.
    pub fence: FenceNumber,
}
