//! Slow start of an upstream.

use gentian_core::{BootId, MonoTime, SlotCount, TimeSpan};

/// Time after its start at which an upstream reaches its full capacity.
const WARM_UP_TIME: TimeSpan = TimeSpan::from_secs(20);

/// Capacity of an upstream for concurrent calls, which grows linearly from its start.
#[derive(Clone, Copy, Debug)]
pub struct SlotRamp {
    boot: BootId,
    fresh_since: MonoTime,
    is_unresponsive: bool,
}

impl SlotRamp {
    /// Creates the ramp of an upstream that starts now.
    pub const fn new(boot: BootId, now: MonoTime) -> Self {
        Self { boot, fresh_since: now, is_unresponsive: false }
    }

    /// Restarts the ramp if the upstream has restarted.
    pub fn record_boot(&mut self, boot: BootId, now: MonoTime) {
        self.is_unresponsive = false;
        if boot != self.boot {
            *self = Self::new(boot, now);
        }
    }

    /// Records that the upstream does not respond.
    pub fn record_no_response(&mut self) {
        self.is_unresponsive = true;
    }

    /// Records that an entry has known the boot id `boot` for `age`. A new holder learns from this
    /// how long an upstream has been running.
    pub fn record_boot_age(&mut self, boot: Option<BootId>, age: TimeSpan, now: MonoTime) {
        if boot == Some(self.boot) {
            self.fresh_since = self.fresh_since.min(now - age);
        }
    }

    /// Returns the current capacity, between `fresh` and `full`, or zero while the upstream does not
    /// respond.
    pub fn capacity(&self, fresh: SlotCount, full: SlotCount, now: MonoTime) -> SlotCount {
        if self.is_unresponsive {
            return SlotCount::default();
        }
        let age = now.since(self.fresh_since).as_micros().min(WARM_UP_TIME.as_micros());
        let added = full.get().saturating_sub(fresh.get()) * age / WARM_UP_TIME.as_micros();
        SlotCount::new((fresh.get() + added).min(full.get()))
    }
}
