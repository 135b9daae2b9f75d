//! HTTP calls to other servers, each on a new connection.

use std::fmt;
use std::net::SocketAddr;

use gentian_core::{MonoTime, TimeSpan};

use crate::forward::{
    BodyBuffer, BufferedStream, HeaderList, RequestHead, RequestUpload, ResponseError, ResponseLog,
    ResponseReader, is_field_value, is_token, read_response_head,
};
use crate::{CallResponse, ProcessClock};

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
    timeout: TimeSpan,
    response_log: ResponseLog,
    clock: ProcessClock,
}

impl HttpClient {
    /// Creates a client for the server at `address`; `timeout` limits the wait for the connection
    /// and for each read of a response.
    pub fn new(address: SocketAddr, timeout: TimeSpan) -> Self {
        let clock = ProcessClock::new();
        Self { address, timeout, response_log: ResponseLog::new("call"), clock }
    }

    /// Sets where invalid responses are recorded.
    pub fn with_response_log(self, response_log: ResponseLog) -> Self {
        Self { response_log, ..self }
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
    ) -> Result<CallResponse, CallError> {
        let head = self.encode_head(method, path, headers, body.len())?;
        self.send(head, std::iter::once(body))
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
    ) -> Result<CallResponse, CallError> {
        let mut headers = headers.to_vec();
        let has_type = headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("content-type"));
        if !body.is_empty() && !has_type {
            headers.push(("Content-Type", "application/octet-stream"));
        }
        let head = self.encode_head(method, path, &headers, body.len())?;
        self.send(head, body.pieces())
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
        let status = response.status();
        Ok((status, response.read_full_body(limit)?))
    }

    /// Returns the head of a request whose connection serves no other one.
    fn encode_head(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body_bytes: usize,
    ) -> Result<RequestHead, CallError> {
        let invalid = |text: &str| CallError::NotSent(format!("{text:?} can't be sent"));
        let is_path = path.starts_with('/') && path.bytes().all(|byte| byte > b' ' && byte != 0x7f);
        if !is_path {
            return Err(invalid(path));
        }
        let mut list = HeaderList::new().with("Host", self.address.to_string());
        for (name, value) in headers {
            if !is_token(name.as_bytes()) || !is_field_value(value.as_bytes()) {
                return Err(invalid(name));
            }
            list.push(*name, *value);
        }
        let has_body = body_bytes > 0 || !matches!(method, "GET" | "HEAD");
        if has_body {
            list.push("Content-Length", body_bytes.to_string());
        }
        list.push("Connection", "close");
        match is_token(method.as_bytes()) {
            true => Ok(RequestHead {
                method: method.to_owned(),
                target: path.to_owned(),
                is_http11: true,
                headers: list,
            }),
            false => Err(invalid(method)),
        }
    }

    fn send<'a>(
        &self,
        head: RequestHead,
        body: impl Iterator<Item = &'a [u8]> + Clone,
    ) -> Result<CallResponse, CallError> {
        let connected = BufferedStream::connect(self.address, self.timeout, self.clock);
        let stream = connected.map_err(|error| CallError::NotSent(error.to_string()))?;
        self.exchange(stream, &head, body).map_err(|error| self.record_error(error))
    }

    /// Sends a request and reads the head of its response.
    fn exchange<'a>(
        &self,
        mut stream: BufferedStream,
        head: &RequestHead,
        body: impl Iterator<Item = &'a [u8]> + Clone,
    ) -> Result<CallResponse, ResponseError> {
        // One write takes the head and what most bodies need.
        let mut start = head.to_bytes();
        start.extend_from_slice(body.clone().next().unwrap_or_default());
        let further = body.skip(1);
        let mut upload = RequestUpload::new(start, further.clone().map(<[u8]>::len).sum());
        let mut reader = ResponseReader::new(head.method.clone());
        let response_head = read_response_head(&mut reader, &mut stream, |stream| {
            upload.write(stream, further.clone(), self.deadline())?;
            self.wait(stream)
        })?;
        let response = CallResponse::new(self.clone(), stream, response_head, reader);
        Ok(response.with_request_sent(upload.is_complete()))
    }

    /// Waits for further bytes of a response.
    pub(crate) fn wait(&self, stream: &mut BufferedStream) -> Result<(), ResponseError> {
        stream.fill(self.deadline())?;
        Ok(())
    }

    /// Returns when a wait that begins now ends at the latest.
    pub(crate) fn deadline(&self) -> MonoTime {
        self.clock.now() + self.timeout
    }

    /// Records an invalid response and returns the error of its call.
    pub(crate) fn record_error(&self, error: ResponseError) -> CallError {
        self.response_log.record_error(self.address, error);
        CallError::Unknown(error.to_string())
    }
}
