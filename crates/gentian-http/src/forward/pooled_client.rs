//! HTTP calls over pooled connections.

use std::fmt;
use std::net::SocketAddr;

use gentian_core::{MonoTime, TimeSpan};

use super::{
    BufferedStream, ConnectionPool, RequestHead, RequestUpload, ResponseError, ResponseHead,
    ResponseLog, ResponseReader, check_end, complete_request, read_response_body,
    read_response_head,
};
use crate::ProcessClock;

/// Interval between checks whether a response is still wanted.
const WANTED_CHECK_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Largest accepted response body, unless it is set.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Why a call has no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PooledCallError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The server may have received the request.
    Unknown(String),
}

impl fmt::Display for PooledCallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Unknown(cause) => write!(f, "no whole answer: {cause}"),
        }
    }
}

impl std::error::Error for PooledCallError {}

/// Time limits of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Longest wait for a connection.
    pub connect: TimeSpan,
    /// Longest wait for the head of the response, counted from the start of sending, and then for each
    /// further byte.
    pub response: TimeSpan,
    /// Longest time for the body, counted from the head.
    pub body: TimeSpan,
    /// Latest time at which sending may start.
    pub send_until: Option<MonoTime>,
}

/// Sends requests over pooled connections and reads whole responses.
#[derive(Clone, Debug)]
pub struct PooledClient {
    connections: ConnectionPool,
    closes_after_refusal: bool,
    max_response_bytes: usize,
    response_log: ResponseLog,
    clock: ProcessClock,
}

impl PooledClient {
    /// Creates a client that uses `connections`.
    pub const fn new(connections: ConnectionPool, clock: ProcessClock) -> Self {
        Self {
            connections,
            closes_after_refusal: false,
            max_response_bytes: MAX_RESPONSE_BYTES,
            response_log: ResponseLog::new("call"),
            clock,
        }
    }

    /// Sets where invalid responses are recorded.
    pub fn with_response_log(self, response_log: ResponseLog) -> Self {
        Self { response_log, ..self }
    }

    /// Sets the largest accepted response body.
    pub fn with_max_response_bytes(self, max_response_bytes: usize) -> Self {
        Self { max_response_bytes, ..self }
    }

    /// Closes a connection after a response without success. A faulty server may write such a response
    /// once more when the next request arrives, and responses do not name their request.
    pub fn with_close_after_refusal(self) -> Self {
        Self { closes_after_refusal: true, ..self }
    }

    /// Calls the server at `address` and reads its whole response.
    ///
    /// # Errors
    ///
    /// Returns [`PooledCallError::NotSent`] only if no byte of the request was sent.
    pub fn call(
        &self,
        address: SocketAddr,
        head: &RequestHead,
        body: &[u8],
        limits: CallLimits,
    ) -> Result<(ResponseHead, Vec<u8>), PooledCallError> {
        self.call_while(address, head, body, limits, || true)
    }

    /// Makes a call like [`Self::call`], and gives it up once `is_wanted` returns `false` before the
    /// response begins.
    ///
    /// # Errors
    ///
    /// Returns [`PooledCallError::NotSent`] only if no byte of the request was sent.
    pub fn call_while(
        &self,
        address: SocketAddr,
        head: &RequestHead,
        body: &[u8],
        limits: CallLimits,
        is_wanted: impl Fn() -> bool,
    ) -> Result<(ResponseHead, Vec<u8>), PooledCallError> {
        let not_sent = |cause: &dyn fmt::Display| PooledCallError::NotSent(cause.to_string());
        let unknown = |cause: &dyn fmt::Display| PooledCallError::Unknown(cause.to_string());
        let pooled = self.connections.acquire(address, limits.connect);
        let mut stream = pooled.map_err(|error| not_sent(&error))?;
        let now = self.clock.now();
        if limits.send_until.is_some_and(|limit| now > limit) {
            return Err(not_sent(&"the call is too old"));
        }
        let mut bytes = head.to_bytes();
        bytes.extend_from_slice(body);
        let response = self.exchange(&mut stream, &head.method, bytes, limits, is_wanted);
        let response =
            response.inspect_err(|error| self.response_log.record_error(address, *error));
        let (head, body, is_request_sent) = response.map_err(|error| unknown(&error))?;
        let is_refusal = !(200..300).contains(&head.status);
        let is_reusable = is_request_sent && head.keeps_connection();
        if is_reusable && !(is_refusal && self.closes_after_refusal) {
            self.connections.release(address, stream, head.keep_alive_timeout());
        }
        Ok((head, body))
    }

    /// Sends a request and reads the whole response; returns also whether the whole request was sent before
    /// it came. The body of a large response may take long on a slow link, so that only a pause of the server
    /// ends the wait early.
    fn exchange(
        &self,
        stream: &mut BufferedStream,
        method: &str,
        request: Vec<u8>,
        limits: CallLimits,
        is_wanted: impl Fn() -> bool,
    ) -> Result<(ResponseHead, Vec<u8>, bool), ResponseError> {
        let deadline = self.clock.now() + limits.response;
        let mut upload = RequestUpload::new(request, 0);
        let mut reader = ResponseReader::new(method);
        let wait = |stream: &mut BufferedStream| {
            upload.write(stream, std::iter::empty(), deadline)?;
            self.wait_for_head(stream, deadline, &is_wanted)
        };
        let head = read_response_head(&mut reader, stream, wait)?;
        let end = self.clock.now() + limits.body;
        let wait = |stream: &mut BufferedStream| {
            let pause_end = self.clock.now() + limits.response;
            stream.fill(end.min(pause_end))?;
            Ok::<_, ResponseError>(())
        };
        let has_room = |length| length <= self.max_response_bytes;
        let (body, response_end) = read_response_body(&mut reader, stream, has_room, wait)?;
        let rest = upload.rest(std::iter::empty());
        check_end(complete_request(response_end, stream, rest, end))?;
        Ok((head, body, upload.is_complete()))
    }

    fn wait_for_head(
        &self,
        stream: &mut BufferedStream,
        deadline: MonoTime,
        is_wanted: impl Fn() -> bool,
    ) -> Result<(), ResponseError> {
        loop {
            let next_check = self.clock.now() + WANTED_CHECK_INTERVAL;
            let filled = stream.fill(deadline.min(next_check)).map_err(ResponseError::from);
            match filled {
                Err(ResponseError::TimedOut) if next_check < deadline => {
                    if !is_wanted() {
                        return Err(ResponseError::Unwanted);
                    }
                }
                filled => return filled.map(|_| ()),
            }
        }
    }
}
