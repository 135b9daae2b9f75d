//! The clock of a process.

use std::time::Instant;

use gentian_core::{MonoTime, TimeSpan};

/// Time of the origin, so that spans can be subtracted right after the start.
const ORIGIN: MonoTime = MonoTime::from_millis(1_000_000_000);

/// Monotonic clock of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    started: Instant,
}

impl ProcessClock {
    /// Starts the clock.
    pub fn new() -> Self {
        Self { started: Instant::now() }
    }

    /// Returns the present time.
    pub fn now(&self) -> MonoTime {
        ORIGIN + TimeSpan::from(self.started.elapsed())
    }
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self::new()
    }
}
