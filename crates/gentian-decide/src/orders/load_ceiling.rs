//! Loads that the weight store bears.

use std::collections::VecDeque;

use gentian_core::{MonoTime, TimeSpan};

/// Loads at the beginning of a window that are not used, in case an earlier holder has just begun
/// some that are not known.
const UNKNOWN_LOADS: f64 = 2.0;

/// Counts the loads from the weight store within a sliding window.
#[derive(Clone, Debug, Default)]
pub struct LoadCeiling {
    begun: VecDeque<MonoTime>,
}

impl LoadCeiling {
    /// Creates a ceiling without loads.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells whether another load may begin when the store bears `rate` loads a second.
    pub fn has_room(&mut self, rate: f64, window: TimeSpan, now: MonoTime) -> bool {
        while self.begun.front().is_some_and(|time| now.since(*time) > window) {
            self.begun.pop_front();
        }
        let limit = (rate * window.as_secs_f64() - UNKNOWN_LOADS).max(1.0);
        ((self.begun.len() + 1) as f64) <= limit
    }

    /// Counts a load.
    pub fn note_load(&mut self, now: MonoTime) {
        self.begun.push_back(now);
    }
}
