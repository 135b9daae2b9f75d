//! A port that reads requests and leaves the answer, whole or not, to its handler.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::JoinHandle;

use gentian_core::TimeSpan;
use gentian_http::ProcessClock;
use gentian_http::forward::{
    BodyFraming, BufferedStream, RequestHead, read_request_body, serve_connections,
};

const THREAD_LIMIT: usize = 2_000;
const HEAD_LIMIT: usize = 64 << 10;
const BODY_LIMIT: usize = 16 << 20;
/// Time for which an idle connection is kept.
const IDLE_LIMIT: TimeSpan = TimeSpan::from_secs(5);

/// A request with its body.
#[derive(Debug)]
pub(crate) struct WireRequest {
    /// The head.
    pub(crate) head: RequestHead,
    /// The body.
    pub(crate) body: Vec<u8>,
}

impl WireRequest {
    /// Returns a header, or an empty text.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.head.headers.text(name).unwrap_or("")
    }
}

/// Serves requests on threads; `handle` answers one and tells whether the connection is kept.
pub(crate) fn serve_wire(
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    clock: ProcessClock,
    handle: impl Fn(&WireRequest, &mut BufferedStream) -> bool + Send + Sync + 'static,
) -> eyre::Result<JoinHandle<()>> {
    serve_connections("wire", address, THREAD_LIMIT, stop, clock, move |mut stream| {
        while let Some(request) = read_request(&mut stream, clock) {
            if !handle(&request, &mut stream) {
                return;
            }
        }
    })
}

fn read_request(stream: &mut BufferedStream, clock: ProcessClock) -> Option<WireRequest> {
    let deadline = clock.now() + IDLE_LIMIT;
    let head = loop {
        match RequestHead::parse(stream.buffered(), HEAD_LIMIT).ok()? {
            Some((head, length)) => {
                stream.consume(length);
                break head;
            }
            None if stream.fill(deadline).ok()? == 0 => return None,
            None => {}
        }
    };
    let framing = BodyFraming::of_request(&head.headers).ok()?;
    let body = read_request_body(stream, framing, BODY_LIMIT, deadline).ok()?;
    Some(WireRequest { head, body })
}
