//! Responses with faults, as some replicas give them.

use std::time::Duration;

use gentian_core::TimeSpan;
use gentian_http::ProcessClock;
use gentian_http::forward::{BufferedStream, ResponseHead};
use serde_json::json;

use super::{encode_chunk, event_text};
use crate::shared::FaultName;

const WRITE_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);
/// Size of a chunk of a body without end, and of a write of it.
const ENDLESS_CHUNK_BYTES: usize = 1_000;
const ENDLESS_BLOCK_BYTES: usize = 64 << 10;
/// Bytes that a stalled head and a stalled body have before they come one by one.
const STALLED_HEAD_BYTES: usize = 60_000;
const STALLED_BODY_BYTES: usize = 1_000_000;
const DRIP_PAUSE: Duration = Duration::from_millis(20);
/// Bytes that a truncated event or head lacks.
const TRUNCATED_BYTES: usize = 5;
/// Events of a stream that breaks off and cannot be resumed.
const EVENTS_BEFORE_BREAK: u64 = 2;
/// How long a refusal waits to be repeated with the next request on its connection.
const REPETITION_WAIT: TimeSpan = TimeSpan::from_secs(2);
/// Time from the end of a part of a response until its connection is reset.
const RESET_PAUSE: Duration = Duration::from_millis(50);
/// Seconds for which a replica that turns a request away wants no other one.
const RETRY_AFTER_SECONDS: u64 = 2;

/// A request that gets a response with a fault.
pub(crate) struct FaultyResponse<'a> {
    /// Id of the request.
    pub(crate) request: &'a str,
    /// Id of the replica.
    pub(crate) replica: &'a str,
    /// Version of the replica's software.
    pub(crate) version: &'a str,
    /// Events of a complete stream; `None` for a plain service.
    pub(crate) events: Option<u64>,
    /// Last event that the caller of a resumed stream has; zero for a new one.
    pub(crate) after: u64,
    /// Clock of the process.
    pub(crate) clock: ProcessClock,
}

impl FaultyResponse<'_> {
    /// Faults with which a request is refused and not executed.
    pub(crate) const REFUSALS: [FaultName; 3] =
        [FaultName::RepeatedRefusal, FaultName::RepeatedBareRefusal, FaultName::TurnedAway];
    /// Faults of the response to a request that was executed.
    pub(crate) const RESPONSES: [FaultName; 19] = [
        FaultName::EndlessHead,
        FaultName::EndlessBody,
        FaultName::EndlessTrailer,
        FaultName::EndlessStatusLine,
        FaultName::EndlessField,
        FaultName::EndlessChunkSize,
        FaultName::EndlessLength,
        FaultName::EndlessUnframed,
        FaultName::StalledHead,
        FaultName::StalledBody,
        FaultName::UnframedResponse,
        FaultName::UnframedTruncation,
        FaultName::TruncatedHead,
        FaultName::ZeroStatus,
        FaultName::BadFieldName,
        FaultName::BadTrailer,
        FaultName::ChunkedEventCut,
        FaultName::LengthEventCut,
        FaultName::FailedResume,
    ];

    /// Sends a report without end.
    pub(crate) fn send_report(clock: ProcessClock, stream: &mut BufferedStream) -> bool {
        let response =
            Self { request: "-", replica: "-", version: "-", events: None, after: 0, clock };
        response.send_endless(stream, &response.chunked_head(), &encode_chunk(&" ".repeat(1_000)))
    }

    /// Sends the response; returns whether the connection stays open.
    pub(crate) fn send(&self, fault: FaultName, stream: &mut BufferedStream) -> bool {
        match fault {
            FaultName::EndlessHead => {
                self.send_endless(stream, "", "HTTP/1.1 100 Continue\r\n\r\n")
            }
            FaultName::EndlessBody => {
                let chunk = encode_chunk(&"x".repeat(ENDLESS_CHUNK_BYTES));
                self.send_endless(stream, &self.chunked_head(), &chunk)
            }
            FaultName::EndlessTrailer => {
                let start = format!("{}0\r\n", self.chunked_head());
                self.send_endless(stream, &start, "Trailer: x\r\n")
            }
            FaultName::EndlessStatusLine => self.send_endless(stream, "HTTP/1.1 200 ", "x"),
            FaultName::EndlessField => self.send_endless(stream, "HTTP/1.1 200 OK\r\nField: ", "x"),
            FaultName::EndlessChunkSize => {
                self.send_endless(stream, &format!("{}1;", self.chunked_head()), "x")
            }
            FaultName::EndlessLength => {
                let head = self.head().with_header("Content-Length", u64::MAX.to_string());
                self.send_endless(stream, &String::from_utf8_lossy(&head.to_bytes()), "x")
            }
            FaultName::EndlessUnframed => {
                let head = self.head().to_bytes();
                self.send_endless(stream, &String::from_utf8_lossy(&head), "x")
            }
            FaultName::StalledHead => {
                let field = format!("Field: {}\r\n", "x".repeat(ENDLESS_CHUNK_BYTES));
                let count = STALLED_HEAD_BYTES / field.len();
                let start = format!("HTTP/1.1 200 OK\r\n{}Last: ", field.repeat(count));
                self.send_dripped(stream, &start, "x")
            }
            FaultName::StalledBody => {
                let body = encode_chunk(&"x".repeat(STALLED_BODY_BYTES));
                let start = format!("{}{body}", self.chunked_head());
                self.send_dripped(stream, &start, &encode_chunk("x"))
            }
            FaultName::UnframedResponse => self.send_unframed(stream, 0),
            // Without a length, a truncated plain body looks like a whole one.
            FaultName::UnframedTruncation if self.events.is_none() => self.send_unframed(stream, 0),
            FaultName::UnframedTruncation => self.send_unframed(stream, TRUNCATED_BYTES),
            FaultName::TruncatedHead => self.send_truncated_head(stream),
            FaultName::ZeroStatus => self.send_bad_head(stream, "HTTP/1.1 000 Nothing\r\n"),
            FaultName::BadFieldName => {
                let name = if self.is_even() { "Bad Name" } else { "Bad\x01Name" };
                self.send_bad_head(stream, &format!("HTTP/1.1 200 OK\r\n{name}: x\r\n"))
            }
            FaultName::BadTrailer => {
                let body = encode_chunk(&self.body());
                let text = format!("{}{body}0\r\nBad Name: x\r\n\r\n", self.chunked_head());
                self.write(stream, text.as_bytes())
            }
            FaultName::ChunkedEventCut => {
                let body = encode_chunk(&self.cut_body());
                self.write(stream, format!("{}{body}0\r\n\r\n", self.chunked_head()).as_bytes())
            }
            FaultName::LengthEventCut => {
                let body = self.cut_body();
                let head = self.head().with_header("Content-Length", body.len().to_string());
                let bytes = [head.to_bytes().as_slice(), body.as_bytes()].concat();
                self.write(stream, &bytes)
            }
            FaultName::FailedResume => self.send_failed_resume(stream),
            FaultName::RepeatedRefusal => self.send_repeated(stream, self.request),
            FaultName::RepeatedBareRefusal => self.send_repeated(stream, ""),
            FaultName::TurnedAway => {
                let refusal = self.refusal(self.request);
                let refusal = refusal.with_header("Retry-After", RETRY_AFTER_SECONDS.to_string());
                self.write(stream, &refusal.to_bytes())
            }
            _ => false,
        }
    }

    fn head(&self) -> ResponseHead {
        ResponseHead::new(200)
            .with_header("X-Gentianwheel-Request-Id", self.request)
            .with_header("X-Gentianwheel-Server-Stamp", self.replica)
    }

    fn chunked_head(&self) -> String {
        let head = self.head().with_header("Transfer-Encoding", "chunked");
        String::from_utf8_lossy(&head.to_bytes()).into_owned()
    }

    fn body(&self) -> String {
        match self.events {
            None => json!({ "done": self.request }).to_string(),
            Some(events) => (self.after + 1..=events)
                .map(|event| event_text(self.request, event, self.version))
                .collect(),
        }
    }

    /// Sends `start`, then `text` again and again until the peer closes the connection.
    fn send_endless(&self, stream: &mut BufferedStream, start: &str, text: &str) -> bool {
        let mut is_open = self.write(stream, start.as_bytes());
        let block = text.repeat(ENDLESS_BLOCK_BYTES.div_ceil(text.len()));
        while is_open {
            is_open = self.write(stream, block.as_bytes());
        }
        false
    }

    /// Sends `start`, then `text` at intervals until the peer closes the connection.
    fn send_dripped(&self, stream: &mut BufferedStream, start: &str, text: &str) -> bool {
        let mut is_open = self.write(stream, start.as_bytes());
        while is_open && !stream.is_peer_closed() {
            std::thread::sleep(DRIP_PAUSE);
            is_open = self.write(stream, text.as_bytes());
        }
        false
    }

    fn send_unframed(&self, stream: &mut BufferedStream, missing_bytes: usize) -> bool {
        let body = self.body();
        let mut bytes = self.head().to_bytes();
        bytes.extend_from_slice(&body.as_bytes()[..body.len() - missing_bytes]);
        self.write(stream, &bytes);
        false
    }

    /// Returns the body without the end of its last event; a plain body as it is, since nothing would
    /// show that it is truncated.
    fn cut_body(&self) -> String {
        let mut body = self.body();
        if self.events.is_some() {
            body.truncate(body.len().saturating_sub(TRUNCATED_BYTES));
        }
        body
    }

    /// Sends a whole response whose head begins with these lines.
    fn send_bad_head(&self, stream: &mut BufferedStream, start: &str) -> bool {
        let body = self.body();
        let head = self.head().with_header("Content-Length", body.len().to_string()).to_bytes();
        let head = String::from_utf8_lossy(&head).into_owned();
        let fields = head.split_once("\r\n").map_or("", |(_, fields)| fields);
        self.write(stream, format!("{start}{fields}{body}").as_bytes())
    }

    /// Sends a part of the body without a length, ends the sending side and resets the connection a while
    /// later. The request hasn't been read.
    pub(crate) fn send_early_truncation(&self, stream: &mut BufferedStream) {
        let body = self.body();
        let mut bytes = self.head().to_bytes();
        bytes.extend_from_slice(&body.as_bytes()[..body.len() / 2]);
        self.write(stream, &bytes);
        if let Err(error) = stream.end_sending() {
            log::debug!("the connection had ended: {error}");
        }
        std::thread::sleep(RESET_PAUSE);
        stream.set_abortive(true);
    }

    /// Returns whether the id of the request ends with an even digit.
    fn is_even(&self) -> bool {
        self.request.ends_with(['0', '2', '4', '6', '8', 'a', 'c', 'e'])
    }

    /// Closes the connection after a part of the head, with the length of the body as its last line.
    fn send_truncated_head(&self, stream: &mut BufferedStream) -> bool {
        let head = self.head().with_header("Content-Length", self.body().len().to_string());
        let bytes = head.to_bytes();
        // Every second one ends with a whole line.
        let missing_bytes = if self.is_even() { "\r\n".len() } else { TRUNCATED_BYTES };
        self.write(stream, &bytes[..bytes.len() - missing_bytes]);
        false
    }

    /// Breaks a new stream off, and answers a resumed one with an error.
    fn send_failed_resume(&self, stream: &mut BufferedStream) -> bool {
        if self.after > 0 || self.events.is_none() {
            let text = "event: error\ndata: the replica failed\n\n";
            let head = ResponseHead { status: 500, ..self.head() }
                .with_header("Content-Length", text.len().to_string());
            let mut bytes = head.to_bytes();
            bytes.extend_from_slice(text.as_bytes());
            return self.write(stream, &bytes);
        }
        let events =
            (1..=EVENTS_BEFORE_BREAK).map(|event| event_text(self.request, event, self.version));
        let chunks: String = events.map(|event| encode_chunk(&event)).collect();
        self.write(stream, format!("{}{chunks}", self.chunked_head()).as_bytes());
        false
    }

    /// Sends a refusal that names `request`, and once more when the next request arrives on the
    /// connection.
    fn send_repeated(&self, stream: &mut BufferedStream, request: &str) -> bool {
        let bytes = self.refusal(request).to_bytes();
        self.write(stream, &bytes)
            && stream.fill(self.clock.now() + REPETITION_WAIT).is_ok_and(|count| count > 0)
            && self.write(stream, &bytes)
    }

    fn refusal(&self, request: &str) -> ResponseHead {
        let refusal = ResponseHead::new(503)
            .with_header("X-Gentianwheel-Not-Executed", "1")
            .with_header("X-Gentianwheel-Server-Stamp", self.replica)
            .with_header("Content-Length", "0");
        match request {
            "" => refusal,
            _ => refusal.with_header("X-Gentianwheel-Request-Id", request),
        }
    }

    fn write(&self, stream: &mut BufferedStream, bytes: &[u8]) -> bool {
        stream.write_all(bytes, self.clock.now() + WRITE_TIMEOUT).is_ok()
    }
}
