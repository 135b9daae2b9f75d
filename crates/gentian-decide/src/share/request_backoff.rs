//! Backoff between requests for tokens or slots that the holder cannot grant in full.

use gentian_core::{MonoTime, TimeSpan};

/// Interval after the first grant that fell short.
const MIN_INTERVAL: TimeSpan = TimeSpan::from_millis(5);
/// Longest interval.
const MAX_INTERVAL: TimeSpan = TimeSpan::from_millis(40);

/// Doubles the interval between requests while grants fall short of the wanted amount.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestBackoff {
    interval: TimeSpan,
    until: MonoTime,
}

impl RequestBackoff {
    /// Records whether a grant fell short.
    pub(super) fn record_grant(&mut self, is_short: bool, now: MonoTime) {
        self.interval = if is_short {
            (self.interval * 2).clamp(MIN_INTERVAL, MAX_INTERVAL)
        } else {
            TimeSpan::ZERO
        };
        self.until = now + self.interval;
    }

    /// Returns whether the next request may be sent.
    pub(super) fn has_elapsed(&self, now: MonoTime) -> bool {
        now >= self.until
    }
}
