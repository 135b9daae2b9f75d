//! Calls as callers make them.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gentian_core::TimeSpan;
use gentian_http::{HttpClient, read_full_body};
use serde_json::{Value, json};

const TIMEOUT: TimeSpan = TimeSpan::from_secs(25);
const ANSWER_LIMIT: usize = 16 << 20;

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    /// Status; zero if no answer came.
    pub(crate) status: u16,
    pub(crate) request: String,
    pub(crate) body: String,
    /// Whether the answer ended whole.
    pub(crate) is_whole: bool,
    /// Times of the events of a stream since the call.
    pub(crate) events: Vec<Duration>,
    pub(crate) took: Duration,
}

impl Answer {
    /// Returns what a refusal says of the request's run.
    pub(crate) fn run(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"]["run"].as_str().unwrap_or("").to_owned()
    }
}

/// Makes one call with a whole answer.
pub(crate) fn call(
    target: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let started = Instant::now();
    let agent = HttpClient::new(target, TIMEOUT);
    let Ok(response) = agent.call(method, path, headers, body.as_bytes()) else {
        return Answer { took: started.elapsed(), ..Answer::default() };
    };
    let status = response.status().as_u16();
    let request = response.headers().get("X-Request-Id").and_then(|id| id.to_str().ok());
    let request = request.unwrap_or("").to_owned();
    let (is_whole, body) = match read_full_body(response, ANSWER_LIMIT) {
        Ok(body) => (true, String::from_utf8_lossy(&body).into_owned()),
        Err(_) => (false, String::new()),
    };
    Answer { status, request, body, is_whole, took: started.elapsed(), events: Vec::new() }
}

/// Makes one streamed completion.
pub(crate) fn stream(target: SocketAddr, key: &str, model: &str, tokens: u32) -> Answer {
    let started = Instant::now();
    let agent = HttpClient::new(target, TIMEOUT);
    let bearer = format!("Bearer {key}");
    let body = json!({ "model": model, "prompt": "when?", "max_tokens": tokens, "stream": true });
    let headers = [("Authorization", bearer.as_str())];
    let path = "/desk/v1/completions";
    let Ok(response) = agent.call("POST", path, &headers, body.to_string().as_bytes()) else {
        return Answer { took: started.elapsed(), ..Answer::default() };
    };
    let mut answer = Answer { status: response.status().as_u16(), ..Answer::default() };
    let request = response.headers().get("X-Request-Id").and_then(|id| id.to_str().ok());
    answer.request = request.unwrap_or("").to_owned();
    let is_success = response.is_success();
    for line in BufReader::new(response.split().2).lines() {
        let Ok(line) = line else { break };
        if line.starts_with("data: {\"choices") {
            answer.events.push(started.elapsed());
        }
        answer.is_whole |= line == "data: [DONE]" || !is_success;
        answer.body += &line;
        answer.body.push('\n');
    }
    answer.took = started.elapsed();
    answer
}
