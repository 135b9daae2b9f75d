//! Filter that reads the attributes of a request.

use std::collections::VecDeque;
use std::io::{self, Read};

use gentian_config::RouteKind;
use gentian_core::{EventCode, TimeSpan, TokenCount};
use gentian_decide::request::{FilterOutcome, Refusal, RefusalCode};
use gentian_http::forward::BodyError;
use gentian_wire::IDEMPOTENCY_KEY;
use gentian_wire::generated::completion::CompletionRequest;

use super::{CallContext, CallHandles};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Estimated bytes of a prompt per token.
const BYTES_PER_TOKEN: usize = 4;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
/// When a caller for whose body there is no memory may try again: most bodies that hold it have ended.
const ROOM_RETRY_TIME: TimeSpan = TimeSpan::from_secs(5);

const ENGINE_PATHS: [&str; 2] = ["/v1/completions", "/v1/chat/completions"];
const IDEMPOTENT_METHODS: [&str; 5] = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"];

/// Reads the body and the idempotency key, and on an engine route the model and the token counts.
pub(super) fn read_attributes(handles: &CallHandles, call: &mut CallContext) -> FilterOutcome {
    let Some(http) = &mut call.http else { return FilterOutcome::Responded };
    let method = http.method().to_owned();
    call.body = match http.read_body_within(MAX_BODY_BYTES, &handles.buffers) {
        Ok(body) => body,
        Err(BodyError::TooLarge) => {
            let message = format!("the body exceeds {MAX_BODY_BYTES} bytes");
            return refuse(RefusalCode::TooLarge, message);
        }
        Err(BodyError::NoRoom) => return refuse_body(handles),
        Err(BodyError::Failed(error)) if error.kind() == io::ErrorKind::TimedOut => {
            log::info!("{} request={}", EventCode::BODY_GIVEN_UP, call.request.id);
            handles.metrics.refused_bodies.with_label_values(&["late"]).inc();
            return refuse(RefusalCode::BadRequest, "the body did not arrive in time");
        }
        Err(error) => return refuse(RefusalCode::BadRequest, format!("body not read: {error}")),
    };
    let key = http.header(IDEMPOTENCY_KEY).map(str::to_owned);
    if key.as_ref().is_some_and(|key| key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES) {
        let message = format!("{IDEMPOTENCY_KEY} must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
        return refuse(RefusalCode::BadRequest, message);
    }
    call.request.attributes.idempotency_key = key;
    let kind = call.request.route.as_ref().map(|route| route.kind);
    if kind == Some(RouteKind::Engine) {
        return read_completion(handles, call, &method);
    }
    call.request.attributes.is_idempotent = IDEMPOTENT_METHODS.contains(&method.as_str());
    FilterOutcome::Continue
}

fn read_completion(handles: &CallHandles, call: &mut CallContext, method: &str) -> FilterOutcome {
    let path = call.upstream_path();
    if !ENGINE_PATHS.contains(&path.as_str()) {
        let message = format!("an engine route serves {}, not {path}", ENGINE_PATHS.join(" and "));
        return refuse(RefusalCode::NotFound, message);
    }
    if method != "POST" {
        return refuse(RefusalCode::WrongMethod, format!("{path} accepts POST, not {method}"));
    }
    // The parsed texts take as much again until the tokens are counted.
    let mut parsed_texts = handles.buffers.reserve();
    if !parsed_texts.grow_to(call.body.len()) {
        return refuse_body(handles);
    }
    let reader = io::BufReader::new(PieceReader(call.body.pieces().collect()));
    let body: CompletionRequest = match serde_json::from_reader(reader) {
        Ok(body) => body,
        Err(error) => {
            return refuse(RefusalCode::BadRequest, format!("the body is malformed: {error}"));
        }
    };
    let prompt = body.prompt.as_deref().map_or(0, str::len);
    let messages: usize = body.messages.iter().map(|message| message.content.len()).sum();
    let prompt_tokens = (prompt + messages).div_ceil(BYTES_PER_TOKEN);
    let attributes = &mut call.request.attributes;
    attributes.prompt_tokens = TokenCount::new(u64::try_from(prompt_tokens).unwrap_or(u64::MAX));
    attributes.max_tokens = body.max_tokens.map(|tokens| TokenCount::new(u64::from(tokens)));
    attributes.is_idempotent = true;
    attributes.model = Some(body.model);
    call.is_stream = body.stream.unwrap_or(false);
    FilterOutcome::Continue
}

/// Reads the pieces of a body one after the other.
struct PieceReader<'a>(VecDeque<&'a [u8]>);

impl Read for PieceReader<'_> {
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        while let Some(piece) = self.0.front_mut() {
            let count = piece.read(bytes)?;
            if count > 0 || bytes.is_empty() {
                return Ok(count);
            }
            self.0.pop_front();
        }
        Ok(0)
    }
}

/// Refuses a request for whose body there is no memory.
fn refuse_body(handles: &CallHandles) -> FilterOutcome {
    let buffers = &handles.buffers;
    log::info!("{} used={} waiting={}", EventCode::BODY_REFUSED, buffers.used(), buffers.waiting());
    handles.metrics.refused_bodies.with_label_values(&["no-room"]).inc();
    let message = "there is no memory for the body at present; repeat later";
    let refusal = Refusal::new(RefusalCode::Overloaded, message);
    FilterOutcome::Refuse(refusal.with_retry_after(ROOM_RETRY_TIME))
}

fn refuse(code: RefusalCode, message: impl Into<String>) -> FilterOutcome {
    FilterOutcome::Refuse(Refusal::new(code, message))
}
