//! Filter: the answer goes to the caller.

use std::io::{BufRead, BufReader};

use attohttpc::Response;
use gentian_core::{EventCode, TokenCount};
use gentian_decide::entry::CallOutcome;
use gentian_decide::request::{FilterOutcome, Refusal, RefusalCode};
use gentian_http::{EventStream, HttpResponse, read_full_body};
use gentian_wire::REQUEST_ID;
use gentian_wire::generated::completion::{CompletionAnswer, CompletionUsage};

use super::call_steps::{end_call, refuse_sent};
use super::intent_store::KeptAnswer;
use super::{CallContext, CallHandles};

/// Largest whole answer in bytes.
const ANSWER_LIMIT: usize = 16 << 20;
/// Largest event of a stream in bytes.
const EVENT_LIMIT: usize = 1 << 20;
const END_MARK: &[u8] = b"data: [DONE]";
const BROKEN_EVENT: &[u8] = b"event: error\ndata: {\"error\":{\"message\":\"the answer broke off\",\"type\":\"upstream_failed\",\"code\":\"upstream_failed\",\"run\":\"unknown\"}}\n\n";

/// How the relay of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    Whole,
    Broken,
    CallerGone,
}

/// Relays the answer, whole or event by event, and settles the request.
pub(super) fn relay_answer(handles: &CallHandles, call: &mut CallContext) -> FilterOutcome {
    let Some(response) = call.response.take() else { return FilterOutcome::Continue };
    let is_stream = call.is_stream && response.is_success();
    if is_stream {
        relay_stream(handles, call, response)
    } else {
        relay_whole(handles, call, response)
    }
}

fn relay_whole(handles: &CallHandles, call: &mut CallContext, response: Response) -> FilterOutcome {
    let status = response.status().as_u16();
    let content_type = header(&response, "content-type").unwrap_or("application/octet-stream");
    let content_type = content_type.to_owned();
    let body = match read_full_body(response, ANSWER_LIMIT) {
        Ok(body) => body,
        Err(error) => {
            let refusal = Refusal::new(RefusalCode::UpstreamFailed, error.to_string());
            return refuse_sent(handles, call, refusal.with_unknown_run());
        }
    };
    call.used = used_tokens(call, status, &body);
    if let Some(ticket) = call.ticket.take() {
        let answer = KeptAnswer { status, content_type: content_type.clone(), body: body.clone() };
        handles.intents.keep(ticket, answer);
    }
    observe_first_byte(handles, call);
    let reply = HttpResponse::new(status)
        .with_header("Content-Type", content_type)
        .with_header(REQUEST_ID, call.id().to_string())
        .with_body(body);
    let delivered = call.http.take().map(|http| http.respond(reply));
    end_call(handles, call, CallOutcome::Done(call.used));
    let is_delivered = matches!(delivered, Some(Ok(())));
    note_end(call, if is_delivered { StreamEnd::Whole } else { StreamEnd::CallerGone });
    FilterOutcome::Responded
}

fn relay_stream(
    handles: &CallHandles,
    call: &mut CallContext,
    response: Response,
) -> FilterOutcome {
    let Some(http) = call.http.take() else { return FilterOutcome::Responded };
    let id = call.id().to_string();
    let content_type = header(&response, "content-type").unwrap_or("text/event-stream").to_owned();
    let mut reader = BufReader::new(response.split().2);
    let end = match http.stream(&content_type, &[(REQUEST_ID, &id)]) {
        Ok(mut stream) => relay_events(handles, call, &mut reader, &mut stream),
        Err(_) => StreamEnd::CallerGone,
    };
    end_call(handles, call, CallOutcome::Done(call.used));
    note_end(call, end);
    FilterOutcome::Responded
}

fn relay_events(
    handles: &CallHandles,
    call: &mut CallContext,
    reader: &mut impl BufRead,
    stream: &mut EventStream,
) -> StreamEnd {
    let mut event = Vec::new();
    let mut tokens = 0;
    call.used = call.request.attributes.prompt_tokens;
    loop {
        let start = event.len();
        let is_read = matches!(reader.read_until(b'\n', &mut event), Ok(length) if length > 0);
        if !is_read || event.len() > EVENT_LIMIT {
            let is_told = stream.send(BROKEN_EVENT).is_ok();
            return if is_told { StreamEnd::Broken } else { StreamEnd::CallerGone };
        }
        if !event[start..].iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        if tokens == 0 {
            observe_first_byte(handles, call);
        }
        tokens += 1;
        call.used = read_usage(&event)
            .unwrap_or(call.request.attributes.prompt_tokens + TokenCount::new(tokens))
            .max(call.used);
        if stream.send(&event).is_err() {
            return StreamEnd::CallerGone;
        }
        if event.starts_with(END_MARK) {
            return StreamEnd::Whole;
        }
        event.clear();
    }
}

/// Reads the usage out of an event that has one.
fn read_usage(event: &[u8]) -> Option<TokenCount> {
    let text = std::str::from_utf8(event).ok()?.strip_prefix("data: ")?;
    if !text.contains("\"usage\"") {
        return None;
    }
    let answer: CompletionAnswer = serde_json::from_str(text.trim()).ok()?;
    answer.usage.map(total)
}

fn used_tokens(call: &CallContext, status: u16, body: &[u8]) -> TokenCount {
    if call.request.target.is_none() {
        return call.request.cost;
    }
    let answer: Option<CompletionAnswer> = serde_json::from_slice(body).ok();
    let used = answer.and_then(|answer| answer.usage).map(total);
    let fallback = if status == 200 { call.request.cost } else { TokenCount::ZERO };
    used.unwrap_or(fallback)
}

fn total(usage: CompletionUsage) -> TokenCount {
    TokenCount::new(usage.total_tokens)
}

fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.headers().get(name).and_then(|value| value.to_str().ok())
}

fn observe_first_byte(handles: &CallHandles, call: &CallContext) {
    let span = handles.clock.now().since(call.request.received);
    handles.metrics.first_byte.observe(span.as_secs_f64());
}

fn note_end(call: &CallContext, end: StreamEnd) {
    let code = match end {
        StreamEnd::Whole => EventCode::REQUEST_DONE,
        StreamEnd::Broken => EventCode::REQUEST_BROKEN,
        StreamEnd::CallerGone => EventCode::CALLER_GONE,
    };
    let upstream = call.upstream.as_ref().map_or("-", |upstream| upstream.as_str());
    log::info!("{code} request={} upstream={upstream} tokens={}", call.id(), call.used);
}
