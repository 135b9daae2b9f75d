//! Room for the bodies of requests, before and while they are read.

use std::time::Duration;

use gentian_core::{EventCode, MonoTime, TimeSpan};
use gentian_decide::request::{Refusal, RefusalCode};
use gentian_http::forward::{BodyBuffer, BodyFraming, BodyRoom, BufferWait, BufferedStream};

use crate::chain::CallHandles;

/// Interval between checks whether a caller whose body waits for room is still connected.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Whether a body may be read.
pub(super) enum BodyAdmission {
    /// It may be read into this buffer, after a wait.
    Admitted(BodyBuffer, TimeSpan),
    /// The caller left meanwhile.
    CallerGone,
    /// It is larger than any that the process may hold.
    TooLarge,
    /// There is no room.
    Full,
}

/// Reserves room for a body, and waits for it until `deadline` at most. Nothing of the body is read
/// meanwhile. A chunked body reserves as it grows.
pub(super) fn admit_body(
    handles: &CallHandles,
    stream: &BufferedStream,
    framing: BodyFraming,
    deadline: MonoTime,
) -> BodyAdmission {
    let BodyFraming::Length(length) = framing else {
        let body = BodyBuffer::for_request(handles.buffers.reserve());
        return BodyAdmission::Admitted(body, TimeSpan::ZERO);
    };
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if !handles.buffers.can_hold_body(length) {
        return BodyAdmission::TooLarge;
    }
    match handles.buffers.reserve_body(length) {
        BodyRoom::Reserved(reservation) => {
            BodyAdmission::Admitted(BodyBuffer::for_request(reservation), TimeSpan::ZERO)
        }
        BodyRoom::Waiting(wait) => wait_for_room(handles, stream, &wait, deadline),
        BodyRoom::Full => BodyAdmission::Full,
    }
}

fn wait_for_room(
    handles: &CallHandles,
    stream: &BufferedStream,
    wait: &BufferWait,
    deadline: MonoTime,
) -> BodyAdmission {
    let start = handles.clock.now();
    loop {
        let now = handles.clock.now();
        if now >= deadline {
            return BodyAdmission::Full;
        }
        let pause = CALLER_CHECK_INTERVAL.min(deadline.since(now).into());
        if let Some(reservation) = wait.wait(pause) {
            let waited = handles.clock.now().since(start);
            return BodyAdmission::Admitted(BodyBuffer::for_request(reservation), waited);
        }
        if stream.is_peer_closed() {
            return BodyAdmission::CallerGone;
        }
    }
}

/// Logs and counts a body for which there is no room, and returns the refusal of its request.
pub(super) fn refuse_body(
    handles: &CallHandles,
    framing: BodyFraming,
    retry_after: TimeSpan,
) -> Refusal {
    let length = match framing {
        BodyFraming::Length(length) => length.to_string(),
        BodyFraming::Chunked | BodyFraming::UntilClose => "unknown".to_owned(),
    };
    log::info!(
        "{} length={length} used={} waiting={}",
        EventCode::BODY_REFUSED,
        handles.buffers.used(),
        handles.buffers.waiting()
    );
    handles.metrics.refused_bodies.with_label_values(&["no-room"]).inc();
    let message = "there is no memory for the body at present; repeat later";
    // Senders that stop lose their share by then.
    Refusal::new(RefusalCode::Overloaded, message).with_retry_after(retry_after)
}

/// Logs and counts a body that didn't arrive in time.
pub(super) fn record_late_body(handles: &CallHandles, body: &BodyBuffer) {
    log::info!("{} arrived={}", EventCode::BODY_GIVEN_UP, body.len());
    handles.metrics.refused_bodies.with_label_values(&["late"]).inc();
}
