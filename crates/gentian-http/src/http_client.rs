//! HTTP calls to other servers, each on a new connection.

use std::fmt;
use std::net::SocketAddr;

use gentian_core::{MonoTime, TimeSpan};

use crate::forward::{
    BodyBuffer, BufferedStream, HeaderList, InvalidResponses, RequestHead, RequestUpload,
    ResponseError, ResponseHead, ResponseReader, is_field_value, is_token, log_invalid_response,
    read_response_head,
};
use crate::{CallResponse, ProcessClock};

/// Kind of the calls in logs and metrics, unless it is set.
const CALL_NAME: &str = "call";

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
    call_name: &'static str,
    invalid_responses: Option<InvalidResponses>,
    clock: ProcessClock,
}

impl HttpClient {
    /// Creates a client for the server at `address`; `timeout` limits the wait for the connection
    /// and for each read of a response.
    pub fn new(address: SocketAddr, timeout: TimeSpan) -> Self {
        let clock = ProcessClock::new();
        Self { address, timeout, call_name: CALL_NAME, invalid_responses: None, clock }
    }

    /// Counts invalid responses as those to calls of this kind.
    pub fn with_invalid_responses(
        self,
        call_name: &'static str,
        invalid_responses: InvalidResponses,
    ) -> Self {
        Self { call_name, invalid_responses: Some(invalid_responses), ..self }
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
        let mut stream = connected.map_err(|error| CallError::NotSent(error.to_string()))?;
        let response = self.exchange(&mut stream, &head, body);
        let (response_head, reader, is_request_sent) =
            response.map_err(|error| self.record_error(error))?;
        let client = self.clone();
        Ok(CallResponse::new(client, stream, response_head, reader)
            .with_request_sent(is_request_sent))
    }

    /// Sends a request and reads the head of its response; returns also whether the whole request was sent
    /// before it came.
    fn exchange<'a>(
        &self,
        stream: &mut BufferedStream,
        head: &RequestHead,
        body: impl Iterator<Item = &'a [u8]> + Clone,
    ) -> Result<(ResponseHead, ResponseReader, bool), ResponseError> {
        // One write takes the head and what most bodies need.
        let mut start = head.to_bytes();
        start.extend_from_slice(body.clone().next().unwrap_or_default());
        let further = body.skip(1);
        let mut upload = RequestUpload::new(start, further.clone().map(<[u8]>::len).sum());
        let mut reader = ResponseReader::new(head.method.clone());
        let response_head = read_response_head(&mut reader, stream, |stream| {
            upload.write(stream, further.clone(), self.deadline())?;
            self.wait(stream)
        })?;
        Ok((response_head, reader, upload.is_complete()))
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
        if let ResponseError::Invalid(fault) = error {
            match &self.invalid_responses {
                Some(invalid_responses) => {
                    invalid_responses.record(self.call_name, self.address, fault);
                }
                None => log_invalid_response(self.call_name, self.address, fault),
            }
        }
        CallError::Unknown(error.to_string())
    }
}
