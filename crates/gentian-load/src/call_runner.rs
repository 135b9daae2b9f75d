//! Makes one call and measures its response.

use std::io::{BufRead, BufReader, Read};
use std::time::Instant;

use gentian_core::TimeSpan;
use gentian_http::{HttpClient, read_line_within};
use gentian_wire::IDEMPOTENCY_KEY;
use serde_json::json;

use crate::arrival_plan::PlannedCall;
use crate::call_result::{CallOutcome, CallResult};
use crate::flow_spec::{FlowKind, FlowSpec};

const MAX_RESPONSE_BYTES: usize = 1 << 20;
const MAX_LINE_BYTES: usize = 64 << 10;
const PROMPT: &str = "When is the sheet at the Palermo rink to be flooded before league night?";

/// Makes a call and reads its response to the end.
pub(crate) fn run_call(flow: &FlowSpec, call: &PlannedCall) -> CallResult {
    let started = Instant::now();
    let client = HttpClient::new(call.target, flow.timeout);
    let authorization = flow.key.as_ref().map(|key| format!("Bearer {key}"));
    let idempotency_key = format!("{:016x}", call.number);
    let mut headers = vec![("Content-Type", "application/json")];
    headers.extend(authorization.as_deref().map(|text| ("Authorization", text)));
    if flow.kind == FlowKind::Booking {
        headers.push((IDEMPOTENCY_KEY, &idempotency_key));
    }
    let body = make_body(flow, call);
    let elapsed = || TimeSpan::from(started.elapsed());
    let Ok(response) = client.call("POST", &flow.path, &headers, body.as_bytes()) else {
        return CallResult::new(CallOutcome::Lost, elapsed());
    };
    if !response.is_success() {
        return CallResult::new(CallOutcome::Refused(response.status()), elapsed());
    }
    if flow.kind == FlowKind::Booking {
        let outcome = match response.read_full_body(MAX_RESPONSE_BYTES) {
            Ok(_) => CallOutcome::Whole,
            Err(_) => CallOutcome::Broken,
        };
        return CallResult::new(outcome, elapsed());
    }
    read_stream(BufReader::new(response), started)
}

fn make_body(flow: &FlowSpec, call: &PlannedCall) -> String {
    match (&flow.kind, &call.model) {
        (FlowKind::Completion { max_tokens, .. }, Some(model)) => json!({
            "model": model, "prompt": PROMPT, "max_tokens": max_tokens, "stream": true,
        })
        .to_string(),
        _ => json!({ "visit": call.number }).to_string(),
    }
}

/// Reads a stream, which is whole if its last event ends it and the body ends after that event.
fn read_stream(mut reader: impl BufRead, started: Instant) -> CallResult {
    let mut result = CallResult::new(CallOutcome::Broken, TimeSpan::ZERO);
    let mut last: Option<Instant> = None;
    let mut is_last_event = false;
    let mut line = Vec::new();
    while let Ok(has_line) = read_line_within(&mut reader, &mut line, MAX_LINE_BYTES) {
        if !has_line {
            break;
        }
        let text = line.trim_ascii_end();
        if text == b"data: [DONE]" {
            is_last_event = true;
        } else if text.starts_with(b"data: ") {
            let now = Instant::now();
            match last {
                None => result.first = TimeSpan::from(now - started),
                Some(last) => result.gaps.push(TimeSpan::from(now - last)),
            }
            last = Some(now);
        } else if text.starts_with(b"event: error") {
            break;
        } else if text.is_empty() && is_last_event {
            let mut rest = reader.take(MAX_LINE_BYTES as u64);
            if matches!(rest.read_to_end(&mut Vec::new()), Ok(0)) {
                result.outcome = CallOutcome::Whole;
            }
            break;
        }
        line.clear();
    }
    result
}
