//! State of a quarantined part.

use gentian_core::{MonoTime, TimeSpan};

/// Time from the quarantine to the first trial.
const FIRST_TRIAL_DELAY: TimeSpan = TimeSpan::from_secs(60);
/// Factor by which the time to the next trial grows.
const TRIAL_DELAY_FACTOR: u64 = 10;
/// Longest time between two trials.
const MAX_TRIAL_DELAY: TimeSpan = TimeSpan::from_secs(3_600);

/// When requests with a quarantined part were refused, and when one may be tried again.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuarantinedWork {
    /// When a request with the part was last refused.
    pub(super) last_refused: MonoTime,
    /// Whether the part was among the stored records.
    pub(super) is_stored: bool,
    next_trial: MonoTime,
    trial_delay: TimeSpan,
}

impl QuarantinedWork {
    /// Creates the state of a part that is quarantined now.
    pub(super) fn new(now: MonoTime) -> Self {
        Self {
            last_refused: now,
            is_stored: false,
            next_trial: now + FIRST_TRIAL_DELAY,
            trial_delay: FIRST_TRIAL_DELAY,
        }
    }

    /// Returns whether one request may be sent to find out whether the part still does harm.
    pub(super) fn is_trial_due(&self, now: MonoTime) -> bool {
        now >= self.next_trial
    }

    /// Records that a request is sent as a trial.
    pub(super) fn record_trial(&mut self, now: MonoTime) {
        self.trial_delay = (self.trial_delay * TRIAL_DELAY_FACTOR).min(MAX_TRIAL_DELAY);
        self.next_trial = now + self.trial_delay;
    }
}
