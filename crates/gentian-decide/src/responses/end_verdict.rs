//! Verdicts on the ends of responses.

use super::EndFault;

/// Whether a response that has ended is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndVerdict {
    /// It is whole.
    Whole,
    /// It ended early.
    Broken(EndFault),
    /// The connection doesn't show it. The fault is what the response has if nothing else confirms its end.
    Unknown(EndFault),
}
