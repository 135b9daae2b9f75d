//! What buffered bytes belong to. Load pattern: responses and small requests while many large request
//! bodies arrive.

use gentian_core::ByteSize;

/// Largest request body that counts as small. Requests of ordinary callers have up to about 110,000
/// bytes.
const SMALL_BODY: ByteSize = ByteSize::new(128 << 10);
/// Percentage of the account up to which large request bodies may fill it.
const LARGE_REQUEST_PERCENT: u64 = 60;
/// Percentage of the account up to which small request bodies may fill it; the rest is left for
/// responses, since a request that has run must get its response.
const SMALL_REQUEST_PERCENT: u64 = 80;

/// What buffered bytes belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// A request body of more than 128 KiB.
    LargeRequest,
    /// A smaller request body.
    SmallRequest,
    /// What was read of a response; it gets no more than it leaves free, so that small ones find room.
    Response,
    /// Anything else.
    Other,
}

impl MemoryUse {
    /// Returns the use of a request body of this size.
    pub fn of_request(size: ByteSize) -> Self {
        if size > SMALL_BODY { Self::LargeRequest } else { Self::SmallRequest }
    }

    /// Returns how far an account of `limit` may be filled by this use.
    pub(super) fn ceiling(self, limit: ByteSize) -> ByteSize {
        let percent = match self {
            Self::LargeRequest => LARGE_REQUEST_PERCENT,
            Self::SmallRequest => SMALL_REQUEST_PERCENT,
            Self::Response | Self::Other => 100,
        };
        ByteSize::new(limit.get().saturating_mul(percent) / 100)
    }
}
