//! Whether a request is refused.

use gentian_core::WorkId;

/// Whether a request is refused because of the work in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineCheck {
    /// It is not.
    Pass,
    /// It is let through, to find out whether this work still does harm.
    Trial(WorkId),
    /// It is, because of this work.
    Refuse(WorkId),
}
