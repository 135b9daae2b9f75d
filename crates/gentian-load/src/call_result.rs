//! Outcome and times of a call.

use gentian_core::TimeSpan;

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// The complete response was received.
    Whole,
    /// The call was refused with this status code.
    Refused(u16),
    /// The response ended early, in a way that the caller could detect.
    Broken,
    /// No response was received.
    Lost,
    /// The call was not sent because too many calls were open.
    NotSent,
}

/// Outcome and times of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallResult {
    /// Outcome of the call.
    pub(crate) outcome: CallOutcome,
    /// Time to the first event of a stream, or to the complete response.
    pub(crate) first: TimeSpan,
    /// Times between consecutive events.
    pub(crate) gaps: Vec<TimeSpan>,
}

impl CallResult {
    /// Creates the result of a call without a stream.
    pub(crate) fn new(outcome: CallOutcome, first: TimeSpan) -> Self {
        Self { outcome, first, gaps: Vec::new() }
    }
}
