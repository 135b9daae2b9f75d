//! How long a request may wait for an upstream.
//!
//! Load pattern: the only copy of a busy model is full for seconds. Callers of streams leave long before the deadline,
//! and a request that is sent just before takes a slot for a response that nobody reads.

use gentian_core::MonoTime;

use super::ServingCall;

/// Requests that no upstream can take are refused after this fraction of the time between their
/// arrival, or the break of the stream with which they go on, and their deadline, so that callers have time to retry.
const MAX_QUEUE_FRACTION: f64 = 0.5;

/// Returns when a queued request is refused at the latest: early enough for a retry, and a stream while its first event
/// can still come before the caller abandons it.
pub(super) fn queue_deadline(call: &ServingCall) -> MonoTime {
    let (start, route) = (call.wait_start(), &call.route);
    let deadline = start + call.deadline.since(start) * MAX_QUEUE_FRACTION;
    match route.kind.is_stream() {
        true => deadline.min(start + route.abandon_time.saturating_sub(route.target_latency)),
        false => deadline,
    }
}
