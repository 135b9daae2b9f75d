//! Response heads.

use std::ops::RangeInclusive;

use gentian_core::TimeSpan;

use super::request_head::MAX_HEADER_FIELDS;
use super::{HeaderList, ResponseFault};

/// Largest accepted response head.
pub(super) const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Status codes that a response may have (RFC 9110, section 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// Status line and header fields of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: HeaderList,
    /// Whether the server uses HTTP/1.1.
    pub is_http11: bool,
}

impl ResponseHead {
    /// Creates a head without header fields.
    pub const fn new(status: u16) -> Self {
        Self { status, headers: HeaderList::new(), is_http11: true }
    }

    /// Appends a header field.
    pub fn with_header(mut self, name: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        self.headers.push(name, value);
        self
    }

    /// Parses the head at the start of `bytes`. Returns it with its length in bytes, or `None` if
    /// it is still incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an HTTP/1 head or the head is too large.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, ResponseFault> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let parsed = response.parse(bytes);
        // The parser also takes empty lines before the status line, and lines that end without a
        // carriage return.
        let length = match parsed {
            Ok(httparse::Status::Complete(length)) => Some(length),
            Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => None,
            Ok(httparse::Status::Partial) => return Err(ResponseFault::HeadTooLarge),
            Err(error) => return Err(parse_fault(error)),
        };
        check_line_ends(&bytes[..length.unwrap_or(bytes.len())])?;
        let Some(length) = length else { return Ok(None) };
        let status = response.code.filter(|code| STATUS_CODES.contains(code));
        let status = status.ok_or(ResponseFault::StatusLine)?;
        let headers = response.headers.iter().copied().collect();
        Ok(Some((Self { status, headers, is_http11: response.version == Some(1) }, length)))
    }

    /// Returns whether the server keeps the connection open for another request.
    pub fn keeps_connection(&self) -> bool {
        self.is_http11 && !self.headers.has_token("connection", "close")
    }

    /// Returns how long the server keeps an idle connection open, if the head specifies it.
    pub fn keep_alive_timeout(&self) -> Option<TimeSpan> {
        let text = self.headers.text("keep-alive")?;
        let mut parts = text.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
        parts.next()?.trim().parse().ok().map(TimeSpan::from_secs)
    }

    /// Returns the head in HTTP/1.1 wire format.
    pub fn to_bytes(&self) -> Vec<u8> {
        let reason = reason_phrase(self.status);
        let mut bytes = format!("HTTP/1.1 {} {reason}\r\n", self.status).into_bytes();
        self.headers.write_to(&mut bytes);
        bytes.extend_from_slice(b"\r\n");
        bytes
    }
}

fn parse_fault(error: httparse::Error) -> ResponseFault {
    match error {
        httparse::Error::TooManyHeaders => ResponseFault::HeadTooLarge,
        httparse::Error::HeaderName | httparse::Error::HeaderValue => ResponseFault::FieldLine,
        httparse::Error::NewLine => ResponseFault::LineEnd,
        httparse::Error::Status | httparse::Error::Token | httparse::Error::Version => {
            ResponseFault::StatusLine
        }
    }
}

/// Checks that the first line of a head isn't empty, and that each line ends with a carriage return and
/// a line feed.
fn check_line_ends(head: &[u8]) -> Result<(), ResponseFault> {
    if head.first().is_some_and(|byte| matches!(byte, b'\r' | b'\n')) {
        return Err(ResponseFault::StatusLine);
    }
    let mut previous = 0;
    for byte in head {
        if *byte == b'\n' && previous != b'\r' {
            return Err(ResponseFault::LineEnd);
        }
        previous = *byte;
    }
    Ok(())
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
