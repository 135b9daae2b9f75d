//! HTTP server: one thread accepts requests, a bounded thread pool handles them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use eyre::{WrapErr, eyre};
use socket2::{Domain, Protocol, Socket, Type};
use tiny_http::{Request, Server};

use crate::forward::RECEIVE_BUFFER_BYTES;
use crate::{EventStream, HttpResponse, WorkerPool};

/// Interval at which the accepting thread checks the stop flag.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Consecutive polls without a request, once the stop flag is set, before the server stops handling
/// new requests. The port closes when the open requests have ended.
const QUIET_POLLS_BEFORE_STOP: u32 = 3;

/// Length of the listen queue; a client whose connection does not fit retries after a second.
const BACKLOG: i32 = 1_024;

/// An incoming HTTP request.
pub struct HttpRequest {
    inner: Request,
}

impl HttpRequest {
    /// Returns the request method.
    pub fn method(&self) -> &str {
        self.inner.method().as_str()
    }

    /// Returns the path including the query.
    pub fn url(&self) -> &str {
        self.inner.url()
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.url().split('?').next().unwrap_or("")
    }

    /// Returns the value of a query parameter.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.url().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns the first header with this name.
    pub fn header(&self, name: &'static str) -> Option<&str> {
        let mut headers = self.inner.headers().iter();
        headers.find(|header| header.field.equiv(name)).map(|header| header.value.as_str())
    }

    /// Returns the total size of all header names and values in bytes.
    pub fn header_bytes(&self) -> usize {
        let headers = self.inner.headers().iter();
        headers.map(|h| h.field.as_str().as_str().len() + h.value.as_str().len()).sum()
    }

    /// Reads the body, which may have at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns `FileTooLarge` if the body is larger, or the I/O error of the connection.
    pub fn read_body(&mut self, limit: usize) -> io::Result<Vec<u8>> {
        if self.inner.body_length().is_some_and(|length| length > limit) {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        let mut body = Vec::new();
        let max_bytes = u64::try_from(limit).unwrap_or(u64::MAX).saturating_add(1);
        self.inner.as_reader().take(max_bytes).read_to_end(&mut body)?;
        if body.len() > limit {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        Ok(body)
    }

    /// Sends a complete response.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection.
    pub fn respond(self, response: HttpResponse) -> io::Result<()> {
        self.inner.respond(response.into_response())
    }

    /// Starts a streamed response.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection.
    pub fn stream(self, content_type: &str, headers: &[(&str, &str)]) -> io::Result<EventStream> {
        EventStream::start(self.inner.into_writer(), content_type, headers)
    }

    /// Returns the raw output, for responses that are malformed on purpose.
    pub fn into_writer(self) -> Box<dyn Write + Send> {
        self.inner.into_writer()
    }
}

/// An HTTP server on one port.
pub struct HttpServer {
    server: Server,
    pool: WorkerPool,
    stop: Arc<AtomicBool>,
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
        let server = Server::from_listener(listener, None)
            .map_err(|error| eyre!("cannot serve on {address}: {error}"))?;
        Ok(Self { server, pool: WorkerPool::new(limit), stop })
    }

    /// Handles requests with `handle` until the stop flag is set and no request has arrived for
    /// a while, then waits for the requests in progress.
    pub fn serve(self, handle: impl Fn(HttpRequest) + Send + Sync + 'static) {
        let handle = Arc::new(handle);
        let Self { server, mut pool, stop } = self;
        let mut quiet_polls = 0;
        while quiet_polls < QUIET_POLLS_BEFORE_STOP {
            match server.recv_timeout(ACCEPT_POLL_INTERVAL) {
                Ok(Some(inner)) => {
                    quiet_polls = 0;
                    dispatch_request(&mut pool, Arc::clone(&handle), HttpRequest { inner });
                }
                Ok(None) | Err(_) => {
                    quiet_polls = if stop.load(Ordering::Acquire) { quiet_polls + 1 } else { 0 };
                }
            }
        }
        pool.join();
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

fn dispatch_request(
    pool: &mut WorkerPool,
    handle: Arc<impl Fn(HttpRequest) + Send + Sync + 'static>,
    request: HttpRequest,
) {
    // The pool drops a job that it rejects, so the request is shared: it is still available here
    // for the refusal.
    let shared = Arc::new(Mutex::new(Some(request)));
    let job_request = Arc::clone(&shared);
    let job = move || {
        if let Some(request) = take_request(&job_request) {
            handle(request);
        }
    };
    if !pool.run(job)
        && let Some(request) = take_request(&shared)
    {
        refuse_overloaded(request);
    }
}

fn take_request(shared: &Mutex<Option<HttpRequest>>) -> Option<HttpRequest> {
    shared.lock().ok()?.take()
}

fn refuse_overloaded(request: HttpRequest) {
    let body = r#"{"error":{"message":"too many open requests; repeat later","type":"overloaded","code":"overloaded","run":"no"}}"#;
    let response = HttpResponse::new(503).with_header("Retry-After", "1").with_json(body);
    if let Err(error) = request.respond(response) {
        log::debug!("refusal could not be sent: {error}");
    }
}
