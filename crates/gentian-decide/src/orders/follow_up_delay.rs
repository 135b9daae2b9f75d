//! Time from the acceptance of an unload until the engine accepts the next order. Load pattern: loads that
//! each make room first; an engine refuses every order that comes before its unload has ended.

use gentian_core::TimeSpan;

/// Delay before the first unload has been seen, and the longest one.
const INITIAL_DELAY: TimeSpan = TimeSpan::from_millis(60);
const MAX_DELAY: TimeSpan = TimeSpan::from_millis(300);
/// Shortest delay, so that it can grow and shrink by a fraction.
const MIN_DELAY: TimeSpan = TimeSpan::from_millis(5);
/// Factor after an order that was accepted at once, since the unload may have ended earlier.
const SHRINK_FACTOR: f64 = 0.97;
/// Weight of the newest order that was refused before it was accepted.
const NEWEST_WEIGHT: f64 = 0.5;

/// Learns after which delay the next order is accepted, from how often it was refused before.
#[derive(Clone, Copy, Debug)]
pub struct FollowUpDelay {
    delay: TimeSpan,
}

impl FollowUpDelay {
    /// Creates the delay before any unload has been seen.
    pub fn new() -> Self {
        Self { delay: INITIAL_DELAY }
    }

    /// Returns the delay.
    pub fn delay(&self) -> TimeSpan {
        self.delay
    }

    /// Records that an order was accepted `elapsed` after the unload before it, and how often it was
    /// refused until then.
    pub fn record(&mut self, elapsed: TimeSpan, refusals: u32) {
        let next = match refusals {
            0 => self.delay * SHRINK_FACTOR,
            _ => self.delay * (1.0 - NEWEST_WEIGHT) + elapsed * NEWEST_WEIGHT,
        };
        self.delay = next.max(MIN_DELAY).min(MAX_DELAY);
    }
}

impl Default for FollowUpDelay {
    fn default() -> Self {
        Self::new()
    }
}
