//! Refusals of request bodies.

use gentian_core::{EventCode, TimeSpan};
use gentian_decide::request::{Refusal, RefusalCode};
use gentian_http::forward::{BodyBuffer, BodyFraming};

use crate::chain::CallHandles;

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
