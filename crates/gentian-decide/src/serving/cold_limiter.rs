//! Limit on requests to an upstream that is still warming up.

use gentian_core::{MonoTime, TimeSpan};

use super::ServingBounds;
use crate::limits::RequestShare;

/// Window in which requests are counted. It is longer than the one second of the guaranteed bound
/// because network delays vary: requests sent further apart can arrive within one second.
const COUNT_WINDOW: TimeSpan = TimeSpan::from_millis(1_200);
/// Fraction of the bound that all entries together use.
const BOUND_FRACTION: f64 = 0.85;

/// Limits the requests of this entry to one cold upstream.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    share: RequestShare,
}

impl ColdLimiter {
    /// Returns whether entry `entry_index` of `entries` may send one more request to an upstream
    /// that accepts `rate` requests per second while cold. `seed` differs per upstream, so that the
    /// remainder of the division among entries goes to different entries.
    pub fn has_capacity(
        &mut self,
        bounds: &ServingBounds,
        rate: f64,
        (entry_index, entries): (u32, u32),
        seed: u32,
        now: MonoTime,
    ) -> bool {
        let max_requests =
            ((rate * bounds.cold_rate_factor + bounds.cold_slack) * BOUND_FRACTION) as u32;
        self.share.has_capacity(max_requests, COUNT_WINDOW, (entry_index, entries), seed, now)
    }

    /// Counts a request that was sent.
    pub fn record_sent(&mut self, now: MonoTime) {
        self.share.record_sent(now);
    }
}
