//! What a seat keeper wants done.

use gentian_core::SequenceNumber;
use gentian_core::peer::{SeatElector, SeatQuery, SeatRecord};

/// An action of a seat keeper. At most one read or write is open at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SeatAction {
    /// Read the record.
    Read,
    /// Write the record if its revision is still `expected`; zero if there is none.
    Write {
        /// The new record.
        record: SeatRecord,
        /// Revision on which the write depends.
        expected: SequenceNumber,
    },
    /// Send a question to an elector.
    Query {
        /// The elector.
        elector: SeatElector,
        /// The question.
        query: SeatQuery,
    },
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect with this revision.
    Applied(SequenceNumber),
    /// The revision was another; nothing was written.
    NotApplied,
    /// No answer came; the write may take effect, even later.
    Unknown,
}
