//! End of an attempt.

use gentian_core::RequestId;

use super::{AttemptOutcome, AttemptProgress};

/// How an attempt to forward a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Identifies the request within the process.
    pub id: RequestId,
    /// Outcome for the upstream.
    pub outcome: AttemptOutcome,
    /// How far the attempt got.
    pub progress: AttemptProgress,
    /// Whether the upstream was found to have ended. Only checked where the request may be the
    /// cause.
    pub has_upstream_ended: bool,
}
