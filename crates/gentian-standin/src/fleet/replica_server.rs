//! Server that reads requests and lets the handler write the response, complete or truncated.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::JoinHandle;

use gentian_core::TimeSpan;
use gentian_http::ProcessClock;
use gentian_http::forward::{
    BodyFraming, BufferedStream, RequestHead, read_request_body, serve_connections,
};

const MAX_THREADS: usize = 2_000;
const MAX_HEAD_BYTES: usize = 64 << 10;
const MAX_BODY_BYTES: usize = 16 << 20;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);

/// A request with its body.
#[derive(Debug)]
pub(crate) struct ReplicaRequest {
    /// The head.
    pub(crate) head: RequestHead,
    /// The body.
    pub(crate) body: Vec<u8>,
}

impl ReplicaRequest {
    /// Returns a header, or an empty string if it is missing.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.head.headers.text(name).unwrap_or("")
    }
}

/// Serves each connection on a thread. `handle` responds to one request and returns whether the
/// connection stays open. `handle_early` may respond to a request whose body wasn't read, with this length,
/// and end its connection; it returns whether it did.
pub(crate) fn serve_requests(
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    clock: ProcessClock,
    handle_early: impl Fn(&RequestHead, usize, &mut BufferedStream) -> bool + Send + Sync + 'static,
    handle: impl Fn(&ReplicaRequest, &mut BufferedStream) -> bool + Send + Sync + 'static,
) -> eyre::Result<JoinHandle<()>> {
    serve_connections("wire", address, MAX_THREADS, stop, clock, move |mut stream| {
        while let Some(request) = read_request(&mut stream, clock, &handle_early) {
            if !handle(&request, &mut stream) {
                return;
            }
        }
    })
}

fn read_request(
    stream: &mut BufferedStream,
    clock: ProcessClock,
    handle_early: impl Fn(&RequestHead, usize, &mut BufferedStream) -> bool,
) -> Option<ReplicaRequest> {
    let deadline = clock.now() + IDLE_TIMEOUT;
    let head = loop {
        match RequestHead::parse(stream.buffered(), MAX_HEAD_BYTES).ok()? {
            Some((head, length)) => {
                stream.consume(length);
                break head;
            }
            None if stream.fill(deadline).ok()? == 0 => return None,
            None => {}
        }
    };
    let framing = BodyFraming::of_request(&head.headers).ok()?;
    if let BodyFraming::Length(length) = framing
        && handle_early(&head, usize::try_from(length).ok()?, stream)
    {
        return None;
    }
    let body = read_request_body(stream, framing, MAX_BODY_BYTES, deadline).ok()?;
    Some(ReplicaRequest { head, body })
}
