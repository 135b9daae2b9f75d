//! HTTP server: one thread accepts connections, each is served on a thread of a bounded pool.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError};

use eyre::WrapErr;
use gentian_core::{MonoTime, TimeSpan};
use socket2::{Domain, Protocol, Socket, Type};

use crate::forward::{
    BodyFraming, BufferedStream, HeadError, RECEIVE_BUFFER_BYTES, RequestHead, accept_connections,
};
use crate::http_request::KeptStream;
use crate::response_writer::write_response;
use crate::{HttpRequest, HttpResponse, ProcessClock};

/// Time without a new request, once the stop flag is set, before the port closes. Open requests end
/// first.
const QUIET_TIME_BEFORE_STOP: TimeSpan = TimeSpan::from_millis(600);
/// Interval between checks at an idle connection whether the server is closing.
const CLOSE_CHECK_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: TimeSpan = TimeSpan::from_secs(60);
/// Time from the first byte of a request to its end, unless it is set.
const REQUEST_TIMEOUT: TimeSpan = TimeSpan::from_secs(30);
/// Largest head of a request in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Connections for each request that may be open; most connections are idle.
const CONNECTIONS_PER_REQUEST: usize = 2;

/// Length of the listen queue; a client whose connection does not fit retries after a second.
const BACKLOG: i32 = 1_024;

/// An HTTP server on one port.
pub struct HttpServer {
    listener: TcpListener,
    limit: usize,
    request_timeout: TimeSpan,
    stop: Arc<AtomicBool>,
}

/// State that all connections share.
struct ServerState {
    limit: usize,
    request_timeout: TimeSpan,
    clock: ProcessClock,
    closing: AtomicBool,
    /// Number of requests that have arrived.
    arrivals: AtomicUsize,
    /// Number of requests that are handled.
    open: AtomicUsize,
}

impl HttpServer {
    /// Opens the port; at most `limit` requests are handled at a time.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be opened.
    pub fn new(address: SocketAddr, limit: usize, stop: Arc<AtomicBool>) -> eyre::Result<Self> {
        let listener = listen(address).wrap_err_with(|| {
            format!("cannot listen on {address}; choose a free port in the settings")
        })?;
        Ok(Self { listener, limit, request_timeout: REQUEST_TIMEOUT, stop })
    }

    /// Sets the time from the first byte of a request to its end.
    pub fn with_request_timeout(self, request_timeout: TimeSpan) -> Self {
        Self { request_timeout, ..self }
    }

    /// Handles requests with `handle` until the stop flag is set and no request has arrived for
    /// a while, then waits for the requests in progress.
    pub fn serve(self, handle: impl Fn(HttpRequest) + Send + Sync + 'static) {
        let state = Arc::new(ServerState {
            limit: self.limit,
            request_timeout: self.request_timeout,
            clock: ProcessClock::new(),
            closing: AtomicBool::new(false),
            arrivals: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
        });
        let (stop, closing, clock) = (self.stop, Arc::clone(&state), state.clock);
        let mut last_arrival = (0, clock.now());
        let must_stop = move || {
            let arrivals = closing.arrivals.load(Ordering::Acquire);
            if !stop.load(Ordering::Acquire) || arrivals != last_arrival.0 {
                last_arrival = (arrivals, clock.now());
            }
            let is_quiet = clock.now().since(last_arrival.1) >= QUIET_TIME_BEFORE_STOP;
            closing.closing.fetch_or(is_quiet, Ordering::AcqRel);
            is_quiet
        };
        let connections = self.limit.saturating_mul(CONNECTIONS_PER_REQUEST);
        accept_connections(self.listener, connections, clock, must_stop, move |stream| {
            serve_connection(&state, stream, &handle);
        });
    }
}

pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // Connections that are accepted inherit it.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Serves the requests on a connection until either side closes it.
fn serve_connection(
    state: &ServerState,
    mut stream: BufferedStream,
    handle: &impl Fn(HttpRequest),
) {
    let kept = KeptStream::default();
    while wait_for_request(state, &mut stream) {
        let deadline = state.clock.now() + state.request_timeout;
        let (head, framing) = match read_head(&mut stream, deadline) {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(status) => return refuse_unreadable(state, stream, status),
        };
        state.arrivals.fetch_add(1, Ordering::AcqRel);
        let slot = Arc::clone(&kept);
        let request = HttpRequest::new(head, framing, stream, slot, deadline, state.clock);
        let is_within_limit = state.open.fetch_add(1, Ordering::AcqRel) < state.limit;
        match is_within_limit {
            true => handle(request),
            false => refuse_overloaded(request),
        }
        state.open.fetch_sub(1, Ordering::AcqRel);
        match kept.lock().unwrap_or_else(PoisonError::into_inner).take() {
            Some(next) => stream = next,
            None => return,
        }
    }
}

/// Waits for the first byte of a request; returns `false` if the connection must be closed.
fn wait_for_request(state: &ServerState, stream: &mut BufferedStream) -> bool {
    let idle_until = state.clock.now() + IDLE_TIMEOUT;
    while stream.buffered().is_empty() {
        let now = state.clock.now();
        if now >= idle_until || state.closing.load(Ordering::Acquire) {
            return false;
        }
        match stream.fill(idle_until.min(now + CLOSE_CHECK_INTERVAL)) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {}
            Err(_) => return false,
        }
    }
    true
}

/// Reads the head of a request; `None` if the connection ended.
///
/// # Errors
///
/// Returns the status of the refusal if the head can't be read.
fn read_head(
    stream: &mut BufferedStream,
    deadline: MonoTime,
) -> Result<Option<(RequestHead, BodyFraming)>, u16> {
    loop {
        match RequestHead::parse(stream.buffered(), MAX_HEAD_BYTES) {
            Ok(Some((head, length))) => {
                stream.consume(length);
                let framing = BodyFraming::of_request(&head.headers).map_err(|_| 400_u16)?;
                return Ok(Some((head, framing)));
            }
            Ok(None) => match stream.fill(deadline) {
                Ok(0) => return Ok(None),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::TimedOut => return Err(408),
                Err(_) => return Ok(None),
            },
            Err(HeadError::TooLarge) => return Err(431),
            Err(HeadError::Malformed) => return Err(400),
        }
    }
}

fn refuse_unreadable(state: &ServerState, mut stream: BufferedStream, status: u16) {
    let (head, _) = HttpResponse::new(status).encode(false, false);
    if let Err(error) = write_response(&mut stream, state.clock, &head) {
        log::debug!("refusal could not be sent: {error}");
    }
    stream.close_gracefully(CLOSE_CHECK_INTERVAL);
}

fn refuse_overloaded(request: HttpRequest) {
    let body = r#"{"error":{"message":"too many open requests; repeat later","type":"overloaded","code":"overloaded","run":"no"}}"#;
    let response = HttpResponse::new(503).with_header("Retry-After", "1").with_json(body);
    if let Err(error) = request.respond(response) {
        log::debug!("refusal could not be sent: {error}");
    }
}
