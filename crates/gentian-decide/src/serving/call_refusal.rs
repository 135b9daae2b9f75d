//! Refusals of requests that no upstream serves.

use gentian_core::{MonoTime, TimeSpan};

use super::{LimitedCapacity, PickOutcome, ServingCall};
use crate::request::{Refusal, RefusalCode};

/// Retry delay in refusals because no upstream is available.
const OVERLOAD_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);

/// Refuses a request that has waited as long as it may; `outcome` is that of its last selection.
pub(super) fn refuse_queued(call: &ServingCall, outcome: &PickOutcome) -> Refusal {
    let message = match outcome {
        PickOutcome::NotLoaded => "no upstream could load the model in time",
        PickOutcome::Full | PickOutcome::AwaitsPermit | PickOutcome::Limited(_) => {
            "the upstreams bear no more now"
        }
        PickOutcome::VersionGone => "no upstream of the version that began the stream serves it",
        PickOutcome::Uncertain => "the upstreams may have started again",
        PickOutcome::HeldBack => "upstreams ended under this request, and its copies wait in turn",
        PickOutcome::Send(_) | PickOutcome::Paused(_) | PickOutcome::NoUpstream => {
            "no upstream takes work"
        }
    };
    let message = format!("{message}{}{}", for_target(call), for_rest(call));
    refuse(call, &message, OVERLOAD_RETRY_AFTER)
}

/// Refuses a request that upstreams with limits could only take too late; `before` other requests of
/// this entry wait for them.
pub(super) fn refuse_limited(
    call: &ServingCall,
    capacity: LimitedCapacity,
    before: usize,
) -> Refusal {
    let limit = capacity.rate;
    let message = format!("the upstreams accept only {limit} at present{}", for_target(call));
    refuse(call, &message, capacity.wait(before))
}

/// Refuses a request that no upstream accepts before `end`.
pub(super) fn refuse_paused(call: &ServingCall, end: MonoTime, now: MonoTime) -> Refusal {
    let message = format!("the upstreams turn requests away for now{}", for_target(call));
    refuse(call, &message, end.since(now))
}

/// Refuses to go on with a stream, since no upstream of its version can, or none is known to have it.
pub fn refuse_take_up(call: &ServingCall, message: &str) -> Refusal {
    let message = format!("{message}{}; ask for the whole stream", for_target(call));
    let refusal = Refusal::new(RefusalCode::StreamNotResumable, message);
    if call.possible_executions == 0 { refusal } else { refusal.with_unknown_run() }
}

/// Refuses another attempt beyond the retry budget.
pub(super) fn refuse_retry(call: &ServingCall) -> Refusal {
    let message = "the upstream did not serve the request and the retry budget is used up";
    refuse(call, message, OVERLOAD_RETRY_AFTER)
}

/// A request that no upstream can have executed may be sent again later. For any other one, it is
/// unknown whether it was executed.
fn refuse(call: &ServingCall, message: &str, retry_after: TimeSpan) -> Refusal {
    match call.possible_executions {
        0 => Refusal::new(RefusalCode::Overloaded, message).with_retry_after(retry_after),
        _ => Refusal::new(RefusalCode::UpstreamFailed, message).with_unknown_run(),
    }
}

/// Returns the target of the call as the end of a message.
fn for_target(call: &ServingCall) -> String {
    call.target.as_ref().map_or_else(String::new, |target| format!(" for {target}"))
}

/// Returns that only upstreams of one version are asked for, as the end of a message.
fn for_rest(call: &ServingCall) -> String {
    call.origin
        .as_ref()
        .map_or_else(String::new, |it| format!(", for the rest of a stream of {it}"))
}
