//! Subcommand that runs a replica of the users' platform.

use std::fs::File;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use gentian_core::{EventCode, FastSet, TimeSpan};
use gentian_http::forward::{BufferedStream, RequestHead, ResponseHead};
use gentian_http::{HttpClient, ProcessClock, join_threads};
use gentian_process::StopSignal;
use serde_json::{Value, json};

use crate::fleet::{
    FaultyResponse, OrderOutcome, ReplicaRequest, ReplicaSettings, ReplicaState, encode_chunk,
    event_text, serve_requests,
};
use crate::shared::{FaultName, FaultSwitch};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a replica serves after the store has accepted that it is leaving.
const DRAIN_TIME: Duration = Duration::from_millis(4_500);
/// Time to live of the registration after its last heartbeat.
const LEASE_MILLIS: u64 = 1_000;
const STORE_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
const WRITE_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Length of a body that its sender can't have sent whole before some of it is read.
const LONG_BODY_BYTES: usize = 500_000;
/// Exit code of a replica that was ordered to load more than fits, or that began to respond to a
/// request on which it crashes.
const CRASH_EXIT_CODE: i32 = 9;

struct Replica {
    settings: ReplicaSettings,
    id: String,
    incarnation: u64,
    state: Mutex<ReplicaState>,
    journal: Mutex<File>,
    faults: FaultSwitch,
    clock: ProcessClock,
    is_draining: AtomicBool,
    /// Requests that were refused because of a fault; each is refused only once.
    refused: Mutex<FastSet<String>>,
}

/// Runs a replica until the process receives a stop signal.
pub(crate) fn run_fleet_replica(settings: ReplicaSettings) -> eyre::Result<()> {
    let signal = StopSignal::new(|| {})?;
    let clock = ProcessClock::new();
    let journal = File::options().create(true).append(true).open(&settings.journal)?;
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    let address = settings.address;
    let replica = Arc::new(Replica {
        id: settings.id.clone().unwrap_or_else(|| format!("i-{:08x}", rand::random::<u32>())),
        incarnation: u64::try_from(incarnation)?,
        state: Mutex::new(ReplicaState::new(&settings)),
        journal: Mutex::new(journal),
        faults: FaultSwitch::default(),
        settings,
        clock,
        is_draining: AtomicBool::new(false),
        refused: Mutex::default(),
    });
    let shared = Arc::clone(&replica);
    let server_must_end = Arc::new(AtomicBool::new(false));
    let end = Arc::clone(&server_must_end);
    let early = Arc::clone(&replica);
    let thread = serve_requests(
        address,
        end,
        clock,
        move |head, length, stream| early.handle_early(head, length, stream),
        move |request, stream| shared.handle_request(request, stream),
    )?;
    log::info!("{} address={address} id={}", EventCode::PROCESS_STARTED, replica.id);
    while !signal.flag().load(Ordering::Acquire) {
        replica.register();
        std::thread::sleep(HEARTBEAT_INTERVAL);
    }
    replica.drain();
    server_must_end.store(true, Ordering::Release);
    signal.join();
    join_threads([thread]);
    Ok(())
}

impl Replica {
    fn handle_request(&self, request: &ReplicaRequest, stream: &mut BufferedStream) -> bool {
        match request.head.path() {
            "/control/fault" => self.set_fault(request, stream),
            "/-/report" if self.faults.consume(FaultName::EndlessReport) => {
                FaultyResponse::send_report(self.clock, stream)
            }
            "/-/report" => {
                let report = self.state().report(self.incarnation, Instant::now());
                self.send(stream, 200, &[], report.to_string().as_bytes())
            }
            "/-/order" => self.handle_order(request, stream),
            _ => self.run_request(request, stream),
        }
    }

    fn set_fault(&self, request: &ReplicaRequest, stream: &mut BufferedStream) -> bool {
        let query = request.head.target.split_once('?').map_or("", |(_, query)| query);
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let name = value("name").and_then(|text| text.parse::<FaultName>().ok());
        let count = value("count").and_then(|text| text.parse().ok());
        let status = match (name, count) {
            (Some(name), Some(count)) => {
                self.faults.set_times(name, count);
                204
            }
            _ => 400,
        };
        self.send(stream, status, &[], b"")
    }

    fn handle_order(&self, request: &ReplicaRequest, stream: &mut BufferedStream) -> bool {
        if self.is_misdirected(request) {
            return self.send(stream, 421, &[], b"");
        }
        let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let outcome = self.state().handle_order(&order, &self.settings, Instant::now());
        match outcome {
            OrderOutcome::Response(status) => {
                self.record("order", &format!("{status}"), &order.to_string());
                if self.faults.consume(FaultName::LostResponse) {
                    return false;
                }
                self.send(stream, status, &[], b"")
            }
            OrderOutcome::Crash(cause) => {
                self.record("over-limit", &cause, &order.to_string());
                std::process::exit(CRASH_EXIT_CODE);
            }
        }
    }

    fn run_request(&self, request: &ReplicaRequest, stream: &mut BufferedStream) -> bool {
        let id = request.header("X-Gentianwheel-Request-Id");
        let named = ("X-Gentianwheel-Request-Id", id);
        if self.is_misdirected(request) {
            let instance = ("X-Gentianwheel-Instance-Id", self.id.as_str());
            return self.send(stream, 421, &[instance, named], b"");
        }
        let target = request.header("X-Gentianwheel-Model");
        if self.settings.memory > 0 && !self.state().can_run(target, Instant::now()) {
            return self.send(stream, 421, &[("X-Gentianwheel-Not-Executed", "1"), named], b"");
        }
        self.record_arrival(id);
        let is_refused = self.refused().contains(id);
        if !is_refused
            && let Some(is_kept) = self.send_faulty(&FaultyResponse::REFUSALS, request, stream)
        {
            return is_kept;
        }
        let after = request.header("Last-Event-Id");
        self.record_run(&request.head, request.body.len());
        if self.faults.consume(FaultName::LostResponse) {
            std::thread::sleep(self.settings.event_time.into());
            return false;
        }
        if let Some(is_kept) = self.send_faulty(&FaultyResponse::RESPONSES, request, stream) {
            return is_kept;
        }
        let crash = self.find_crash(request);
        match self.settings.memory {
            0 => self.run_plain(request, crash, stream),
            _ => self.run_stream(request, after.parse().unwrap_or(0), crash, stream),
        }
    }

    /// Sends a response with one of these faults, if one is set; returns whether the connection stays
    /// open.
    fn send_faulty(
        &self,
        faults: &[FaultName],
        request: &ReplicaRequest,
        stream: &mut BufferedStream,
    ) -> Option<bool> {
        let fault = self.faults.consume_any(faults)?;
        let id = request.header("X-Gentianwheel-Request-Id");
        if FaultyResponse::REFUSALS.contains(&fault) {
            self.refused().insert(id.to_owned());
        }
        if fault == FaultName::TurnedAway {
            self.record("turned-away", id, &format!("at={}", unix_millis()));
        }
        Some(self.faulty_response(&request.head).send(fault, stream))
    }

    fn faulty_response<'a>(&'a self, head: &'a RequestHead) -> FaultyResponse<'a> {
        FaultyResponse {
            request: header(head, "X-Gentianwheel-Request-Id"),
            replica: &self.id,
            version: &self.settings.version,
            events: (self.settings.memory > 0).then_some(self.settings.events),
            after: header(head, "Last-Event-Id").parse().unwrap_or(0),
            clock: self.clock,
        }
    }

    /// Answers a long request before its body was read, if a fault says so.
    fn handle_early(&self, head: &RequestHead, length: usize, stream: &mut BufferedStream) -> bool {
        let is_call = !head.path().starts_with("/-/") && !head.path().starts_with("/control/");
        let is_long = length >= LONG_BODY_BYTES;
        if !is_call || !is_long || !self.faults.consume(FaultName::EarlyTruncation) {
            return false;
        }
        self.record_arrival(header(head, "X-Gentianwheel-Request-Id"));
        self.record_run(head, length);
        self.faulty_response(head).send_early_truncation(stream);
        true
    }

    fn record_arrival(&self, id: &str) {
        self.record("arrival", id, &format!("at={}", unix_millis()));
    }

    /// Records that a request with a body of this length is run.
    fn record_run(&self, head: &RequestHead, body_bytes: usize) {
        let fields = [
            ("method", head.method.as_str()),
            ("target", head.target.as_str()),
            ("tenant", header(head, "X-Gentianwheel-Tenant")),
            ("left", header(head, "X-Gentianwheel-Deadline-Ms")),
            ("after", header(head, "Last-Event-Id")),
            ("key", header(head, "Authorization")),
            ("pin", header(head, "X-Gentianwheel-Pin-Ms")),
            ("body", &body_bytes.to_string()),
        ];
        let fields: Vec<String> =
            fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
        self.record("run", header(head, "X-Gentianwheel-Request-Id"), &fields.join(" "));
    }

    /// Records that a request has begun to run, with its organisation.
    fn record_begin(&self, request: &ReplicaRequest) {
        let tenant = request.header("X-Gentianwheel-Tenant");
        self.record("began", tenant, &format!("at={}", unix_millis()));
    }

    fn run_plain(
        &self,
        request: &ReplicaRequest,
        crash: Option<String>,
        stream: &mut BufferedStream,
    ) -> bool {
        let id = request.header("X-Gentianwheel-Request-Id");
        std::thread::sleep(self.settings.event_time.into());
        self.crash_if(crash, id);
        self.record_begin(request);
        let body = json!({ "done": id }).to_string();
        if self.faults.consume(FaultName::TruncatedResponse) {
            let head = self.head(200, &[("X-Gentianwheel-Request-Id", id)], body.len());
            let mut bytes = head.to_bytes();
            bytes.extend_from_slice(&body.as_bytes()[..body.len() / 2]);
            self.write(stream, &bytes);
            return false;
        }
        self.send(stream, 200, &[("X-Gentianwheel-Request-Id", id)], body.as_bytes())
    }

    /// Returns what in a request makes the replica crash: the part of its prompt, other than as the
    /// last one, or its path.
    fn find_crash(&self, request: &ReplicaRequest) -> Option<String> {
        let prompt_prefix = request.header("X-Gentianwheel-Prompt-Prefix");
        let shared = prompt_prefix.rsplit_once(',').map_or("", |(shared, _)| shared);
        let mut digests = shared.split(',').filter_map(|part| part.split_once(':'));
        let part = self.settings.crash_part.as_deref();
        if let Some((digest, _)) = digests.find(|(digest, _)| Some(*digest) == part) {
            return Some(digest.to_owned());
        }
        let path = request.head.path();
        let is_crashing = self.settings.crash_path.as_ref().is_some_and(|end| path.ends_with(end));
        is_crashing.then(|| path.to_owned())
    }

    /// Ends the process if there is a cause for a crash.
    fn crash_if(&self, cause: Option<String>, id: &str) {
        if let Some(cause) = cause {
            self.record("crash", id, &format!("at={} cause={cause}", unix_millis()));
            std::process::exit(CRASH_EXIT_CODE);
        }
    }

    fn run_stream(
        &self,
        request: &ReplicaRequest,
        after: u64,
        crash: Option<String>,
        stream: &mut BufferedStream,
    ) -> bool {
        let id = request.header("X-Gentianwheel-Request-Id");
        let head = self
            .with_notices(ResponseHead::new(200))
            .with_header("Content-Type", "text/event-stream")
            .with_header("X-Gentianwheel-Request-Id", id)
            .with_header("X-Gentianwheel-Server-Stamp", self.id.clone());
        let is_chunked = !self.settings.unframed;
        let head = match is_chunked {
            true => head.with_header("Transfer-Encoding", "chunked"),
            false => head.with_header("Connection", "close"),
        };
        if !self.write(stream, &head.to_bytes()) {
            return false;
        }
        self.crash_if(crash, id);
        for event in after + 1..=self.settings.events {
            std::thread::sleep(self.settings.event_time.into());
            if event == after + 1 {
                self.record_begin(request);
            }
            let text = event_text(id, event, &self.settings.version);
            if self.faults.consume(FaultName::TruncatedResponse) {
                self.write(stream, encode_chunk(&text[..text.len() / 2]).as_bytes());
                return false;
            }
            let text = if is_chunked { encode_chunk(&text) } else { text };
            if !self.write(stream, text.as_bytes()) {
                return false;
            }
        }
        is_chunked && self.write(stream, b"0\r\n\r\n")
    }

    fn is_misdirected(&self, request: &ReplicaRequest) -> bool {
        let expected = request.header("X-Gentianwheel-Expect-Instance");
        !expected.is_empty() && expected != self.id
    }

    fn send(
        &self,
        stream: &mut BufferedStream,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> bool {
        let mut bytes = self.head(status, headers, body.len()).to_bytes();
        bytes.extend_from_slice(body);
        self.write(stream, &bytes)
    }

    fn head(&self, status: u16, headers: &[(&str, &str)], length: usize) -> ResponseHead {
        let mut head = self
            .with_notices(ResponseHead::new(status))
            .with_header("Content-Length", length.to_string())
            .with_header("X-Gentianwheel-Server-Stamp", self.id.clone())
            .with_header("Keep-Alive", "timeout=5");
        for (name, value) in headers {
            head = head.with_header(*name, *value);
        }
        head
    }

    /// Adds the limit of requests, if the replica has one, and whether it is leaving.
    fn with_notices(&self, head: ResponseHead) -> ResponseHead {
        let head = match self.settings.request_limit {
            Some(limit) => head.with_header("Server-Limit", limit.per_second().to_string()),
            None => head,
        };
        let is_draining = self.is_draining.load(Ordering::Acquire);
        match is_draining || self.faults.consume(FaultName::Leaving) {
            true => head.with_header("Server-Leaving", "1"),
            false => head,
        }
    }

    fn write(&self, stream: &mut BufferedStream, bytes: &[u8]) -> bool {
        stream.write_all(bytes, self.clock.now() + WRITE_TIMEOUT).is_ok()
    }

    /// Serves for a while after the store has accepted that the replica is leaving, or was asked in
    /// vain for as long.
    fn drain(&self) {
        self.is_draining.store(true, Ordering::Release);
        let mut end = Instant::now() + DRAIN_TIME;
        while !self.register() && Instant::now() < end {
            std::thread::sleep(HEARTBEAT_INTERVAL);
        }
        self.record("draining", "", &format!("at={}", unix_millis()));
        end = Instant::now() + DRAIN_TIME;
        while Instant::now() < end {
            std::thread::sleep(HEARTBEAT_INTERVAL);
            self.register();
        }
    }

    /// Writes the registration under a new lease; returns whether the store accepted it.
    fn register(&self) -> bool {
        let mut record = self.state().loaded_models(Instant::now());
        if self.settings.memory == 0 {
            record = json!({});
        }
        let zone = self.settings.zone.as_str();
        record["service"] = json!(self.settings.service);
        record["address"] = json!(self.settings.announce.unwrap_or(self.settings.address));
        record["zone"] = json!(zone);
        record["version"] = json!(self.settings.version);
        record["slots"] = json!(self.settings.slots);
        let is_draining = self.is_draining.load(Ordering::Acquire);
        record["state"] = json!(if is_draining { "draining" } else { "ready" });
        record["cold_remaining_ms"] = json!(0);
        record["born"] = json!(self.incarnation);
        record["sequence"] = json!(0);
        let result = self.write_registration(&record);
        if let Err(error) = &result {
            log::debug!("registration not renewed: {error:#}");
        }
        result.is_ok()
    }

    fn write_registration(&self, record: &Value) -> eyre::Result<()> {
        let client = HttpClient::new(self.settings.store, STORE_TIMEOUT);
        let lease = json!({ "ttl_ms": LEASE_MILLIS }).to_string();
        let (_, body) =
            client.call_and_read("POST", "/-/kv-lease", lease.as_bytes(), MAX_RESPONSE_BYTES)?;
        let lease: Value = serde_json::from_slice(&body)?;
        let write = json!({
            "key": format!("servers/{}", self.id),
            "value": STANDARD.encode(record.to_string()),
            "lease": lease["lease"],
        });
        let change = json!({ "expected": [], "writes": [write], "remove": [] }).to_string();
        let (status, _) =
            client.call_and_read("POST", "/-/kv-txn", change.as_bytes(), MAX_RESPONSE_BYTES)?;
        eyre::ensure!(status == 200, "the store responded with status {status}");
        Ok(())
    }

    fn record(&self, event: &str, id: &str, detail: &str) {
        let line = format!("{event}\t{id}\t{}\t{detail}\n", self.id);
        let mut journal = self.journal.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = journal.write_all(line.as_bytes()) {
            log::error!("cannot write the journal: {error}");
        }
    }

    fn refused(&self) -> std::sync::MutexGuard<'_, FastSet<String>> {
        self.refused.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> std::sync::MutexGuard<'_, ReplicaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a header, or an empty string if it is missing.
fn header<'a>(head: &'a RequestHead, name: &str) -> &'a str {
    head.headers.text(name).unwrap_or("")
}

fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis())
}
