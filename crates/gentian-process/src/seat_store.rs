//! Seat records in the key-value service.

use std::sync::Arc;

use gentian_core::StoreRevision;
use gentian_core::peer::{SeatId, SeatRecord};
use gentian_decide::seat::{StoredSeat, WriteOutcome};
use gentian_wire::{decode_record, encode_record};

use crate::{KeyValueError, KeyValueService, RecordKeys, ValueChange, WriteCondition};

/// Reads and writes seat records.
#[derive(Clone)]
pub struct SeatStore {
    service: Arc<KeyValueService>,
}

impl SeatStore {
    /// Creates a store that uses `service`.
    pub fn new(service: Arc<KeyValueService>) -> Self {
        Self { service }
    }

    /// Reads the record of `seat`. Returns `None` if the service does not answer or the record
    /// cannot be decoded, and `Some(None)` if there is no record.
    pub fn read(&self, seat: SeatId) -> Option<Option<StoredSeat>> {
        let stored = self.service.read(&RecordKeys::seat(seat)).ok()?;
        let Some(stored) = stored else { return Some(None) };
        let record = decode_record(&stored.value?).ok()?;
        Some(Some(StoredSeat { record, revision: stored.revision }))
    }

    /// Writes a record if its revision is still `expected`. `is_new_holder` also writes the holder
    /// record, which every process watches.
    pub fn write(
        &self,
        record: &SeatRecord,
        expected: StoreRevision,
        is_new_holder: bool,
    ) -> WriteOutcome {
        let Ok(bytes) = encode_record(record) else { return WriteOutcome::NotApplied };
        let key = RecordKeys::seat(record.seat);
        let condition = WriteCondition { key: key.clone(), revision: expected };
        let mut changes = vec![ValueChange::put(key, bytes.clone())];
        if is_new_holder {
            changes.push(ValueChange::put(RecordKeys::holder(record.seat), bytes));
        }
        match self.service.write(&[condition], &changes) {
            Ok(Some(revision)) => WriteOutcome::Applied(revision),
            Ok(None) => WriteOutcome::NotApplied,
            // `NotApplied` would count as contact with the service.
            Err(KeyValueError::NotExecuted(_) | KeyValueError::Unknown(_)) => WriteOutcome::Unknown,
        }
    }
}
