//! A model or adapter with the memory that it needs.

use gentian_core::ByteSize;
use gentian_core::peer::TargetId;

/// A model or adapter with the memory that one replica needs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SizedTarget {
    /// The model or adapter.
    pub target: TargetId,
    /// Memory of one replica.
    pub memory: ByteSize,
}
