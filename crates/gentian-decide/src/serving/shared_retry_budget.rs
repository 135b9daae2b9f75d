//! Second sends of requests of one service.

use std::collections::VecDeque;

use gentian_core::MonoTime;

use super::ServingBounds;

/// Part of the budget that an entry uses; the rest covers windows that begin between its counts.
const USED_PART: f64 = 0.8;

/// Allows an entry its part of the second sends that all entries share.
#[derive(Clone, Debug, Default)]
pub struct SharedRetryBudget {
    requests: VecDeque<MonoTime>,
    repeats: VecDeque<MonoTime>,
}

impl SharedRetryBudget {
    /// Creates a budget without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: MonoTime) {
        self.requests.push_back(now);
    }

    /// Takes a second send, if the budget of an entry among `entries` allows it.
    pub fn acquire_retry(&mut self, bounds: &ServingBounds, entries: u32, now: MonoTime) -> bool {
        let start = now - bounds.budget_window;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        }
        let earned = bounds.budget_ratio * self.requests.len() as f64;
        let granted = bounds.budget_extra / f64::from(entries.max(1));
        if (self.repeats.len() + 1) as f64 > (earned + granted) * USED_PART {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}
