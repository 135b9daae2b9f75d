//! What a filter decides.

use super::Refusal;

/// Outcome of one filter, or of the whole chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FilterOutcome {
    /// The next filter follows.
    Continue,
    /// The request is refused; no further filter runs.
    Refuse(Refusal),
    /// The caller has its answer; no further filter runs.
    Responded,
}
