//! Detection of late and duplicate requests.

use gentian_core::{FastMap, InstanceId, MonoTime, SequenceNumber, TimeSpan};

/// Time without requests after which an entry is removed.
const ENTRY_TIMEOUT: TimeSpan = TimeSpan::from_secs(300);

/// Newest sequence number of each entry.
#[derive(Debug, Default)]
pub struct SequenceFilter {
    newest: FastMap<InstanceId, (SequenceNumber, MonoTime)>,
}

impl SequenceFilter {
    /// Creates an empty filter.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a request is newer than all earlier ones of the same entry, and records it.
    pub fn accept(&mut self, entry: InstanceId, number: SequenceNumber, now: MonoTime) -> bool {
        let newest = self.newest.entry(entry).or_insert((SequenceNumber::default(), now));
        if number <= newest.0 {
            return false;
        }
        *newest = (number, now);
        true
    }

    /// Removes entries that have sent no request for `ENTRY_TIMEOUT`.
    pub fn remove_inactive(&mut self, now: MonoTime) {
        self.newest.retain(|_, (_, seen_at)| now.since(*seen_at) < ENTRY_TIMEOUT);
    }
}
