//! Callers, each on its own thread with a persistent connection.

use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use gentian_core::{MonoTime, TimeSpan};
use gentian_http::ProcessClock;
use gentian_http::forward::{
    BufferedStream, HeaderList, RequestHead, RequestUpload, ResponseError, ResponseFault,
    ResponseHead, ResponseReader, check_end, complete_request, read_response_head,
    read_response_piece,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::call_record::{CallKind, CallOutcome, CallRecord};
use crate::config_probe::ConfigLog;
use crate::fleet_layout::{
    CRASH_PART, CRASH_PATH, FleetLayout, HOST, KEYS, MODELS, ROUTE_TIMEOUT_MILLIS,
};
use crate::stream_text::StreamText;

const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
/// Time beyond the route's timeout after which a response is overdue.
const OVERDUE_MARGIN: TimeSpan = TimeSpan::from_millis(1_000);
/// Pause between two rounds of probes.
const PROBE_PAUSE: Duration = Duration::from_millis(250);
const CALL_PAUSE: Duration = Duration::from_millis(30);
/// Percentage of calls whose caller closes the connection early.
const LEAVE_EARLY_PERCENT: u32 = 4;
/// Parts of prompts that callers share. Each prompt begins with the first one and one of the others.
const SHARED_PARTS: [&str; 4] = ["a0", "b1", "b2", "b3"];
/// Last part of the prompt of the request on which engines crash.
const CRASH_REQUEST_PART: &str = "c0ffee";
/// Length of the bodies of most calls, and of long ones, which replicas may answer before they have read
/// them.
const UPLOAD_BYTES: Range<usize> = 1..20_000;
const LONG_UPLOAD_BYTES: Range<usize> = 600_000..950_000;
/// Length of the body of the requests on which replicas crash.
const CRASH_REQUEST_BYTES: usize = 700;
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Time for which a caller tries to get the rest of a stream that broke off, and the pause between two
/// calls.
const TAKE_UP_TIME: Duration = Duration::from_secs(3);
const TAKE_UP_PAUSE: Duration = Duration::from_millis(150);
const REQUEST_ID: &str = "X-Gentianwheel-Request-Id";
const LAST_EVENT_ID: &str = "Last-Event-Id";
const RESUMES: &str = "Resumes";

/// A stream that broke off after some events.
struct BrokenStream {
    call: CallRecord,
    head: RequestHead,
}

/// A connection that stays open between two calls.
struct KeptConnection {
    entry: usize,
    opened: Instant,
    stream: BufferedStream,
}

/// A caller that makes one random call after the other.
pub(crate) struct SoakCaller {
    layout: FleetLayout,
    entries: usize,
    random: StdRng,
    number: u64,
    crash_percent: u32,
    crash_request_percent: u32,
    long_upload_percent: u32,
    clock: ProcessClock,
    max_pause: Duration,
    kept_connection: Option<KeptConnection>,
    /// When the connection of the last call was opened.
    connected: Instant,
    /// Replica that the last response said is leaving.
    leaving_replica: Option<String>,
    /// What this caller has of the current stream.
    text: StreamText,
    broken_stream: Option<BrokenStream>,
    models: &'static [&'static str],
}

impl SoakCaller {
    /// Creates caller `number` of a run.
    pub(crate) fn new(layout: FleetLayout, entries: usize, seed: u64, number: u64) -> Self {
        let random = StdRng::seed_from_u64(seed.wrapping_mul(1_000) + number);
        Self {
            layout,
            entries,
            random,
            number,
            crash_percent: 0,
            crash_request_percent: 0,
            long_upload_percent: 0,
            clock: ProcessClock::new(),
            max_pause: CALL_PAUSE,
            kept_connection: None,
            connected: Instant::now(),
            leaving_replica: None,
            text: StreamText::default(),
            broken_stream: None,
            models: &MODELS,
        }
    }

    /// Sets the number of models that streams need.
    pub(crate) fn with_models(self, count: usize) -> Self {
        Self { models: &MODELS[..count], ..self }
    }

    /// Sets the percentage of streams whose prompt holds the part on which engines crash.
    pub(crate) fn with_crash_percent(self, crash_percent: u32) -> Self {
        Self { crash_percent, ..self }
    }

    /// Sets the percentage of calls that are repeats of one request of their kind, on which replicas
    /// crash.
    pub(crate) fn with_crash_request_percent(self, crash_request_percent: u32) -> Self {
        Self { crash_request_percent, ..self }
    }

    /// Sets the percentage of calls with a body that have a long one.
    pub(crate) fn with_long_upload_percent(self, long_upload_percent: u32) -> Self {
        Self { long_upload_percent, ..self }
    }

    /// Sets the longest pause between two calls, in which the connection stays open; the shortest is
    /// half of it.
    pub(crate) fn with_max_pause(self, max_pause: Duration) -> Self {
        Self { max_pause, ..self }
    }

    /// Makes calls until `stop` is set and returns their records.
    pub(crate) fn run(mut self, stop: &Arc<AtomicBool>) -> Vec<CallRecord> {
        let mut records = Vec::new();
        while !stop.load(Ordering::Acquire) {
            records.push(self.make_call(records.len() as u64));
            self.take_up_stream(&mut records);
            self.pause(stop);
        }
        records
    }

    /// Asks any entry for the rest of the stream that broke off, until it is there, or there is no hope.
    fn take_up_stream(&mut self, records: &mut Vec<CallRecord>) {
        let end = Instant::now() + TAKE_UP_TIME;
        while let Some(broken) = self.broken_stream.take() {
            let number = records.len() as u64;
            let (call, head) = (broken.call.clone(), broken.head.clone());
            let mut record = self.take_up(broken, number);
            let may_succeed =
                matches!(record.outcome, CallOutcome::ConnectionLost | CallOutcome::NotExecuted(_));
            if may_succeed && Instant::now() < end {
                self.broken_stream.get_or_insert(BrokenStream { call, head });
                std::thread::sleep(TAKE_UP_PAUSE);
            } else {
                self.broken_stream = None;
                record.is_last_take_up = true;
            }
            records.push(record);
        }
    }

    /// Asks any entry for the rest of a stream.
    fn take_up(&mut self, broken: BrokenStream, count: u64) -> CallRecord {
        let id = format!("{:04x}{count:012x}", self.number);
        let is_kept = |name: &str| ![REQUEST_ID, LAST_EVENT_ID, RESUMES].contains(&name);
        let mut headers = HeaderList::new();
        for (name, value) in broken.head.headers.iter().filter(|(name, _)| is_kept(name)) {
            headers.push(name, value);
        }
        headers.push(REQUEST_ID, id.as_str());
        headers.push(LAST_EVENT_ID, self.text.last_event.to_string());
        if let Some(call) = &self.text.first_call {
            headers.push(RESUMES, call.as_str());
        }
        let call = CallRecord {
            id,
            entry: self.choose_entry(),
            resumed_version: self.text.version.clone(),
            ..broken.call
        };
        self.complete(call, RequestHead { headers, ..broken.head })
    }

    fn pause(&mut self, stop: &AtomicBool) {
        let pause = match self.max_pause > CALL_PAUSE {
            true => self.random.random_range(self.max_pause / 2..self.max_pause),
            false => CALL_PAUSE,
        };
        let end = Instant::now() + pause;
        while Instant::now() < end && !stop.load(Ordering::Acquire) {
            std::thread::sleep(CALL_PAUSE);
        }
    }

    /// Requests the newest route that must be known from each entry in turn, until `stop` is set;
    /// returns the records.
    pub(crate) fn run_probes(mut self, log: &ConfigLog, stop: &AtomicBool) -> Vec<CallRecord> {
        let mut records = Vec::new();
        while !stop.load(Ordering::Acquire) {
            std::thread::sleep(PROBE_PAUSE);
            let Some(route) = log.newest_route(Instant::now()) else { continue };
            for entry in 0..self.entries {
                let count = records.len() as u64;
                records.push(self.probe_route(entry, &route, count));
            }
        }
        records
    }

    fn probe_route(&mut self, entry: usize, route: &str, count: u64) -> CallRecord {
        let (organisation, key) = KEYS[0];
        let id = format!("{:04x}{count:012x}", self.number);
        let target = format!("/{route}/{count}");
        let headers = call_headers(key, &id);
        let (method, recorded_target) = ("GET".to_owned(), target.clone());
        let head = RequestHead { method, target, is_http11: true, headers };
        let sent = Instant::now();
        self.kept_connection = None;
        let outcome = self.send(entry, &head, 0, CallKind::Look, &id);
        CallRecord {
            id,
            kind: CallKind::Look,
            organisation,
            target: recorded_target,
            body_bytes: 0,
            entry,
            connected: self.connected,
            sent,
            is_crashing: false,
            resumed_version: None,
            is_last_take_up: false,
            outcome,
            leaving: self.take_leaving(),
        }
    }

    fn make_call(&mut self, count: u64) -> CallRecord {
        let kind = match self.random.random_range(0..3) {
            0 => CallKind::Advice,
            1 => CallKind::Look,
            _ => CallKind::Book,
        };
        if self.crash_request_percent > 0
            && self.random.random_range(0..100) < self.crash_request_percent
        {
            return self.repeat_crash_request(kind, count);
        }
        let (organisation, key) = KEYS[self.random.random_range(0..KEYS.len())];
        let id = format!("{:04x}{:012x}", self.number, count);
        let (method, target) = match kind {
            CallKind::Advice => ("POST", format!("/advice/{count}?q=1")),
            CallKind::Look => ("GET", format!("/look/{count}")),
            CallKind::Book => ("POST", format!("/book/{count}")),
        };
        let body_bytes = if method == "GET" { 0 } else { self.draw_body_bytes() };
        let mut headers = call_headers(key, &id);
        let mut is_crashing = false;
        if kind == CallKind::Advice {
            is_crashing = self.random.random_range(0..100) < self.crash_percent;
            let model = self.models[self.random.random_range(0..self.models.len())];
            let adapter = ["", "/a1", "/a2", "/a3"][self.random.random_range(0..4)];
            let prompt_prefix = self.prompt_prefix(is_crashing, count);
            push_stream_headers(&mut headers, prompt_prefix, format!("{model}{adapter}"));
        }
        let call = CallRecord {
            id,
            kind,
            organisation,
            target,
            body_bytes,
            entry: self.choose_entry(),
            connected: self.connected,
            sent: Instant::now(),
            is_crashing,
            resumed_version: None,
            is_last_take_up: false,
            outcome: CallOutcome::Overdue,
            leaving: None,
        };
        self.begin(call, method, headers)
    }

    fn draw_body_bytes(&mut self) -> usize {
        let is_long = self.long_upload_percent > 0
            && self.random.random_range(0..100) < self.long_upload_percent;
        self.random.random_range(if is_long { LONG_UPLOAD_BYTES } else { UPLOAD_BYTES })
    }

    /// Makes a call on which replicas crash. All such calls of a kind are the same but for their ids.
    fn repeat_crash_request(&mut self, kind: CallKind, count: u64) -> CallRecord {
        let (organisation, key) = KEYS[0];
        let id = format!("{:04x}{:012x}", self.number, count);
        let mut headers = call_headers(key, &id);
        let (method, route, body_bytes) = match kind {
            CallKind::Advice => ("POST", "advice", CRASH_REQUEST_BYTES),
            CallKind::Look => ("GET", "look", 0),
            CallKind::Book => ("POST", "book", CRASH_REQUEST_BYTES),
        };
        if kind == CallKind::Advice {
            let [first, second, ..] = SHARED_PARTS;
            let prompt_prefix = format!("{first}:80,{second}:40,{CRASH_REQUEST_PART}:40");
            push_stream_headers(&mut headers, prompt_prefix, MODELS[0].to_owned());
        }
        let call = CallRecord {
            id,
            kind,
            organisation,
            target: format!("/{route}{CRASH_PATH}"),
            body_bytes,
            entry: self.choose_entry(),
            connected: self.connected,
            sent: Instant::now(),
            is_crashing: true,
            resumed_version: None,
            is_last_take_up: false,
            outcome: CallOutcome::Overdue,
            leaving: None,
        };
        self.begin(call, method, headers)
    }

    /// Returns the entry of the kept connection, or a random one.
    fn choose_entry(&mut self) -> usize {
        let entry = self.kept_connection.as_ref().map(|kept| kept.entry);
        entry.unwrap_or_else(|| self.random.random_range(0..self.entries))
    }

    /// Sends a new call and returns it with its outcome.
    fn begin(&mut self, call: CallRecord, method: &str, mut headers: HeaderList) -> CallRecord {
        if method == "POST" {
            headers.push("Content-Length", call.body_bytes.to_string());
        }
        let (method, target) = (method.to_owned(), call.target.clone());
        self.text = StreamText::default();
        self.complete(call, RequestHead { method, target, is_http11: true, headers })
    }

    /// Sends a call and returns it with its outcome.
    fn complete(&mut self, call: CallRecord, head: RequestHead) -> CallRecord {
        let sent = Instant::now();
        let outcome = self.send(call.entry, &head, call.body_bytes, call.kind, &call.id);
        let (connected, leaving) = (self.connected, self.take_leaving());
        let call = CallRecord { sent, outcome, connected, leaving, ..call };
        let is_broken = call.outcome == CallOutcome::ConnectionLost;
        if is_broken && self.text.last_event > 0 && !self.text.is_complete() {
            self.broken_stream = Some(BrokenStream { call: call.clone(), head });
        }
        call
    }

    fn take_leaving(&mut self) -> Option<(String, Instant)> {
        Some((self.leaving_replica.take()?, Instant::now()))
    }

    fn prompt_prefix(&mut self, has_crash_part: bool, count: u64) -> String {
        let second = SHARED_PARTS[self.random.random_range(1..SHARED_PARTS.len())];
        let crash_part = if has_crash_part { format!("{CRASH_PART}:40,") } else { String::new() };
        let own = self.number << 32 | count;
        format!("{}:80,{second}:40,{crash_part}{own:x}:40", SHARED_PARTS[0])
    }

    fn send(
        &mut self,
        entry: usize,
        head: &RequestHead,
        body_bytes: usize,
        kind: CallKind,
        id: &str,
    ) -> CallOutcome {
        self.leaving_replica = None;
        let kept_connection = self.kept_connection.take();
        self.connected = kept_connection.as_ref().map_or_else(Instant::now, |kept| kept.opened);
        let mut stream = match kept_connection {
            Some(kept) => kept.stream,
            None => {
                let address = self.layout.caller_address(entry);
                match BufferedStream::connect(address, CONNECT_TIMEOUT, self.clock) {
                    Ok(stream) => stream,
                    Err(_) => return CallOutcome::ConnectionLost,
                }
            }
        };
        let leaves_early = self.random.random_range(0..100) < LEAVE_EARLY_PERCENT;
        let timeout = if leaves_early {
            TimeSpan::from_millis(60)
        } else {
            TimeSpan::from_millis(ROUTE_TIMEOUT_MILLIS) + OVERDUE_MARGIN
        };
        let deadline = self.clock.now() + timeout;
        let mut bytes = head.to_bytes();
        bytes.resize(bytes.len() + body_bytes, b'x');
        let mut upload = RequestUpload::new(bytes, 0);
        let mut reader = ResponseReader::new(head.method.clone());
        let wait = |stream: &mut BufferedStream| -> Result<(), ResponseError> {
            upload.write(stream, std::iter::empty(), deadline)?;
            stream.fill(deadline)?;
            Ok(())
        };
        let response = match read_response_head(&mut reader, &mut stream, wait) {
            Ok(response) => response,
            Err(ResponseError::TimedOut) if !leaves_early => return CallOutcome::Overdue,
            Err(error) => return unread_outcome(error),
        };
        let mut body = Vec::new();
        if let Err(error) = read_body(&mut reader, &mut stream, &upload, deadline, &mut body) {
            let is_text = kind == CallKind::Advice && (200..300).contains(&response.status);
            let result = if is_text { self.text.add(id, &body) } else { Ok(()) };
            if let Err(fault) = result {
                return CallOutcome::Invalid(fault.to_string());
            }
            return unread_outcome(error);
        }
        if response.keeps_connection() && self.random.random_range(0..10) > 0 {
            self.kept_connection = Some(KeptConnection { entry, opened: self.connected, stream });
        }
        let header = |name| response.headers.text(name).map(ToOwned::to_owned);
        self.leaving_replica =
            header("Server-Leaving").and_then(|_| header("X-Gentianwheel-Server-Stamp"));
        check_response(&response, &body, kind, id, &mut self.text)
    }
}

/// Reads a body; what has arrived stays in `body` if it breaks off.
fn read_body(
    reader: &mut ResponseReader,
    stream: &mut BufferedStream,
    upload: &RequestUpload,
    deadline: MonoTime,
    body: &mut Vec<u8>,
) -> Result<(), ResponseError> {
    let end = loop {
        if let Some(end) = read_response_piece(reader, stream, body)? {
            break end;
        }
        if body.len() > MAX_RESPONSE_BYTES {
            return Err(ResponseFault::TooLarge.into());
        }
        stream.fill(deadline)?;
    };
    Ok(check_end(complete_request(end, stream, upload.rest(std::iter::empty()), deadline))?)
}

/// Returns the outcome of a call without a whole response. An entry may close the connection before the
/// end, but sends no bytes that are no response.
fn unread_outcome(error: ResponseError) -> CallOutcome {
    match error {
        ResponseError::TimedOut | ResponseError::Unwanted => CallOutcome::ConnectionLost,
        ResponseError::Invalid(ResponseFault::End(_)) => CallOutcome::ConnectionLost,
        ResponseError::Invalid(_) => CallOutcome::Invalid(error.to_string()),
    }
}

/// Returns the headers of every call. The tenant and pin headers are forged and must not reach a
/// replica; `check_execution` checks this.
fn call_headers(key: &str, id: &str) -> HeaderList {
    HeaderList::new()
        .with("Host", HOST)
        .with("Authorization", format!("Token {key}"))
        .with("X-Gentianwheel-Request-Id", id)
        .with("X-Gentianwheel-Deadline-Ms", ROUTE_TIMEOUT_MILLIS.to_string())
        .with("X_Gentianwheel_Tenant", "another")
        .with("X-Gentianwheel-Pin-Ms", "4000")
}

/// Adds the headers of a stream.
fn push_stream_headers(headers: &mut HeaderList, prompt_prefix: String, model: String) {
    headers.push("X-Gentianwheel-Prompt-Prefix", prompt_prefix);
    headers.push("X-Gentianwheel-Model", model);
    headers.push("X-Gentianwheel-Token-Count", "200,40");
}

fn check_response(
    response: &ResponseHead,
    body: &[u8],
    kind: CallKind,
    id: &str,
    text: &mut StreamText,
) -> CallOutcome {
    match response.status {
        200..=299 => {}
        408 | 421 | 429 | 503 => return CallOutcome::NotExecuted(response.status),
        status => return CallOutcome::Failed(status),
    }
    if response.headers.text("X-Gentianwheel-Server-Stamp").is_none() {
        return CallOutcome::Invalid("successful response without a server stamp".to_owned());
    }
    if response.headers.text("X-Gentianwheel-Request-Id") != Some(id) {
        return CallOutcome::Invalid("response of another call".to_owned());
    }
    let is_expected = match kind {
        CallKind::Advice => match text.add(id, body) {
            Ok(()) => text.is_complete(),
            Err(fault) => return CallOutcome::Invalid(fault.to_string()),
        },
        CallKind::Look | CallKind::Book => body == format!("{{\"done\":\"{id}\"}}").as_bytes(),
    };
    match is_expected {
        true => CallOutcome::Served,
        false => {
            CallOutcome::Invalid(format!("unexpected body {:?}", String::from_utf8_lossy(body)))
        }
    }
}
