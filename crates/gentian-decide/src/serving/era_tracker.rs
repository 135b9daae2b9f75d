//! Tracks when the key-value service was last restored from a copy.

use gentian_core::{MonoTime, StoreEra, TimeSpan};

/// Time beyond that after which registrations expire for which the records count as those of a copy.
const SETTLE_MARGIN: TimeSpan = TimeSpan::from_millis(500);

/// Tracks the era of the key-value service. Shortly after a restoration its records are those of a
/// copy: some that were acknowledged are missing, and others that were removed are back.
#[derive(Clone, Copy, Debug)]
pub struct EraTracker {
    settle_time: TimeSpan,
    era: Option<StoreEra>,
    restored: Option<MonoTime>,
}

impl EraTracker {
    /// Creates the tracker of a process that has not read any record yet. Registrations expire
    /// `registration_ttl` after a restoration unless their upstreams write them again.
    pub fn new(registration_ttl: TimeSpan) -> Self {
        Self { settle_time: registration_ttl + SETTLE_MARGIN, era: None, restored: None }
    }

    /// Records the era of a read; returns whether the service was restored since the last one. An
    /// earlier era is that of a read that was overtaken.
    pub fn record(&mut self, era: StoreEra, now: MonoTime) -> bool {
        let is_restored = self.era.is_some_and(|known| era > known);
        if is_restored {
            self.restored = Some(now);
        }
        self.era = self.era.max(Some(era));
        is_restored
    }

    /// Returns the newest era.
    pub fn era(&self) -> StoreEra {
        self.era.unwrap_or_default()
    }

    /// Returns whether records may still be those of the copy.
    pub fn is_settling(&self, now: MonoTime) -> bool {
        self.restored.is_some_and(|restored| now.since(restored) < self.settle_time)
    }
}
