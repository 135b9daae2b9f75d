//! Recognition of late and doubled asks.

use gentian_core::{FastMap, InstanceId, MonoTime, SequenceNumber, TimeSpan};

/// Time after which a silent entry is forgotten.
const FORGET_AFTER: TimeSpan = TimeSpan::from_secs(300);

/// Remembers the newest ask of each entry.
#[derive(Debug, Default)]
pub struct SequenceFilter {
    newest: FastMap<InstanceId, (SequenceNumber, MonoTime)>,
}

impl SequenceFilter {
    /// Creates an empty memory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells whether an ask is newer than all before it from the same entry, and remembers it.
    pub fn accept(&mut self, entry: InstanceId, number: SequenceNumber, now: MonoTime) -> bool {
        let newest = self.newest.entry(entry).or_insert((SequenceNumber::default(), now));
        if number <= newest.0 {
            return false;
        }
        *newest = (number, now);
        true
    }

    /// Forgets entries that have been silent for long.
    pub fn forget_silent(&mut self, now: MonoTime) {
        self.newest.retain(|_, (_, seen)| now.since(*seen) < FORGET_AFTER);
    }
}
