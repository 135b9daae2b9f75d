//! Rows of upstreams whose registrations are missing.

use gentian_core::{FastMap, MonoTime, TimeSpan, UpstreamId};

use super::UpstreamRow;

/// Time for which a row is kept after the registration was last seen. The key-value service may be
/// silent for this long, and registrations that lapsed meanwhile come back.
const ROW_RETENTION: TimeSpan = TimeSpan::from_secs(3_600);
/// Largest number of rows; the oldest ones are dropped first.
const MAX_ROWS: usize = 4_096;

#[derive(Debug)]
struct PastRow {
    row: UpstreamRow,
    time: MonoTime,
}

/// Keeps what was learned of upstreams whose registrations are missing: the limits that they named,
/// the requests that count towards them, and until when they are cold. Registrations also lapse while
/// the key-value service is silent, and their upstreams still hold callers to what they said.
#[derive(Debug, Default)]
pub(super) struct PastRows {
    /// At most [`MAX_ROWS`].
    rows: FastMap<UpstreamId, PastRow>,
}

impl PastRows {
    /// Keeps a row whose registration is missing.
    pub(super) fn record(&mut self, row: UpstreamRow, now: MonoTime) {
        self.rows.retain(|_, past| now.since(past.time) < ROW_RETENTION);
        if self.rows.len() >= MAX_ROWS {
            let oldest = self.rows.iter().min_by_key(|(_, past)| past.time);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.rows.remove(&id);
            }
        }
        self.rows.insert(row.registration.id.clone(), PastRow { row, time: now });
    }

    /// Removes the row of an upstream that is registered again; returns it if it is of this
    /// incarnation.
    pub(super) fn remove(&mut self, id: &UpstreamId, incarnation: u64) -> Option<UpstreamRow> {
        let row = self.rows.remove(id)?.row;
        (row.registration.incarnation == incarnation).then_some(row)
    }

    /// Returns the row of an upstream.
    pub(super) fn get_mut(&mut self, id: &UpstreamId) -> Option<&mut UpstreamRow> {
        self.rows.get_mut(id).map(|past| &mut past.row)
    }

    /// Returns the number of rows.
    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }
}
