//! Contact with the key-value service.

use gentian_core::{MonoTime, TimeSpan};

/// Since when the service has answered without a break.
#[derive(Clone, Copy, Debug)]
pub struct ServiceContact {
    gap: TimeSpan,
    since: Option<MonoTime>,
    answered: MonoTime,
    has_failed: bool,
}

impl ServiceContact {
    /// Creates a contact without an answer yet; a gap longer than `gap` breaks it.
    pub const fn new(gap: TimeSpan) -> Self {
        Self { gap, since: None, answered: MonoTime::ORIGIN, has_failed: false }
    }

    /// Notes an answer of the service.
    pub fn note_answer(&mut self, now: MonoTime) {
        self.note_gap(now);
        self.since = self.since.or(Some(now));
        self.answered = now;
        self.has_failed = false;
    }

    /// Notes a call without an answer.
    pub fn note_failure(&mut self) {
        self.since = None;
        self.has_failed = true;
    }

    /// Breaks the contact if the last answer lies too far back.
    pub fn note_gap(&mut self, now: MonoTime) {
        if now.since(self.answered) > self.gap {
            self.since = None;
        }
    }

    /// Tells whether the last call failed; an elector without any call yet has not lost contact.
    pub const fn is_lost(&self) -> bool {
        self.has_failed
    }

    /// Tells whether contact has been unbroken for `span`.
    pub fn has_lasted(&self, span: TimeSpan, now: MonoTime) -> bool {
        let is_recent = now.since(self.answered) <= self.gap;
        is_recent && self.since.is_some_and(|since| now.since(since) >= span)
    }
}
