//! Handles one request from its arrival to its response.

use gentian_core::{EventCode, RequestId};
use gentian_decide::request::{
    CallerKey, FilterChain, FilterOutcome, Refusal, RefusalCode, RequestAttributes, RequestState,
};
use gentian_http::HttpRequest;

use super::refusal_response::refusal_response;
use crate::chain::{CallContext, CallHandles};

/// Maximum size of all request headers.
const MAX_HEADER_BYTES: usize = 16 << 10;
const BEARER_PREFIX: &str = "Bearer ";

/// Runs the filter chain for a request, and sends the refusal if there is one.
pub(crate) fn handle_request(
    handles: &CallHandles,
    chain: &FilterChain<CallContext>,
    http: HttpRequest,
) {
    let id = RequestId::new(rand::random());
    let received = handles.clock.now();
    handles.metrics.open.inc();
    let attributes =
        RequestAttributes { path: http.path().to_owned(), ..RequestAttributes::default() };
    let key = http.header("Authorization").map(parse_key);
    let is_oversized = http.header_bytes() > MAX_HEADER_BYTES;
    let request = RequestState::new(id, received, attributes).with_key(key);
    let mut call = CallContext::new(request, http, &handles.buffers);
    let outcome = if is_oversized {
        let message = format!("the headers exceed {MAX_HEADER_BYTES} bytes");
        FilterOutcome::Refuse(Refusal::new(RefusalCode::TooLarge, message))
    } else {
        chain.run(&mut call, || handles.clock.now())
    };
    finish_request(handles, call, outcome);
    handles.metrics.open.dec();
}

fn parse_key(header: &str) -> CallerKey {
    let is_bearer =
        header.get(..BEARER_PREFIX.len()).is_some_and(|s| s.eq_ignore_ascii_case(BEARER_PREFIX));
    CallerKey::new(if is_bearer { header[BEARER_PREFIX.len()..].trim() } else { "" })
}

fn finish_request(handles: &CallHandles, mut call: CallContext, outcome: FilterOutcome) {
    let route = call.request.route.as_ref().map_or("-", |route| route.id.as_str()).to_owned();
    let label = match &outcome {
        FilterOutcome::Refuse(refusal) => refusal.code.to_string(),
        FilterOutcome::Responded | FilterOutcome::Continue => "answered".to_owned(),
    };
    handles.metrics.requests.with_label_values(&[route.as_str(), label.as_str()]).inc();
    let FilterOutcome::Refuse(refusal) = outcome else { return };
    log::info!(
        "{} request={} route={route} code={} run={} cause={:?}",
        EventCode::REQUEST_REFUSED,
        call.id(),
        refusal.code,
        refusal.run,
        refusal.message
    );
    let Some(http) = call.http.take() else { return };
    if let Err(error) = http.respond(refusal_response(call.id(), &refusal)) {
        log::debug!("cannot send a refusal: {error}");
    }
}
