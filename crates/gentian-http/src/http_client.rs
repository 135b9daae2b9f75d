//! HTTP calls to other servers, each on a new connection.

use std::fmt;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::body::{Body, BodyKind};
use attohttpc::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use attohttpc::{ErrorKind, Method, ProxySettings, RequestBuilder, Response};
use gentian_core::TimeSpan;

use crate::forward::BodyBuffer;

/// Bytes of a body that are read before it is checked whether it may go on.
const READ_BYTES: u64 = 64 * 1024;

/// Why a call failed.
#[derive(Debug)]
pub enum CallError {
    /// No byte of the request was sent: there was no connection, or the request is invalid.
    NotSent(String),
    /// The server may have received the request.
    Unknown(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "no connection: {cause}"),
            Self::Unknown(cause) => write!(f, "no whole answer: {cause}"),
        }
    }
}

impl std::error::Error for CallError {}

/// Calls one server.
#[derive(Clone, Debug)]
pub struct HttpClient {
    address: SocketAddr,
    timeout: Duration,
}

impl HttpClient {
    /// Creates a client for the server at `address`; `timeout` limits the wait for the connection
    /// and for each read of a response.
    pub fn new(address: SocketAddr, timeout: TimeSpan) -> Self {
        Self { address, timeout: timeout.into() }
    }

    /// Calls the server and returns the response with its body still to be read.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] only if no byte of the request was sent.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Response, CallError> {
        let builder = self.builder(method, path, headers)?;
        let sent = if body.is_empty() { builder.send() } else { builder.bytes(body).send() };
        sent.map_err(|error| classify_error(&error))
    }

    /// Makes a call like [`Self::call`], with a body that is sent from where it is held.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] only if no byte of the request was sent.
    pub fn call_with_buffer(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &BodyBuffer,
    ) -> Result<Response, CallError> {
        let mut builder = self.builder(method, path, headers)?;
        let sent = if body.is_empty() {
            builder.send()
        } else {
            let default_type = HeaderValue::from_static("application/octet-stream");
            builder.headers_mut().entry(CONTENT_TYPE).or_insert(default_type);
            builder.body(BufferedBody(body)).send()
        };
        sent.map_err(|error| classify_error(&error))
    }

    /// Calls the server and reads the whole body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`HttpClient::call`], and [`CallError::Unknown`] if the body is
    /// truncated or too large.
    pub fn call_and_read(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        limit: usize,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let headers = [("Content-Type", "application/json")];
        let response = self.call(method, path, &headers, body)?;
        let status = response.status().as_u16();
        Ok((status, read_full_body(response, limit)?))
    }

    fn builder(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Result<RequestBuilder, CallError> {
        let method = Method::from_bytes(method.as_bytes()).map_err(not_sent)?;
        let url = format!("http://{}{path}", self.address);
        let builder = RequestBuilder::try_new(method, url).map_err(not_sent)?;
        let mut builder = builder
            .connect_timeout(self.timeout)
            .read_timeout(self.timeout)
            .follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build());
        for (name, value) in headers {
            let name = HeaderName::from_bytes(name.as_bytes()).map_err(not_sent)?;
            let value = HeaderValue::from_str(value).map_err(not_sent)?;
            builder.headers_mut().insert(name, value);
        }
        Ok(builder)
    }
}

/// A body that is sent from the blocks in which it is held.
struct BufferedBody<'a>(&'a BodyBuffer);

impl Body for BufferedBody<'_> {
    fn kind(&mut self) -> io::Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.0.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> io::Result<()> {
        self.0.pieces().try_for_each(|piece| writer.write_all(piece))
    }
}

/// Reads a whole body of at most `limit` bytes and checks it against its content length.
///
/// # Errors
///
/// Returns [`CallError::Unknown`] if the body is truncated or too large, or if the response has
/// neither a content length nor chunks, because then truncation cannot be detected.
pub fn read_full_body(response: Response, limit: usize) -> Result<Vec<u8>, CallError> {
    read_body_while(response, limit, |_| true)
}

/// Reads a body like [`read_full_body`], as long as `has_room` returns `true` for the bytes so far.
///
/// # Errors
///
/// Returns the errors of [`read_full_body`], of which one that is too large is also one without room.
pub fn read_body_while(
    response: Response,
    limit: usize,
    mut has_room: impl FnMut(usize) -> bool,
) -> Result<Vec<u8>, CallError> {
    let header = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
    let length: Option<usize> = header("content-length").and_then(|text| text.parse().ok());
    let is_chunked = header("transfer-encoding").is_some_and(|text| text.contains("chunked"));
    if length.is_none() && !is_chunked {
        return Err(CallError::Unknown("the answer has neither a length nor chunks".into()));
    }
    let (mut body, mut reader) = (Vec::new(), response.split().2);
    loop {
        let read = reader.by_ref().take(READ_BYTES).read_to_end(&mut body);
        let count = read.map_err(|error: io::Error| CallError::Unknown(error.to_string()))?;
        if body.len() > limit || !has_room(body.len()) {
            return Err(CallError::Unknown(format!("the answer is too large: {}", body.len())));
        }
        if count == 0 {
            break;
        }
    }
    if length.is_some_and(|length| length != body.len()) {
        return Err(CallError::Unknown("the answer was cut".into()));
    }
    Ok(body)
}

fn not_sent(error: impl fmt::Display) -> CallError {
    CallError::NotSent(error.to_string())
}

fn classify_error(error: &attohttpc::Error) -> CallError {
    let is_unconnected = matches!(
        error.kind(),
        ErrorKind::Io(io) if matches!(
            io.kind(),
            io::ErrorKind::ConnectionRefused
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable
                | io::ErrorKind::AddrNotAvailable
        )
    );
    let cause = error.to_string();
    if is_unconnected { CallError::NotSent(cause) } else { CallError::Unknown(cause) }
}
