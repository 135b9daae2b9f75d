//! Limits the loads from the weight store.

use std::collections::VecDeque;

use gentian_core::{MonoTime, TimeSpan};

/// Loads per window that are left unused as a reserve for loads that an earlier holder has started
/// and that this one does not know of.
const RESERVED_LOADS: f64 = 2.0;

/// Concurrent loads that a new holder allows until it has seen how long they take.
const INITIAL_CONCURRENCY: usize = 3;
/// Duration of a load, in percent of the expected one, up to which the concurrency limit grows.
const FAST_PERCENT: u64 = 110;
/// Duration of a load, in percent of the expected one, from which the concurrency limit shrinks.
const SLOW_PERCENT: u64 = 130;

/// Counts the loads from the weight store in a sliding window, and adapts the number of concurrent
/// loads to what the store serves at full speed.
#[derive(Clone, Debug)]
pub struct StoreLoadLimiter {
    started: VecDeque<MonoTime>,
    max_concurrent: usize,
}

impl StoreLoadLimiter {
    /// Creates a limiter that has counted no load.
    pub fn new() -> Self {
        Self { started: VecDeque::new(), max_concurrent: INITIAL_CONCURRENCY }
    }

    /// Returns whether another load may start if the store can serve `rate` loads per second and
    /// `open` loads are running.
    pub fn has_capacity(
        &mut self,
        rate: f64,
        window: TimeSpan,
        open: usize,
        now: MonoTime,
    ) -> bool {
        while self.started.front().is_some_and(|time| now.since(*time) > window) {
            self.started.pop_front();
        }
        let limit = (rate * window.as_secs_f64() - RESERVED_LOADS).max(1.0);
        open < self.max_concurrent && ((self.started.len() + 1) as f64) <= limit
    }

    /// Records the start of a load.
    pub fn record_start(&mut self, now: MonoTime) {
        self.started.push_back(now);
    }

    /// Records that a load took `duration` instead of the `expected` time while `open` others were
    /// running.
    pub fn record_end(&mut self, duration: TimeSpan, expected: TimeSpan, open: usize) {
        let percent = duration.as_micros() * 100 / expected.as_micros().max(1);
        if percent >= SLOW_PERCENT {
            self.max_concurrent = self.max_concurrent.saturating_sub(1).max(1);
        } else if percent <= FAST_PERCENT && open + 1 >= self.max_concurrent {
            self.max_concurrent += 1;
        }
    }
}

impl Default for StoreLoadLimiter {
    fn default() -> Self {
        Self::new()
    }
}
