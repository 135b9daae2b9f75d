//! Refusals as HTTP responses.

use gentian_core::RequestId;
use gentian_decide::request::Refusal;
use gentian_http::HttpResponse;
use gentian_process::{refusal_body, refusal_status};
use gentian_wire::{REQUEST_ID, RUN_STATE};

/// Returns the response that reports a refusal to the caller.
pub(super) fn refusal_response(id: RequestId, refusal: &Refusal) -> HttpResponse {
    let body = refusal_body(&id.to_string(), refusal);
    let response = HttpResponse::new(refusal_status(refusal.code))
        .with_json(body)
        .with_header(REQUEST_ID, id.to_string())
        .with_header(RUN_STATE, refusal.run.to_string());
    match refusal.retry_after {
        Some(delay) => {
            let seconds = delay.as_millis().div_ceil(1_000).max(1);
            response.with_header("Retry-After", seconds.to_string())
        }
        None => response,
    }
}
