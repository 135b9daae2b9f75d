//! Incoming requests of an HTTP server.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};

use gentian_core::{MonoTime, TimeSpan};

use crate::forward::{
    BodyAdmission, BodyBuffer, BodyError, BodyFraming, BufferBudget, BufferedStream, RequestHead,
    admit_body, read_body_into, read_request_body,
};
use crate::response_writer::{ResponseWriter, write_response};
use crate::{EventStream, HttpResponse, ProcessClock};

/// How long to read and discard bytes that still arrive after a response that ends the connection, so
/// that the caller can read it.
const LINGER_TIME: TimeSpan = TimeSpan::from_millis(500);

/// Where a request leaves its connection if it stays open.
pub(crate) type KeptStream = Arc<Mutex<Option<BufferedStream>>>;

/// An incoming HTTP request.
pub struct HttpRequest {
    head: RequestHead,
    framing: BodyFraming,
    is_body_read: bool,
    /// Time by which the body must have arrived.
    deadline: MonoTime,
    stream: BufferedStream,
    kept: KeptStream,
    clock: ProcessClock,
}

impl HttpRequest {
    pub(crate) fn new(
        head: RequestHead,
        framing: BodyFraming,
        stream: BufferedStream,
        kept: KeptStream,
        deadline: MonoTime,
        clock: ProcessClock,
    ) -> Self {
        let is_body_read = framing == BodyFraming::Length(0);
        Self { head, framing, is_body_read, deadline, stream, kept, clock }
    }

    /// Returns the request method.
    pub fn method(&self) -> &str {
        &self.head.method
    }

    /// Returns the path including the query.
    pub fn url(&self) -> &str {
        &self.head.target
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.head.path()
    }

    /// Returns the value of a query parameter.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.url().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns the first header with this name.
    pub fn header(&self, name: &'static str) -> Option<&str> {
        self.head.headers.text(name)
    }

    /// Returns the total size of all header names and values in bytes.
    pub fn header_bytes(&self) -> usize {
        self.head.headers.iter().map(|(name, value)| name.len() + value.len()).sum()
    }

    /// Reads the body, which may have at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns `FileTooLarge` if the body is larger, or the I/O error of the connection.
    pub fn read_body(&mut self, limit: usize) -> io::Result<Vec<u8>> {
        if !self.may_continue(limit)? {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        match read_request_body(&mut self.stream, self.framing, limit, self.deadline) {
            Ok(body) => {
                self.is_body_read = true;
                Ok(body)
            }
            Err(BodyError::TooLarge) => Err(io::ErrorKind::FileTooLarge.into()),
            Err(BodyError::Failed(error)) => Err(error),
            Err(error) => Err(io::Error::new(io::ErrorKind::InvalidData, error.to_string())),
        }
    }

    /// Reads the body, which may have at most `limit` bytes, into memory of `budget`. Waits until there
    /// is room for a body of declared length, as long as the request may take.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::TooLarge`] if the body is larger, [`BodyError::NoRoom`] if there is no room
    /// for it, or another error if it doesn't arrive whole in time.
    pub fn read_body_within(
        &mut self,
        limit: usize,
        budget: &BufferBudget,
    ) -> Result<BodyBuffer, BodyError> {
        if matches!(self.framing, BodyFraming::Length(length) if length > limit as u64) {
            return Err(BodyError::TooLarge);
        }
        let admission = admit_body(budget, &self.stream, self.framing, self.deadline, self.clock);
        let (mut body, waited) = match admission {
            BodyAdmission::Admitted(body, waited) => (body, waited),
            BodyAdmission::CallerGone => return Err(BodyError::Truncated),
            BodyAdmission::TooLarge => return Err(BodyError::TooLarge),
            BodyAdmission::Full => return Err(BodyError::NoRoom),
        };
        self.deadline = self.deadline + waited;
        self.may_continue(limit).map_err(BodyError::Failed)?;
        let stream = &mut self.stream;
        read_body_into(stream, self.framing, limit, self.deadline, &mut body)?;
        self.is_body_read = true;
        Ok(body)
    }

    /// Returns whether the announced body is within the limit, and tells a caller that waits for it to
    /// send the body.
    fn may_continue(&mut self, limit: usize) -> io::Result<bool> {
        if matches!(self.framing, BodyFraming::Length(length) if length > limit as u64) {
            return Ok(false);
        }
        if self.head.expects_continue() && !self.is_body_read {
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n", self.deadline)?;
        }
        Ok(true)
    }

    /// Returns whether the connection stays open after the response. A body that was not read would be
    /// taken for the next request.
    fn keeps_connection(&self) -> bool {
        self.is_body_read && self.head.keeps_connection()
    }

    /// Sends a complete response.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection.
    pub fn respond(mut self, response: HttpResponse) -> io::Result<()> {
        let keeps_connection = self.keeps_connection();
        let is_head = self.method() == "HEAD";
        let (head, body) = response.encode(is_head, keeps_connection);
        write_response(&mut self.stream, self.clock, &head)?;
        write_response(&mut self.stream, self.clock, &body)?;
        if keeps_connection {
            *self.kept.lock().unwrap_or_else(PoisonError::into_inner) = Some(self.stream);
        } else {
            self.stream.close_gracefully(LINGER_TIME);
        }
        Ok(())
    }

    /// Starts a streamed response.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection.
    pub fn stream(self, content_type: &str, headers: &[(&str, &str)]) -> io::Result<EventStream> {
        let keeps_connection = self.keeps_connection();
        let mut headers = headers.to_vec();
        if !keeps_connection {
            headers.push(("Connection", "close"));
        }
        let kept = keeps_connection.then(|| Arc::clone(&self.kept));
        let writer = ResponseWriter::new(self.stream, kept, self.clock);
        EventStream::start(Box::new(writer), content_type, &headers)
    }

    /// Returns the raw output, for responses that are malformed on purpose. The connection ends with
    /// it.
    pub fn into_writer(self) -> Box<dyn Write + Send> {
        Box::new(ResponseWriter::new(self.stream, None, self.clock))
    }
}
