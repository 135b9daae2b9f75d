//! State of quarantined work.

use gentian_core::{MonoTime, TimeSpan};

/// Time from the quarantine to the first trial.
const FIRST_TRIAL_DELAY: TimeSpan = TimeSpan::from_secs(60);
/// Factor by which the time to the next trial grows.
const TRIAL_DELAY_FACTOR: u64 = 10;
/// Notices of trials within this time are about the same trial.
const SAME_TRIAL_TIME: TimeSpan = TimeSpan::from_secs(5);
/// Longest time between two trials.
const MAX_TRIAL_DELAY: TimeSpan = TimeSpan::from_secs(3_600);

/// When requests with quarantined work were refused, and when one may be tried again.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuarantinedWork {
    /// When a request with the work was last refused.
    pub(super) last_refused: MonoTime,
    /// Whether the work was among the stored records.
    pub(super) is_stored: bool,
    last_trial: Option<MonoTime>,
    next_trial: MonoTime,
    trial_delay: TimeSpan,
    /// Addition to the time to the next trial, which differs from entry to entry.
    stagger: TimeSpan,
}

impl QuarantinedWork {
    /// Creates the state of work that is quarantined now.
    pub(super) fn new(stagger: TimeSpan, now: MonoTime) -> Self {
        Self {
            last_refused: now,
            is_stored: false,
            last_trial: None,
            next_trial: now + FIRST_TRIAL_DELAY + stagger,
            trial_delay: FIRST_TRIAL_DELAY,
            stagger,
        }
    }

    /// Returns whether one request may be sent to find out whether the work still does harm.
    pub(super) fn is_trial_due(&self, now: MonoTime) -> bool {
        now >= self.next_trial
    }

    /// Records that a request is sent as a trial, by this entry or another one, whose notice may arrive
    /// several times.
    pub(super) fn record_trial(&mut self, now: MonoTime) {
        if self.last_trial.is_some_and(|last| now.since(last) < SAME_TRIAL_TIME) {
            return;
        }
        self.last_trial = Some(now);
        self.trial_delay = (self.trial_delay * TRIAL_DELAY_FACTOR).min(MAX_TRIAL_DELAY);
        self.next_trial = now + self.trial_delay + self.stagger;
    }
}
