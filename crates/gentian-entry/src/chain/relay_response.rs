//! Filter that sends the upstream's response to the caller.

use std::io::{BufRead, BufReader};

use gentian_core::{EventCode, TokenCount};
use gentian_decide::entry::CallOutcome;
use gentian_decide::request::{FilterOutcome, Refusal, RefusalCode};
use gentian_http::{CallResponse, EventStream, HttpResponse, read_line_within};
use gentian_wire::REQUEST_ID;
use gentian_wire::generated::completion::{CompletionAnswer, CompletionUsage};

use super::call_completion::{refuse_possibly_run, report_outcome};
use super::intent_store::StoredResponse;
use super::{CallContext, CallHandles};

/// Maximum size of a response that is not streamed.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Maximum size of an event of a streamed response.
const MAX_EVENT_BYTES: usize = 64 << 10;
const DONE_EVENT: &[u8] = b"data: [DONE]";
const ERROR_EVENT: &[u8] = b"event: error\ndata: {\"error\":{\"message\":\"the answer broke off\",\"type\":\"upstream_failed\",\"code\":\"upstream_failed\",\"run\":\"unknown\"}}\n\n";

/// How the relay of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayOutcome {
    Complete,
    Broken,
    CallerGone,
}

/// Sends the response to the caller, complete or event by event, and reports the used tokens.
pub(super) fn relay_response(handles: &CallHandles, call: &mut CallContext) -> FilterOutcome {
    let Some(response) = call.response.take() else { return FilterOutcome::Continue };
    let is_stream = call.is_stream && response.is_success();
    if is_stream {
        relay_stream(handles, call, response)
    } else {
        relay_complete_response(handles, call, response)
    }
}

fn relay_complete_response(
    handles: &CallHandles,
    call: &mut CallContext,
    response: CallResponse,
) -> FilterOutcome {
    let status = response.status();
    let content_type = response.header("content-type").unwrap_or("application/octet-stream");
    let content_type = content_type.to_owned();
    let mut reservation = handles.buffers.reserve();
    let has_room = |length| reservation.resize_within_share(length);
    let body = match response.read_body_while(MAX_RESPONSE_BYTES, has_room) {
        Ok(body) => body,
        Err(error) => {
            let refusal = Refusal::new(RefusalCode::UpstreamFailed, error.to_string());
            return refuse_possibly_run(handles, call, refusal.with_unknown_run());
        }
    };
    call.used = used_tokens(call, status, &body);
    if let Some(claim) = call.claim.take() {
        let stored =
            StoredResponse { status, content_type: content_type.clone(), body: body.clone() };
        handles.intents.store_response(claim, stored);
    }
    observe_first_byte(handles, call);
    let caller_response = HttpResponse::new(status)
        .with_header("Content-Type", content_type)
        .with_header(REQUEST_ID, call.id().to_string())
        .with_body(body);
    let result = call.http.take().map(|http| http.respond(caller_response));
    report_outcome(handles, call, CallOutcome::Done(call.used));
    let is_delivered = matches!(result, Some(Ok(())));
    log_relay_outcome(
        call,
        if is_delivered { RelayOutcome::Complete } else { RelayOutcome::CallerGone },
    );
    FilterOutcome::Responded
}

fn relay_stream(
    handles: &CallHandles,
    call: &mut CallContext,
    response: CallResponse,
) -> FilterOutcome {
    let Some(http) = call.http.take() else { return FilterOutcome::Responded };
    let id = call.id().to_string();
    let content_type = response.header("content-type").unwrap_or("text/event-stream").to_owned();
    let mut reader = BufReader::new(response);
    let outcome = match http.stream(&content_type, &[(REQUEST_ID, &id)]) {
        Ok(mut stream) => relay_events(handles, call, &mut reader, &mut stream),
        Err(_) => RelayOutcome::CallerGone,
    };
    report_outcome(handles, call, CallOutcome::Done(call.used));
    log_relay_outcome(call, outcome);
    FilterOutcome::Responded
}

fn relay_events(
    handles: &CallHandles,
    call: &mut CallContext,
    reader: &mut impl BufRead,
    stream: &mut EventStream,
) -> RelayOutcome {
    let mut event = Vec::new();
    let mut event_count = 0;
    call.used = call.request.attributes.prompt_tokens;
    loop {
        let start = event.len();
        let has_line = read_line_within(reader, &mut event, MAX_EVENT_BYTES);
        if !matches!(has_line, Ok(true)) {
            let is_delivered = stream.send(ERROR_EVENT).is_ok();
            return if is_delivered { RelayOutcome::Broken } else { RelayOutcome::CallerGone };
        }
        if !event[start..].iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        if event_count == 0 {
            observe_first_byte(handles, call);
        }
        event_count += 1;
        // An event without usage counts as one token.
        call.used = read_usage(&event)
            .unwrap_or(call.request.attributes.prompt_tokens + TokenCount::new(event_count))
            .max(call.used);
        if stream.send(&event).is_err() {
            return RelayOutcome::CallerGone;
        }
        if event.starts_with(DONE_EVENT) {
            return RelayOutcome::Complete;
        }
        event.clear();
    }
}

/// Returns the total token count of an event that reports usage.
fn read_usage(event: &[u8]) -> Option<TokenCount> {
    let text = std::str::from_utf8(event).ok()?.strip_prefix("data: ")?;
    if !text.contains("\"usage\"") {
        return None;
    }
    let completion: CompletionAnswer = serde_json::from_str(text.trim()).ok()?;
    completion.usage.map(total)
}

fn used_tokens(call: &CallContext, status: u16, body: &[u8]) -> TokenCount {
    if call.request.target.is_none() {
        return call.request.cost;
    }
    let completion: Option<CompletionAnswer> = serde_json::from_slice(body).ok();
    let used = completion.and_then(|completion| completion.usage).map(total);
    let fallback = if status == 200 { call.request.cost } else { TokenCount::ZERO };
    used.unwrap_or(fallback)
}

fn total(usage: CompletionUsage) -> TokenCount {
    TokenCount::new(usage.total_tokens)
}

fn observe_first_byte(handles: &CallHandles, call: &CallContext) {
    let span = handles.clock.now().since(call.request.received);
    handles.metrics.first_byte.observe(span.as_secs_f64());
}

fn log_relay_outcome(call: &CallContext, outcome: RelayOutcome) {
    let code = match outcome {
        RelayOutcome::Complete => EventCode::REQUEST_DONE,
        RelayOutcome::Broken => EventCode::REQUEST_BROKEN,
        RelayOutcome::CallerGone => EventCode::CALLER_GONE,
    };
    let upstream = call.upstream.as_ref().map_or("-", |upstream| upstream.as_str());
    log::info!("{code} request={} upstream={upstream} tokens={}", call.id(), call.used);
}
