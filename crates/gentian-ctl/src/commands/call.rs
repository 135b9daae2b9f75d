//! Command that makes one call as a caller would.

use std::io::{Read, Write};
use std::net::SocketAddr;

use argh::FromArgs;
use gentian_core::TimeSpan;
use gentian_http::HttpClient;

use super::ExitStatus;

/// Make one call and print its response as it arrives; the key is read from GENTIAN_KEY.
/// Example: GENTIAN_KEY=demo gentian-ctl call 127.0.0.1:17001 /desk/v1/completions '{"model":"m"}'
#[derive(FromArgs)]
#[argh(subcommand, name = "call")]
pub(crate) struct CallCommand {
    /// address of an entry
    #[argh(positional)]
    target: SocketAddr,
    /// path of the call
    #[argh(positional)]
    path: String,
    /// body; the call is a GET without it
    #[argh(positional)]
    body: Option<String>,
    /// idempotency key of a call that must not run twice
    #[argh(option)]
    idempotency_key: Option<String>,
    /// longest wait for each part of the response (default 30s)
    #[argh(option, default = "TimeSpan::from_secs(30)")]
    timeout: TimeSpan,
}

/// Makes the call; the command fails if the response has an error status.
pub(crate) fn make_call(command: CallCommand) -> eyre::Result<ExitStatus> {
    let key = std::env::var("GENTIAN_KEY").ok().map(|key| format!("Bearer {key}"));
    let mut headers = vec![("Content-Type", "application/json")];
    headers.extend(key.as_deref().map(|key| ("Authorization", key)));
    headers.extend(command.idempotency_key.as_deref().map(|key| ("Idempotency-Key", key)));
    let body = command.body.unwrap_or_default();
    let method = if body.is_empty() { "GET" } else { "POST" };
    let client = HttpClient::new(command.target, command.timeout);
    let mut response = client.call(method, &command.path, &headers, body.as_bytes())?;
    let is_success = response.is_success();
    println!("status {}", response.status());
    if let Some(id) = response.header("X-Request-Id") {
        println!("request {id}");
    }
    let mut output = std::io::stdout();
    let mut buffer = [0; 4096];
    loop {
        let length = response.read(&mut buffer)?;
        if length == 0 {
            break;
        }
        output.write_all(&buffer[..length])?;
        output.flush()?;
    }
    println!();
    Ok(if is_success { ExitStatus::Done } else { ExitStatus::Failed })
}
