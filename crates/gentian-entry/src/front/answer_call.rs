//! One request from its arrival to its answer.

use gentian_core::{EventCode, RequestId};
use gentian_decide::request::{
    CallerKey, FilterChain, FilterOutcome, Refusal, RefusalCode, RequestAttributes, RequestState,
};
use gentian_http::HttpRequest;

use super::refusal_reply::refusal_reply;
use crate::chain::{CallContext, CallHandles};

/// Largest headers in bytes.
const HEADER_LIMIT: usize = 16 << 10;
const BEARER: &str = "Bearer ";

/// Runs the chain for a request and sends the refusal if there is one.
pub(crate) fn answer_call(
    handles: &CallHandles,
    chain: &FilterChain<CallContext>,
    http: HttpRequest,
) {
    let id = RequestId::new(rand::random());
    let received = handles.clock.now();
    handles.metrics.open.inc();
    let facts = RequestAttributes { path: http.path().to_owned(), ..RequestAttributes::default() };
    let key = http.header("Authorization").map(read_key);
    let is_oversized = http.header_bytes() > HEADER_LIMIT;
    let request = RequestState::new(id, received, facts).with_key(key);
    let mut call = CallContext::new(request, http);
    let outcome = if is_oversized {
        let message = format!("the headers exceed {HEADER_LIMIT} bytes");
        FilterOutcome::Refuse(Refusal::new(RefusalCode::TooLarge, message))
    } else {
        chain.run(&mut call, || handles.clock.now())
    };
    finish_call(handles, call, outcome);
    handles.metrics.open.dec();
}

fn read_key(header: &str) -> CallerKey {
    let is_bearer = header.get(..BEARER.len()).is_some_and(|s| s.eq_ignore_ascii_case(BEARER));
    CallerKey::new(if is_bearer { header[BEARER.len()..].trim() } else { "" })
}

fn finish_call(handles: &CallHandles, mut call: CallContext, outcome: FilterOutcome) {
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
    if let Err(error) = http.respond(refusal_reply(call.id(), &refusal)) {
        log::debug!("refusal not delivered: {error}");
    }
}
