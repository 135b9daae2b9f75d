//! Outcome of a filter.

use super::Refusal;

/// Outcome of one filter, or of the whole chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FilterOutcome {
    /// The next filter runs.
    Continue,
    /// The request is refused; no further filter runs.
    Refuse(Refusal),
    /// The caller has received a response; no further filter runs.
    Responded,
}
