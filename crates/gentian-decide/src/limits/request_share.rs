//! Requests of one entry to one upstream, of a number that all entries share.

use std::collections::VecDeque;

use gentian_core::{MonoTime, RequestRate, TimeSpan};

use super::{SHARE_WINDOW, share_requests};

/// Counts the requests of this entry to one upstream.
#[derive(Clone, Debug, Default)]
pub struct RequestShare {
    sent: VecDeque<MonoTime>,
}

impl RequestShare {
    /// Returns whether entry `entry_index` of `entries` may send one more request within `window`,
    /// of `max_requests` that all of them may send. `seed` differs per upstream, so that the
    /// remainder of the division goes to different entries.
    pub fn has_capacity(
        &mut self,
        max_requests: u32,
        window: TimeSpan,
        (entry_index, entries): (u32, u32),
        seed: u32,
        now: MonoTime,
    ) -> bool {
        while self.sent.front().is_some_and(|time| now.since(*time) >= window) {
            self.sent.pop_front();
        }
        let entries = entries.max(1);
        let position = entry_index.wrapping_add(seed) % entries;
        let allowed = max_requests / entries + u32::from(position < max_requests % entries);
        (self.sent.len() as u64) < u64::from(allowed)
    }

    /// Returns whether an entry without a hub may send one more request to an upstream that names
    /// `limit`.
    pub fn has_capacity_for(
        &mut self,
        limit: RequestRate,
        index_and_count: (u32, u32),
        seed: u32,
        now: MonoTime,
    ) -> bool {
        self.has_capacity(share_requests(limit), SHARE_WINDOW, index_and_count, seed, now)
    }

    /// Counts a request that was sent.
    pub fn record_sent(&mut self, now: MonoTime) {
        self.sent.push_back(now);
    }

    /// Counts a request that was sent, and forgets those before the window of entries without a hub.
    pub fn record_limited(&mut self, now: MonoTime) {
        self.sent.retain(|time| now.since(*time) < SHARE_WINDOW);
        self.record_sent(now);
    }
}
