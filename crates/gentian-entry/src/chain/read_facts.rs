//! Filter: what the request asks for.

use std::io;

use gentian_config::RouteKind;
use gentian_core::TokenCount;
use gentian_decide::request::{FilterOutcome, Refusal, RefusalCode};
use gentian_wire::IDEMPOTENCY_KEY;
use gentian_wire::generated::completion::CompletionRequest;

use super::CallContext;

/// Largest body in bytes.
const BODY_LIMIT: usize = 4 << 20;
/// Bytes of a prompt that are counted as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Longest idempotency key in bytes.
const KEY_LIMIT: usize = 256;

const ENGINE_PATHS: [&str; 2] = ["/v1/completions", "/v1/chat/completions"];
const IDEMPOTENT_METHODS: [&str; 5] = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"];

/// Reads the body and, on an engine route, what it asks for.
pub(super) fn read_facts(call: &mut CallContext) -> FilterOutcome {
    let Some(http) = &mut call.http else { return FilterOutcome::Responded };
    let method = http.method().to_owned();
    call.body = match http.read_body(BODY_LIMIT) {
        Ok(body) => body,
        Err(error) if error.kind() == io::ErrorKind::FileTooLarge => {
            let message = format!("the body exceeds {BODY_LIMIT} bytes");
            return refuse(RefusalCode::TooLarge, message);
        }
        Err(error) => return refuse(RefusalCode::BadRequest, format!("body not read: {error}")),
    };
    let key = http.header(IDEMPOTENCY_KEY).map(str::to_owned);
    if key.as_ref().is_some_and(|key| key.is_empty() || key.len() > KEY_LIMIT) {
        let message = format!("{IDEMPOTENCY_KEY} must have 1 to {KEY_LIMIT} bytes");
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
    let facts = &mut call.request.attributes;
    facts.prompt_tokens = TokenCount::new(u64::try_from(prompt_tokens).unwrap_or(u64::MAX));
    facts.max_tokens = body.max_tokens.map(|tokens| TokenCount::new(u64::from(tokens)));
    facts.is_idempotent = true;
    facts.model = Some(body.model);
    call.is_stream = body.stream.unwrap_or(false);
    FilterOutcome::Continue
}

fn refuse(code: RefusalCode, message: impl Into<String>) -> FilterOutcome {
    FilterOutcome::Refuse(Refusal::new(code, message))
}
