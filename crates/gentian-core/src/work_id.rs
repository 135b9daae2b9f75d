//! Id of work that may make upstreams end.

use crate::newtypes::hex_newtype;

/// Bit that tells requests from parts of prompts, whose digests callers choose.
const REQUEST_BIT: u64 = 1 << 63;

hex_newtype!(
    /// Identifies work of requests: a part of a prompt, which many requests may share, or all that an
    /// upstream is asked by one request and its repeats. The text of a part begins with a digit up to
    /// 7, that of a request with a higher one.
    WorkId,
    "work id"
);

impl WorkId {
    /// Returns the id of a part of a prompt, given its digest.
    pub const fn of_part(digest: u64) -> Self {
        Self::new(digest & !REQUEST_BIT)
    }

    /// Returns the id of a whole request, given its digest.
    pub const fn of_request(digest: u64) -> Self {
        Self::new(digest | REQUEST_BIT)
    }

    /// Returns whether this is a whole request.
    pub const fn is_request(self) -> bool {
        self.get() & REQUEST_BIT != 0
    }
}
