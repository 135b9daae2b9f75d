//! Actions that a seat election requests from its process.

use gentian_core::StoreRevision;
use gentian_core::peer::{SeatElector, SeatQuery, SeatRecord};

/// An action of a seat election. At most one read or write is open at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SeatAction {
    /// Read the seat record.
    Read,
    /// Write the seat record if its revision is still `expected`, which is zero if there is no
    /// record.
    Write {
        /// The new record.
        record: SeatRecord,
        /// Revision on which the write depends.
        expected: StoreRevision,
    },
    /// Send a query to an elector.
    Query {
        /// The elector.
        elector: SeatElector,
        /// The query.
        query: SeatQuery,
    },
}

/// Outcome of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect with this revision.
    Applied(StoreRevision),
    /// Nothing was written, for example because the record has another revision.
    NotApplied,
    /// No response arrived. The write may have taken effect or may do so later.
    Unknown,
}
