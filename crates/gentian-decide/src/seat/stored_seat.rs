//! A seat record as stored in the key-value service.

use gentian_core::StoreRevision;
use gentian_core::peer::SeatRecord;

/// A seat record with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSeat {
    /// The record.
    pub record: SeatRecord,
    /// Revision of its last change.
    pub revision: StoreRevision,
}
