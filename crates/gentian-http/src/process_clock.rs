//! The clock of a process.

use gentian_core::{MonoTime, TimeSpan, WallTime};
use rustix::time::{ClockId, clock_gettime};

/// Time at which the clock starts; far above zero, so that spans can be subtracted right after the
/// start.
const START: MonoTime = MonoTime::from_millis(1_000_000_000);

/// Monotonic clock of a process. It also counts time during which the VM is suspended, so that
/// leases and deadlines expire meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    started: TimeSpan,
}

impl ProcessClock {
    /// Starts the clock.
    pub fn new() -> Self {
        Self { started: time_since_boot() }
    }

    /// Returns the current time.
    pub fn now(&self) -> MonoTime {
        START + time_since_boot().saturating_sub(self.started)
    }

    /// Returns the time of day by the VM's clock, which may step.
    pub fn wall_time(&self) -> WallTime {
        let time = clock_gettime(ClockId::Realtime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        WallTime::from_micros(seconds.saturating_mul(1_000_000).saturating_add(nanos / 1_000))
    }
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self::new()
    }
}

fn time_since_boot() -> TimeSpan {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    TimeSpan::from_secs(seconds) + TimeSpan::from_micros(nanos / 1_000)
}
