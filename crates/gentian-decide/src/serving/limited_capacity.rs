//! Capacity of upstreams that all name limits of requests.

use gentian_core::{MonoTime, RequestRate, TimeSpan};

use super::ServingCall;
use super::queue_deadline::queue_deadline;

/// A request is refused if it would start later than this many times its target latency after its
/// arrival.
const MAX_WAIT_TARGETS: u64 = 4;

/// What upstreams accept that all name limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitedCapacity {
    /// Requests that they accept together.
    pub rate: RequestRate,
    /// Requests of all entries that wait for them.
    pub backlog: u32,
}

impl LimitedCapacity {
    /// Returns the time until a request starts, with `before` other requests of this entry before
    /// it.
    pub fn wait(self, before: usize) -> TimeSpan {
        self.rate.time_for((before + 1).max(self.backlog as usize))
    }

    /// Returns whether `call` would start too late to be worth the wait.
    pub fn is_too_late(self, call: &ServingCall, before: usize, now: MonoTime) -> bool {
        let latest = call.received + call.route.target_latency * MAX_WAIT_TARGETS;
        now + self.wait(before) > queue_deadline(call).min(latest)
    }
}
