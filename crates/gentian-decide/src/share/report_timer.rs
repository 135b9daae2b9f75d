//! Delay of requests that contain only a report.

use gentian_core::{MonoTime, TimeSpan};

/// Delays a report, so that it can be part of the next request for tokens or slots.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportTimer {
    waiting_since: Option<MonoTime>,
}

impl ReportTimer {
    /// Returns whether a report has waited for `delay`. The wait starts with the first call in
    /// which `has_report` is true.
    pub(super) fn is_due(&mut self, has_report: bool, delay: TimeSpan, now: MonoTime) -> bool {
        if !has_report {
            self.waiting_since = None;
            return false;
        }
        now.since(*self.waiting_since.get_or_insert(now)) >= delay
    }

    /// Ends the wait after the report was sent.
    pub(super) fn clear(&mut self) {
        self.waiting_since = None;
    }
}
