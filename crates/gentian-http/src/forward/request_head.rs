//! Request heads.

use std::fmt;

use super::HeaderList;

/// Largest accepted number of header fields in a message.
pub(super) const MAX_HEADER_FIELDS: usize = 100;

/// Why a head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The bytes are not HTTP/1.
    Malformed,
    /// The head exceeds the limit of bytes or fields.
    TooLarge,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the head is not HTTP/1",
            Self::TooLarge => "the head is too large",
        })
    }
}

impl std::error::Error for HeadError {}

/// Request line and header fields of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Request method.
    pub method: String,
    /// Request target: path and query.
    pub target: String,
    /// Whether the client uses HTTP/1.1.
    pub is_http11: bool,
    /// Header fields.
    pub headers: HeaderList,
}

impl RequestHead {
    /// Parses the head at the start of `bytes`. Returns it with its length in bytes, or `None` if
    /// it is still incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an HTTP/1 head or the head exceeds `limit` bytes.
    pub fn parse(bytes: &[u8], limit: usize) -> Result<Option<(Self, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut request = httparse::Request::new(&mut fields);
        let length = match request.parse(bytes) {
            Ok(httparse::Status::Complete(length)) if length <= limit => length,
            Ok(httparse::Status::Complete(_)) => return Err(HeadError::TooLarge),
            Ok(httparse::Status::Partial) if bytes.len() < limit => return Ok(None),
            Ok(httparse::Status::Partial) => return Err(HeadError::TooLarge),
            Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
            Err(_) => return Err(HeadError::Malformed),
        };
        let (Some(method), Some(target)) = (request.method, request.path) else {
            return Err(HeadError::Malformed);
        };
        let head = Self {
            method: method.to_owned(),
            target: target.to_owned(),
            is_http11: request.version == Some(1),
            headers: request.headers.iter().copied().collect(),
        };
        Ok(Some((head, length)))
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Returns whether the client keeps the connection open for another request.
    pub fn keeps_connection(&self) -> bool {
        self.is_http11 && !self.headers.has_token("connection", "close")
    }

    /// Returns whether the client waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.is_http11 && self.headers.has_token("expect", "100-continue")
    }

    /// Returns the head in HTTP/1.1 wire format.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = format!("{} {} HTTP/1.1\r\n", self.method, self.target).into_bytes();
        self.headers.write_to(&mut bytes);
        bytes.extend_from_slice(b"\r\n");
        bytes
    }
}
