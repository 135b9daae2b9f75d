//! Filter that reads the attributes of a request.

use std::io;

use gentian_config::RouteKind;
use gentian_core::TokenCount;
use gentian_decide::request::{FilterOutcome, Refusal, RefusalCode};
use gentian_wire::IDEMPOTENCY_KEY;
use gentian_wire::generated::completion::CompletionRequest;

use super::CallContext;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Estimated bytes of a prompt per token.
const BYTES_PER_TOKEN: usize = 4;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

const ENGINE_PATHS: [&str; 2] = ["/v1/completions", "/v1/chat/completions"];
const IDEMPOTENT_METHODS: [&str; 5] = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"];

/// Reads the body and the idempotency key, and on an engine route the model and the token counts.
pub(super) fn read_attributes(call: &mut CallContext) -> FilterOutcome {
    let Some(http) = &mut call.http else { return FilterOutcome::Responded };
    let method = http.method().to_owned();
    call.body = match http.read_body(MAX_BODY_BYTES) {
        Ok(body) => body,
        Err(error) if error.kind() == io::ErrorKind::FileTooLarge => {
            let message = format!("the body exceeds {MAX_BODY_BYTES} bytes");
            return refuse(RefusalCode::TooLarge, message);
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
        return read_completion(call, &method);
    }
    call.request.attributes.is_idempotent = IDEMPOTENT_METHODS.contains(&method.as_str());
    FilterOutcome::Continue
}

fn read_completion(call: &mut CallContext, method: &str) -> FilterOutcome {
    let path = call.upstream_path();
    if !ENGINE_PATHS.contains(&path.as_str()) {
        let message = format!("an engine route serves {}, not {path}", ENGINE_PATHS.join(" and "));
        return refuse(RefusalCode::NotFound, message);
    }
    if method != "POST" {
        return refuse(RefusalCode::WrongMethod, format!("{path} accepts POST, not {method}"));
    }
    let body: CompletionRequest = match serde_json::from_slice(&call.body) {
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

fn refuse(code: RefusalCode, message: impl Into<String>) -> FilterOutcome {
    FilterOutcome::Refuse(Refusal::new(code, message))
}
