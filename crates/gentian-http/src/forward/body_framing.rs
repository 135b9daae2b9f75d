//! Framing of message bodies.

use std::fmt;

use super::HeaderList;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this length in bytes.
    Length(u64),
    /// The body has the chunked transfer encoding.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// Why the framing of a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FramingError {
    /// The content length is not a number, or two different ones are given.
    BadLength,
    /// The transfer encoding is not `chunked`.
    UnknownEncoding,
    /// Both a content length and a transfer encoding are given, as in request smuggling.
    Ambiguous,
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::BadLength => "the content length is malformed or given twice",
            Self::UnknownEncoding => "only the transfer encoding 'chunked' is supported",
            Self::Ambiguous => "both a content length and a transfer encoding are given",
        })
    }
}

impl std::error::Error for FramingError {}

impl BodyFraming {
    /// Returns the framing of a request body.
    ///
    /// # Errors
    ///
    /// Returns an error if two peers could disagree on where the body ends.
    pub fn of_request(headers: &HeaderList) -> Result<Self, FramingError> {
        Ok(Self::of_headers(headers)?.unwrap_or(Self::Length(0)))
    }

    /// Returns the framing of the body of a response with this status code to a request with this
    /// method.
    ///
    /// # Errors
    ///
    /// Returns an error if two peers could disagree on where the body ends.
    pub fn of_response(
        method: &str,
        status: u16,
        headers: &HeaderList,
    ) -> Result<Self, FramingError> {
        if !may_have_body(method, status) {
            return Ok(Self::Length(0));
        }
        Ok(Self::of_headers(headers)?.unwrap_or(Self::UntilClose))
    }

    fn of_headers(headers: &HeaderList) -> Result<Option<Self>, FramingError> {
        let length = parse_length(headers)?;
        let encodings: Vec<&[u8]> = headers.values("transfer-encoding").collect();
        match (encodings.as_slice(), length) {
            ([], length) => Ok(length.map(Self::Length)),
            (_, Some(_)) => Err(FramingError::Ambiguous),
            ([value], None) if value.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
                Ok(Some(Self::Chunked))
            }
            _ => Err(FramingError::UnknownEncoding),
        }
    }
}

/// Returns whether a response with this status code to a request with this method may have a body.
pub(super) fn may_have_body(method: &str, status: u16) -> bool {
    method != "HEAD" && !matches!(status, 100..=199 | 204 | 304)
}

fn parse_length(headers: &HeaderList) -> Result<Option<u64>, FramingError> {
    let mut length = None;
    for value in headers.values("content-length") {
        let value = value.trim_ascii();
        let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).ok().filter(|_| is_number);
        let number = text.and_then(|text| text.parse().ok()).ok_or(FramingError::BadLength)?;
        if length.is_some_and(|previous| previous != number) {
            return Err(FramingError::BadLength);
        }
        length = Some(number);
    }
    Ok(length)
}
