//! Refusals as HTTP answers.

use gentian_core::RequestId;
use gentian_decide::request::Refusal;
use gentian_http::HttpResponse;
use gentian_process::{refusal_body, refusal_status};
use gentian_wire::{REQUEST_ID, RUN_STATE};

/// Returns the answer that tells a caller of a refusal.
pub(super) fn refusal_reply(id: RequestId, refusal: &Refusal) -> HttpResponse {
    let body = refusal_body(&id.to_string(), refusal);
    let reply = HttpResponse::new(refusal_status(refusal.code))
        .with_json(body)
        .with_header(REQUEST_ID, id.to_string())
        .with_header(RUN_STATE, refusal.run.to_string());
    match refusal.retry_after {
        Some(span) => {
            let seconds = span.as_millis().div_ceil(1_000).max(1);
            reply.with_header("Retry-After", seconds.to_string())
        }
        None => reply,
    }
}
