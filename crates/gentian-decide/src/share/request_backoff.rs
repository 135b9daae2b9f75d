//! Growing time between asks for what cannot be had now.

use gentian_core::{MonoTime, TimeSpan};

const SHORTEST: TimeSpan = TimeSpan::from_millis(5);
const LONGEST: TimeSpan = TimeSpan::from_millis(40);

/// Doubles the time between asks while grants fall short of what was wanted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestBackoff {
    spacing: TimeSpan,
    until: MonoTime,
}

impl RequestBackoff {
    /// Notes whether a grant fell short.
    pub(super) fn note_grant(&mut self, is_short: bool, now: MonoTime) {
        self.spacing =
            if is_short { (self.spacing * 2).clamp(SHORTEST, LONGEST) } else { TimeSpan::ZERO };
        self.until = now + self.spacing;
    }

    /// Tells whether an ask may be made.
    pub(super) fn is_over(&self, now: MonoTime) -> bool {
        now >= self.until
    }
}
