//! Decides how long an entry waits for the answer to a watch.

use gentian_core::{MonoTime, TimeSpan};

/// Wait of a watch while the hub sends updates: it also announces changes that the watch misses.
const ATTENDED_WAIT: TimeSpan = TimeSpan::from_secs(15);
/// Wait of a watch at the hub, and of one at another entry while the hub sends no updates.
const UNATTENDED_WAIT: TimeSpan = TimeSpan::from_secs(1);
/// Time beyond this wait after which an answer is no longer expected.
const RESPONSE_MARGIN: TimeSpan = TimeSpan::from_secs(1);
/// Time for a watch to deliver a change that the hub has announced.
const NOTICE_WAIT: TimeSpan = TimeSpan::from_millis(300);

/// A watch that was sent and has no answer yet. The service may have been silent when it was sent,
/// and then never answers it.
#[derive(Clone, Copy, Debug)]
pub struct PendingWatch {
    sent: MonoTime,
}

impl PendingWatch {
    /// Creates the watch that is sent at `now`.
    pub const fn new(now: MonoTime) -> Self {
        Self { sent: now }
    }

    /// Returns after which time without a change the service is asked to answer; `has_hub_updates`
    /// tells whether another entry is the hub and sends updates.
    pub const fn wait(has_hub_updates: bool) -> TimeSpan {
        if has_hub_updates { ATTENDED_WAIT } else { UNATTENDED_WAIT }
    }

    /// Returns whether an answer is still waited for. `newer_known_at` is the time at which the hub
    /// announced a change that the watch has to deliver, if it did.
    pub fn is_wanted(
        &self,
        has_hub_updates: bool,
        newer_known_at: Option<MonoTime>,
        now: MonoTime,
    ) -> bool {
        let is_overdue = newer_known_at
            .is_some_and(|announced| now.since(announced.max(self.sent)) > NOTICE_WAIT);
        let is_attended =
            has_hub_updates || now.since(self.sent) < UNATTENDED_WAIT + RESPONSE_MARGIN;
        is_attended && !is_overdue
    }
}
