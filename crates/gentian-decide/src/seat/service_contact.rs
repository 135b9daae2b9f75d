//! Contact with the key-value service.

use gentian_core::{MonoTime, TimeSpan};

/// Tracks whether the key-value service has responded without a gap, and since when.
#[derive(Clone, Copy, Debug)]
pub struct ServiceContact {
    max_gap: TimeSpan,
    unbroken_since: Option<MonoTime>,
    responded_at: MonoTime,
    has_failed: bool,
}

impl ServiceContact {
    /// Creates the state before the first response. A gap longer than `max_gap` breaks the contact.
    pub const fn new(max_gap: TimeSpan) -> Self {
        Self { max_gap, unbroken_since: None, responded_at: MonoTime::ORIGIN, has_failed: false }
    }

    /// Records a response of the service.
    pub fn record_response(&mut self, now: MonoTime) {
        self.break_after_gap(now);
        self.unbroken_since = self.unbroken_since.or(Some(now));
        self.responded_at = now;
        self.has_failed = false;
    }

    /// Records a call without a response.
    pub fn record_failure(&mut self) {
        self.unbroken_since = None;
        self.has_failed = true;
    }

    /// Breaks the contact if the last response is too long ago.
    pub fn break_after_gap(&mut self, now: MonoTime) {
        if now.since(self.responded_at) > self.max_gap {
            self.unbroken_since = None;
        }
    }

    /// Returns whether the last call failed; `false` before the first call. Unless it failed, an
    /// elector replies that it has contact, so that a holder whose lease has expired may not act.
    pub const fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Returns whether contact has been unbroken for `span`.
    pub fn has_lasted(&self, span: TimeSpan, now: MonoTime) -> bool {
        let is_recent = now.since(self.responded_at) <= self.max_gap;
        is_recent && self.unbroken_since.is_some_and(|since| now.since(since) >= span)
    }
}
