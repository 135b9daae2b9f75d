//! A front end: one thread accepts, a bounded pool answers.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use eyre::{WrapErr, eyre};
use socket2::{Domain, Protocol, Socket, Type};
use tiny_http::{Request, Server};

use crate::{EventStream, HttpResponse, WorkerPool};

/// Longest wait for a request before the stop mark is looked at.
const ACCEPT_WAIT: Duration = Duration::from_millis(200);
/// Waits without a request after the stop mark before the port closes.
const QUIET_WAITS: u32 = 3;

/// Connections that wait to be accepted; more have to try again a second later.
const BACKLOG: i32 = 1_024;

/// A request as it arrived.
pub struct HttpRequest {
    inner: Request,
}

impl HttpRequest {
    /// Returns the method.
    pub fn method(&self) -> &str {
        self.inner.method().as_str()
    }

    /// Returns the path with the query.
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

    /// Returns the bytes of all headers.
    pub fn header_bytes(&self) -> usize {
        let headers = self.inner.headers().iter();
        headers.map(|h| h.field.as_str().as_str().len() + h.value.as_str().len()).sum()
    }

    /// Reads the body, if it has at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns `FileTooLarge` if the body is larger, or the error of the connection.
    pub fn read_body(&mut self, limit: usize) -> io::Result<Vec<u8>> {
        if self.inner.body_length().is_some_and(|length| length > limit) {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        let mut body = Vec::new();
        let most = u64::try_from(limit).unwrap_or(u64::MAX).saturating_add(1);
        self.inner.as_reader().take(most).read_to_end(&mut body)?;
        if body.len() > limit {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        Ok(body)
    }

    /// Sends a whole answer.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub fn respond(self, reply: HttpResponse) -> io::Result<()> {
        self.inner.respond(reply.into_response())
    }

    /// Starts a streamed answer.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub fn stream(self, content_type: &str, headers: &[(&str, &str)]) -> io::Result<EventStream> {
        EventStream::start(self.inner.into_writer(), content_type, headers)
    }

    /// Takes the raw output, for answers that are broken on purpose.
    pub fn into_writer(self) -> Box<dyn Write + Send> {
        self.inner.into_writer()
    }
}

/// An HTTP port.
pub struct HttpServer {
    server: Server,
    pool: WorkerPool,
    stop: Arc<AtomicBool>,
}

impl HttpServer {
    /// Opens the port; at most `limit` requests are answered at a time.
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

    /// Answers requests with `handle` until the stop mark is set and no request has come for a
    /// while, then waits for open answers.
    pub fn serve(self, handle: impl Fn(HttpRequest) + Send + Sync + 'static) {
        let handle = Arc::new(handle);
        let Self { server, mut pool, stop } = self;
        let mut quiet_waits = 0;
        while quiet_waits < QUIET_WAITS {
            match server.recv_timeout(ACCEPT_WAIT) {
                Ok(Some(inner)) => {
                    quiet_waits = 0;
                    start_answer(&mut pool, Arc::clone(&handle), HttpRequest { inner });
                }
                Ok(None) | Err(_) => {
                    quiet_waits = if stop.load(Ordering::Acquire) { quiet_waits + 1 } else { 0 };
                }
            }
        }
        pool.join();
    }
}

pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn start_answer(
    pool: &mut WorkerPool,
    handle: Arc<impl Fn(HttpRequest) + Send + Sync + 'static>,
    request: HttpRequest,
) {
    // The pool drops a job that it does not take, so the request is kept where both can reach it.
    let shared = Arc::new(Mutex::new(Some(request)));
    let kept = Arc::clone(&shared);
    let job = move || {
        if let Some(request) = take_request(&kept) {
            handle(request);
        }
    };
    if !pool.run(job)
        && let Some(request) = take_request(&shared)
    {
        refuse_busy(request);
    }
}

fn take_request(shared: &Mutex<Option<HttpRequest>>) -> Option<HttpRequest> {
    shared.lock().ok()?.take()
}

fn refuse_busy(request: HttpRequest) {
    let body = r#"{"error":{"message":"too many open requests; repeat later","type":"overloaded","code":"overloaded","run":"no"}}"#;
    let reply = HttpResponse::new(503).with_header("Retry-After", "1").with_json(body);
    if let Err(error) = request.respond(reply) {
        log::debug!("refusal not delivered: {error}");
    }
}
