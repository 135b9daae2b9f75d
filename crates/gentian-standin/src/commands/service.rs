//! Subcommand that runs a plain service.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use argh::FromArgs;
use gentian_core::{BootId, TimeSpan};
use gentian_http::{HttpRequest, HttpResponse};
use gentian_wire::generated::engine::EngineStatus;
use gentian_wire::{IDEMPOTENCY_KEY, REQUEST_ID};
use serde_json::json;

use crate::shared::{FaultName, StandinServer, respond_json};

const MAX_BODY_BYTES: usize = 8 << 20;

/// A plain service, such as one that takes bookings.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
pub(crate) struct ServiceCommand {
    /// address of the HTTP port
    #[argh(option)]
    address: SocketAddr,
    /// time until a call is answered (default 5ms)
    #[argh(option, default = "TimeSpan::from_millis(5)")]
    answer_time: TimeSpan,
}

/// Runs a plain service: it executes each call once and returns the number of the execution.
pub(crate) fn run_service(command: ServiceCommand) -> eyre::Result<()> {
    let boot = BootId::new(rand::random());
    let (runs, running) = (AtomicU64::new(0), AtomicU64::new(0));
    StandinServer::serve(command.address, move |server, request| {
        if request.path() == "/status" {
            let status = EngineStatus {
                boot_id: boot.to_string(),
                memory_total: 0,
                memory_used: 0,
                running: running.load(Ordering::Acquire),
                waiting: 0,
                objects: Vec::new(),
            };
            return respond_json(request, 200, &status);
        }
        let count = running.fetch_add(1, Ordering::AcqRel) + 1;
        let number = runs.fetch_add(1, Ordering::AcqRel) + 1;
        handle_call(server, request, number, count, command.answer_time.into());
        running.fetch_sub(1, Ordering::AcqRel);
    })
}

fn handle_call(
    server: &StandinServer,
    mut request: HttpRequest,
    number: u64,
    count: u64,
    answer_time: Duration,
) {
    let id = request.header(REQUEST_ID).unwrap_or("").to_owned();
    let key = request.header(IDEMPOTENCY_KEY).unwrap_or("").to_owned();
    let has_authorization = request.header("Authorization").is_some();
    let detail = format!("{} {} key={key}", request.method(), request.url());
    let body = request.read_body(MAX_BODY_BYTES).unwrap_or_default();
    server.journal.record("run", &id, &detail, count);
    if has_authorization {
        server.journal.record("saw-key", &id, &detail, 0);
    }
    std::thread::sleep(answer_time);
    let content = json!({ "number": number, "bytes": body.len() });
    let text = content.to_string();
    if server.faults.consume(FaultName::LostResponse) {
        drop(request.into_writer());
        return;
    }
    if server.faults.consume(FaultName::TruncatedResponse) {
        send_truncated_response(request, &id, &text);
        return;
    }
    let has_wrong_id = server.faults.consume(FaultName::WrongRequestId);
    let response_id = if has_wrong_id { "ffffffffffffffff" } else { id.as_str() };
    let response = HttpResponse::new(201).with_json(text).with_header(REQUEST_ID, response_id);
    if let Err(error) = request.respond(response) {
        log::debug!("response not delivered: {error}");
    }
}

fn send_truncated_response(request: HttpRequest, id: &str, text: &str) {
    let mut writer = request.into_writer();
    let head = format!(
        "HTTP/1.1 201 Created\r\nContent-Length: {}\r\n{REQUEST_ID}: {id}\r\nConnection: close\r\n\r\n",
        text.len()
    );
    let half = &text[..text.len() / 2];
    let written =
        writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(half.as_bytes()));
    if let Err(error) = written.and_then(|()| writer.flush()) {
        log::debug!("response not delivered: {error}");
    }
}
