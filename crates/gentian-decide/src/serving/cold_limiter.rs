//! Requests that a cold upstream bears.

use std::collections::VecDeque;

use gentian_core::{MonoTime, TimeSpan};

use super::ServingBounds;

/// Span in which requests are counted; a little over the promised second, as their times of arrival
/// vary by the delay of the links.
const COUNT_SPAN: TimeSpan = TimeSpan::from_millis(1_200);
/// Part of the bound that entries use together.
const USED_PART: f64 = 0.85;

/// Counts the requests of this entry to one cold upstream.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    sent: VecDeque<MonoTime>,
}

impl ColdLimiter {
    /// Tells whether entry number `rank` of `entries` may send one more request to an upstream that
    /// bears `rate` requests a second; `seed` varies by upstream which entries get the remainder.
    pub fn has_capacity(
        &mut self,
        bounds: &ServingBounds,
        rate: f64,
        (rank, entries): (u32, u32),
        seed: u32,
        now: MonoTime,
    ) -> bool {
        while self.sent.front().is_some_and(|time| now.since(*time) >= COUNT_SPAN) {
            self.sent.pop_front();
        }
        let entries = entries.max(1);
        let total = ((rate * bounds.cold_overshoot + bounds.cold_slack) * USED_PART) as u32;
        let turn = rank.wrapping_add(seed) % entries;
        let allowed = total / entries + u32::from(turn < total % entries);
        (self.sent.len() as u64) < u64::from(allowed)
    }

    /// Counts a request.
    pub fn record_sent(&mut self, now: MonoTime) {
        self.sent.push_back(now);
    }
}
