//! Loads that the weight store bears.

use std::collections::VecDeque;

use gentian_core::{MonoTime, TimeSpan};

/// Loads at the beginning of a window that are not used, in case an earlier holder has just begun
/// some that are not known.
const UNKNOWN_LOADS: f64 = 2.0;

/// Loads at the same time that a new holder allows, until it has seen how long they take.
const START_LOADS: usize = 3;
/// Duration of a load against its usual one, in percent, up to which more at a time are allowed, and
/// from which fewer are.
const FAST_PERCENT: u64 = 110;
const SLOW_PERCENT: u64 = 130;

/// Counts the loads from the weight store within a sliding window, and learns how many at a time it
/// bears at full speed.
#[derive(Clone, Debug)]
pub struct StoreLoadLimiter {
    begun: VecDeque<MonoTime>,
    at_once: usize,
}

impl StoreLoadLimiter {
    /// Creates a ceiling without loads.
    pub fn new() -> Self {
        Self { begun: VecDeque::new(), at_once: START_LOADS }
    }

    /// Tells whether another load may begin when the store bears `rate` loads a second and `open`
    /// loads are under way.
    pub fn has_room(&mut self, rate: f64, window: TimeSpan, open: usize, now: MonoTime) -> bool {
        while self.begun.front().is_some_and(|time| now.since(*time) > window) {
            self.begun.pop_front();
        }
        let limit = (rate * window.as_secs_f64() - UNKNOWN_LOADS).max(1.0);
        open < self.at_once && ((self.begun.len() + 1) as f64) <= limit
    }

    /// Counts a load.
    pub fn note_load(&mut self, now: MonoTime) {
        self.begun.push_back(now);
    }

    /// Takes in how long a load took, while `open` others were under way, against its usual time.
    pub fn note_end(&mut self, took: TimeSpan, usual: TimeSpan, open: usize) {
        let percent = took.as_micros() * 100 / usual.as_micros().max(1);
        if percent >= SLOW_PERCENT {
            self.at_once = self.at_once.saturating_sub(1).max(1);
        } else if percent <= FAST_PERCENT && open + 1 >= self.at_once {
            self.at_once += 1;
        }
    }
}

impl Default for StoreLoadLimiter {
    fn default() -> Self {
        Self::new()
    }
}
