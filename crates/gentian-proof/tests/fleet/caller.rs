//! HTTP calls of a caller.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gentian_core::TimeSpan;
use gentian_http::HttpClient;
use serde_json::{Value, json};

const TIMEOUT: TimeSpan = TimeSpan::from_secs(25);
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Result of a call as observed by the caller.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallResult {
    /// Status code; zero if there was no response.
    pub(crate) status: u16,
    pub(crate) request: String,
    pub(crate) body: String,
    /// Whether the response was received completely.
    pub(crate) is_complete: bool,
    /// Times of the events of a stream, since the start of the call.
    pub(crate) events: Vec<Duration>,
    pub(crate) elapsed: Duration,
}

impl CallResult {
    /// Returns what a refusal says about whether the request ran, such as `no`; empty without one.
    pub(crate) fn run_state(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"]["run"].as_str().unwrap_or("").to_owned()
    }
}

/// Makes one call and reads the whole response.
pub(crate) fn call(
    target: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> CallResult {
    let started = Instant::now();
    let client = HttpClient::new(target, TIMEOUT);
    let Ok(response) = client.call(method, path, headers, body.as_bytes()) else {
        return CallResult { elapsed: started.elapsed(), ..CallResult::default() };
    };
    let status = response.status();
    let request = response.header("X-Request-Id");
    let request = request.unwrap_or("").to_owned();
    let (is_complete, body) = match response.read_full_body(MAX_RESPONSE_BYTES) {
        Ok(body) => (true, String::from_utf8_lossy(&body).into_owned()),
        Err(_) => (false, String::new()),
    };
    CallResult {
        status,
        request,
        body,
        is_complete,
        elapsed: started.elapsed(),
        events: Vec::new(),
    }
}

/// Makes one streamed completion.
pub(crate) fn stream(target: SocketAddr, key: &str, model: &str, tokens: u32) -> CallResult {
    let started = Instant::now();
    let client = HttpClient::new(target, TIMEOUT);
    let bearer = format!("Bearer {key}");
    let body = json!({ "model": model, "prompt": "when?", "max_tokens": tokens, "stream": true });
    let headers = [("Authorization", bearer.as_str())];
    let path = "/desk/v1/completions";
    let Ok(response) = client.call("POST", path, &headers, body.to_string().as_bytes()) else {
        return CallResult { elapsed: started.elapsed(), ..CallResult::default() };
    };
    let mut result = CallResult { status: response.status(), ..CallResult::default() };
    let request = response.header("X-Request-Id");
    result.request = request.unwrap_or("").to_owned();
    let is_success = response.is_success();
    for line in BufReader::new(response).lines() {
        let Ok(line) = line else { break };
        if line.starts_with("data: {\"choices") {
            result.events.push(started.elapsed());
        }
        result.is_complete |= line == "data: [DONE]" || !is_success;
        result.body += &line;
        result.body.push('\n');
    }
    result.elapsed = started.elapsed();
    result
}
