//! Command: a plain service.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use argh::FromArgs;
use gentian_core::{BootId, TimeSpan};
use gentian_http::{HttpRequest, HttpResponse};
use gentian_wire::generated::engine::EngineStatus;
use gentian_wire::{IDEMPOTENCY_KEY, REQUEST_ID};
use serde_json::json;

use crate::shared::{FaultName, StandinPort, reply_json};

const BODY_LIMIT: usize = 8 << 20;

/// A plain service, such as one that takes bookings.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
pub(crate) struct ServiceCommand {
    /// address of the HTTP port
    #[argh(option)]
    address: SocketAddr,
    /// time of one answer (default 5ms)
    #[argh(option, default = "TimeSpan::from_millis(5)")]
    answer_time: TimeSpan,
}

/// Runs a plain service: each call below its path runs once and is numbered.
pub(crate) fn run_service(command: ServiceCommand) -> eyre::Result<()> {
    let boot = BootId::new(rand::random());
    let (runs, running) = (AtomicU64::new(0), AtomicU64::new(0));
    StandinPort::serve(command.address, move |port, request| {
        if request.path() == "/status" {
            let status = EngineStatus {
                boot_id: boot.to_string(),
                memory_total: 0,
                memory_used: 0,
                running: running.load(Ordering::Acquire),
                waiting: 0,
                objects: Vec::new(),
            };
            return reply_json(request, 200, &status);
        }
        let count = running.fetch_add(1, Ordering::AcqRel) + 1;
        let number = runs.fetch_add(1, Ordering::AcqRel) + 1;
        answer_call(port, request, number, count, command.answer_time.into());
        running.fetch_sub(1, Ordering::AcqRel);
    })
}

fn answer_call(
    port: &StandinPort,
    mut request: HttpRequest,
    number: u64,
    count: u64,
    answer_time: Duration,
) {
    let id = request.header(REQUEST_ID).unwrap_or("").to_owned();
    let key = request.header(IDEMPOTENCY_KEY).unwrap_or("").to_owned();
    let has_secret = request.header("Authorization").is_some();
    let detail = format!("{} {} key={key}", request.method(), request.url());
    let body = request.read_body(BODY_LIMIT).unwrap_or_default();
    port.journal.note("run", &id, &detail, count);
    if has_secret {
        port.journal.note("saw-key", &id, &detail, 0);
    }
    std::thread::sleep(answer_time);
    let answer = json!({ "number": number, "bytes": body.len() });
    let text = answer.to_string();
    if port.faults.strikes(FaultName::LostAnswer) {
        drop(request.into_writer());
        return;
    }
    if port.faults.strikes(FaultName::CutAnswer) {
        cut_answer(request, &id, &text);
        return;
    }
    let is_crossed = port.faults.strikes(FaultName::CrossedAnswer);
    let shown = if is_crossed { "ffffffffffffffff" } else { id.as_str() };
    let reply = HttpResponse::new(201).with_json(text).with_header(REQUEST_ID, shown);
    if let Err(error) = request.respond(reply) {
        log::debug!("answer not delivered: {error}");
    }
}

fn cut_answer(request: HttpRequest, id: &str, text: &str) {
    let mut writer = request.into_writer();
    let head = format!(
        "HTTP/1.1 201 Created\r\nContent-Length: {}\r\n{REQUEST_ID}: {id}\r\nConnection: close\r\n\r\n",
        text.len()
    );
    let half = &text[..text.len() / 2];
    let written =
        writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(half.as_bytes()));
    if let Err(error) = written.and_then(|()| writer.flush()) {
        log::debug!("answer not delivered: {error}");
    }
}
