//! End of an attempt.

use gentian_core::{RequestId, TimeSpan, WorkId};

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
    /// Time from the start of the attempt to its end.
    pub running: TimeSpan,
    /// The request as a whole; known if the connection broke.
    pub request: Option<WorkId>,
}
