//! Callers, each on a thread with a kept connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use gentian_core::TimeSpan;
use gentian_http::ProcessClock;
use gentian_http::forward::{
    BodyFraming, BufferedStream, HeaderList, RequestHead, ResponseHead, read_response_body,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::call_record::{CallKind, CallOutcome, CallRecord};
use crate::fleet_layout::{FleetLayout, HOST, KEYS, MODELS, ROUTE_MILLIS};

/// Events of a whole answer of a model.
const EVENTS: u64 = 8;
const CONNECT_LIMIT: TimeSpan = TimeSpan::from_millis(500);
/// Time beyond the route's timeout after which an answer is overdue.
const OVERDUE: TimeSpan = TimeSpan::from_millis(1_000);
const PAUSE: Duration = Duration::from_millis(30);
/// Part of the calls, in percent, whose caller leaves early.
const LEAVE_PERCENT: u32 = 4;
const ANSWER_LIMIT: usize = 1 << 20;

/// One caller.
pub(crate) struct SoakCaller {
    layout: FleetLayout,
    entries: usize,
    random: StdRng,
    number: u64,
    clock: ProcessClock,
    kept: Option<(usize, BufferedStream)>,
}

impl SoakCaller {
    /// Creates caller `number` of a run.
    pub(crate) fn new(layout: FleetLayout, entries: usize, seed: u64, number: u64) -> Self {
        let random = StdRng::seed_from_u64(seed.wrapping_mul(1_000) + number);
        Self { layout, entries, random, number, clock: ProcessClock::new(), kept: None }
    }

    /// Makes calls until `stop` is set.
    pub(crate) fn run(mut self, stop: &Arc<AtomicBool>) -> Vec<CallRecord> {
        let mut records = Vec::new();
        while !stop.load(Ordering::Acquire) {
            let count = records.len() as u64;
            records.push(self.make_call(count));
            std::thread::sleep(PAUSE);
        }
        records
    }

    fn make_call(&mut self, count: u64) -> CallRecord {
        let kind = match self.random.random_range(0..3) {
            0 => CallKind::Advice,
            1 => CallKind::Look,
            _ => CallKind::Book,
        };
        let (organisation, key) = KEYS[self.random.random_range(0..KEYS.len())];
        let id = format!("{:04x}{:012x}", self.number, count);
        let (method, target) = match kind {
            CallKind::Advice => ("POST", format!("/advice/{count}?q=1")),
            CallKind::Look => ("GET", format!("/look/{count}")),
            CallKind::Book => ("POST", format!("/book/{count}")),
        };
        let body_bytes = if method == "GET" { 0 } else { self.random.random_range(1..20_000) };
        let mut headers = HeaderList::new()
            .with("Host", HOST)
            .with("Authorization", format!("Token {key}"))
            .with("X-Gentianwheel-Request-Id", id.clone())
            .with("X-Gentianwheel-Deadline-Ms", ROUTE_MILLIS.to_string())
            .with("X_Gentianwheel_Tenant", "another")
            .with("X-Gentianwheel-Pin-Ms", "4000");
        if kind == CallKind::Advice {
            let model = MODELS[self.random.random_range(0..MODELS.len())];
            let adapter = ["", "/a1", "/a2", "/a3"][self.random.random_range(0..4)];
            headers.push("X-Gentianwheel-Model", format!("{model}{adapter}"));
            headers.push("X-Gentianwheel-Token-Count", "200,40");
        }
        if method == "POST" {
            headers.push("Content-Length", body_bytes.to_string());
        }
        let (method, shown) = (method.to_owned(), target.clone());
        let head = RequestHead { method, target, is_http11: true, headers };
        let entry = self.kept.as_ref().map(|(entry, _)| *entry);
        let entry = entry.unwrap_or_else(|| self.random.random_range(0..self.entries));
        let sent = Instant::now();
        let outcome = self.send(entry, &head, body_bytes, kind, &id);
        CallRecord { id, kind, organisation, target: shown, body_bytes, entry, sent, outcome }
    }

    fn send(
        &mut self,
        entry: usize,
        head: &RequestHead,
        body_bytes: usize,
        kind: CallKind,
        id: &str,
    ) -> CallOutcome {
        let kept = self.kept.take().map(|(_, stream)| stream);
        let stream = match kept {
            Some(stream) => stream,
            None => {
                match BufferedStream::connect(self.layout.front(entry), CONNECT_LIMIT, self.clock) {
                    Ok(stream) => stream,
                    Err(_) => return CallOutcome::Cut,
                }
            }
        };
        let mut stream = stream;
        let leaves = self.random.random_range(0..100) < LEAVE_PERCENT;
        let patience = if leaves {
            TimeSpan::from_millis(60)
        } else {
            TimeSpan::from_millis(ROUTE_MILLIS) + OVERDUE
        };
        let deadline = self.clock.now() + patience;
        let mut bytes = head.to_bytes();
        bytes.resize(bytes.len() + body_bytes, b'x');
        if stream.write_all(&bytes, deadline).is_err() {
            return CallOutcome::Cut;
        }
        let answer = loop {
            match ResponseHead::parse(stream.buffered()) {
                Ok(Some((answer, length))) => {
                    stream.consume(length);
                    break answer;
                }
                Ok(None) => match stream.fill(deadline) {
                    Ok(0) => return CallOutcome::Cut,
                    Ok(_) => {}
                    Err(error) if error.kind() == std::io::ErrorKind::TimedOut => {
                        return if leaves { CallOutcome::Cut } else { CallOutcome::Overdue };
                    }
                    Err(_) => return CallOutcome::Cut,
                },
                Err(error) => return CallOutcome::Wrong(error.to_string()),
            }
        };
        let Ok(framing) = BodyFraming::of_response(answer.status, &answer.headers) else {
            return CallOutcome::Wrong("ambiguous framing".to_owned());
        };
        let Ok(body) = read_response_body(&mut stream, framing, ANSWER_LIMIT, deadline) else {
            return CallOutcome::Cut;
        };
        if answer.keeps_connection() && self.random.random_range(0..10) > 0 {
            self.kept = Some((entry, stream));
        }
        judge_answer(&answer, &body, kind, id)
    }
}

fn judge_answer(answer: &ResponseHead, body: &[u8], kind: CallKind, id: &str) -> CallOutcome {
    match answer.status {
        200..=299 => {}
        408 | 421 | 429 | 503 => return CallOutcome::NotRun(answer.status),
        status => return CallOutcome::Failed(status),
    }
    if answer.headers.text("X-Gentianwheel-Server-Stamp").is_none() {
        return CallOutcome::Wrong("a success without a stamp".to_owned());
    }
    if answer.headers.text("X-Gentianwheel-Request-Id") != Some(id) {
        return CallOutcome::Wrong("the answer of another call".to_owned());
    }
    let expected = match kind {
        CallKind::Advice => {
            (1..=EVENTS).map(|event| format!("id: {event}\ndata: {id} {event}\n\n")).collect()
        }
        CallKind::Look | CallKind::Book => format!("{{\"done\":\"{id}\"}}"),
    };
    match body == expected.as_bytes() {
        true => CallOutcome::Served,
        false => CallOutcome::Wrong(format!("body {:?}", String::from_utf8_lossy(body))),
    }
}
