//! Windows in which usage is counted, and when their reports are due.
//!
//! Load pattern: steady requests that are cut into windows of equal length, one report each.

use gentian_core::{TimeSpan, WallTime, WindowNumber};

/// Number of windows before the current one of which an entry keeps its counts, and for which a hub
/// repeats a report. Reports are due after two or three windows; the others are for outages.
pub(super) const MAX_KEPT_WINDOWS: u64 = 12;
/// Shortest window; a shorter one in the settings is lengthened to it.
const MIN_WINDOW: TimeSpan = TimeSpan::from_millis(100);

/// When windows begin and reports are due, and how often the platform may be called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageRules {
    window: TimeSpan,
    /// Time after the end of a window at which its report is due.
    pub report_delay: TimeSpan,
    /// Shortest time between two calls.
    pub call_interval: TimeSpan,
    /// Time that a new hub waits before its first call.
    pub takeover_delay: TimeSpan,
}

impl UsageRules {
    /// Creates the rules for windows of this length.
    pub fn new(window: TimeSpan, report_delay: TimeSpan) -> Self {
        let (call_interval, takeover_delay) = (TimeSpan::ZERO, TimeSpan::ZERO);
        Self { window: window.max(MIN_WINDOW), report_delay, call_interval, takeover_delay }
    }

    /// Sets the shortest time between two calls.
    pub fn with_call_interval(self, call_interval: TimeSpan) -> Self {
        Self { call_interval, ..self }
    }

    /// Sets the time that a new hub waits before its first call.
    pub fn with_takeover_delay(self, takeover_delay: TimeSpan) -> Self {
        Self { takeover_delay, ..self }
    }

    /// Returns the length of a window.
    pub const fn window(&self) -> TimeSpan {
        self.window
    }

    /// Returns the window that contains `time`.
    pub const fn window_at(&self, time: WallTime) -> WindowNumber {
        WindowNumber::new(time.as_micros() / self.window.as_micros())
    }

    /// Returns the end of a window.
    pub fn end(&self, window: WindowNumber) -> WallTime {
        let micros = window.get().saturating_add(1).saturating_mul(self.window.as_micros());
        WallTime::from_micros(micros)
    }

    /// Returns when the report of a window is due.
    pub fn due(&self, window: WindowNumber) -> WallTime {
        self.end(window).plus(self.report_delay)
    }

    /// Returns the oldest window that is still of interest at `time`.
    pub fn oldest_kept(&self, time: WallTime) -> WindowNumber {
        WindowNumber::new(self.window_at(time).get().saturating_sub(MAX_KEPT_WINDOWS))
    }
}
