//! Budget of retries that all entries share for one service.

use std::collections::VecDeque;

use gentian_core::MonoTime;

use super::ServingBounds;

/// Fraction of the budget that an entry uses. It counts in the window that ends at a retry; the
/// rest covers windows at other times, in which fewer requests may have arrived.
const USED_FRACTION: f64 = 0.8;

/// Limits retries at one entry to its fraction of the budget that all entries share.
#[derive(Clone, Debug, Default)]
pub struct SharedRetryBudget {
    requests: VecDeque<MonoTime>,
    retries: VecDeque<MonoTime>,
}

impl SharedRetryBudget {
    /// Creates a budget without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: MonoTime) {
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget of an entry among `entries`; `false` if it is used up.
    pub fn acquire_retry(&mut self, bounds: &ServingBounds, entries: u32, now: MonoTime) -> bool {
        let start = now - bounds.retry_window;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        }
        let earned = bounds.retry_ratio * self.requests.len() as f64;
        let base = bounds.extra_retries / f64::from(entries.max(1));
        if (self.retries.len() + 1) as f64 > (earned + base) * USED_FRACTION {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}
