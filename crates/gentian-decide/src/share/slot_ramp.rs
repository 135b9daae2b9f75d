//! Slow start of a fresh upstream.

use gentian_core::{BootId, MonoTime, SlotCount, TimeSpan};

/// Time in which a fresh upstream comes to bear its full load.
const WARM_UP: TimeSpan = TimeSpan::from_secs(20);

/// Calls that an upstream bears, growing linearly from its start.
#[derive(Clone, Copy, Debug)]
pub struct SlotRamp {
    boot: BootId,
    fresh_since: MonoTime,
    is_silent: bool,
}

impl SlotRamp {
    /// Creates the ramp of an upstream that is fresh now.
    pub const fn new(boot: BootId, now: MonoTime) -> Self {
        Self { boot, fresh_since: now, is_silent: false }
    }

    /// Starts the ramp again if the upstream has started anew.
    pub fn record_boot(&mut self, boot: BootId, now: MonoTime) {
        self.is_silent = false;
        if boot != self.boot {
            *self = Self::new(boot, now);
        }
    }

    /// Notes that the upstream does not answer.
    pub fn record_no_response(&mut self) {
        self.is_silent = true;
    }

    /// Takes over that an entry has known the start `boot` for `age`; a new holder has no earlier
    /// knowledge of its own.
    pub fn note_age(&mut self, boot: Option<BootId>, age: TimeSpan, now: MonoTime) {
        if boot == Some(self.boot) {
            self.fresh_since = self.fresh_since.min(now - age);
        }
    }

    /// Returns the calls borne now, between `fresh` and `full`, or none while the upstream does not
    /// answer.
    pub fn capacity(&self, fresh: SlotCount, full: SlotCount, now: MonoTime) -> SlotCount {
        if self.is_silent {
            return SlotCount::default();
        }
        let age = now.since(self.fresh_since).as_micros().min(WARM_UP.as_micros());
        let added = full.get().saturating_sub(fresh.get()) * age / WARM_UP.as_micros();
        SlotCount::new((fresh.get() + added).min(full.get()))
    }
}
