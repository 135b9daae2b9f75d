//! Reading of the bodies of requests from a connection.

use std::fmt;
use std::io;

use gentian_core::MonoTime;

use super::{BodyBuffer, BodyDecoder, BodyFraming, BufferedStream};

/// Why a body could not be read completely.
#[derive(Debug)]
pub enum BodyError {
    /// The connection ended before the end of the body.
    Truncated,
    /// The bytes violate the framing.
    Malformed,
    /// The body exceeds the limit.
    TooLarge,
    /// There is no memory for the body.
    NoRoom,
    /// The connection failed, or the deadline passed.
    Failed(io::Error),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated => f.write_str("the connection ended before the body"),
            Self::Malformed => f.write_str("the body is malformed"),
            Self::TooLarge => f.write_str("the body is too large"),
            Self::NoRoom => f.write_str("there is no memory for the body"),
            Self::Failed(error) => write!(f, "the body could not be read: {error}"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Moves the body bytes that `stream` has buffered to `output`; returns whether the body is complete.
///
/// # Errors
///
/// Returns an error if the body is malformed, or if the stream ended before the body.
fn read_buffered(
    decoder: &mut BodyDecoder,
    stream: &mut BufferedStream,
    output: &mut Vec<u8>,
) -> Result<bool, BodyError> {
    let used = decoder.decode(stream.buffered(), output).map_err(|_| BodyError::Malformed)?;
    stream.consume(used);
    match decoder.is_done() {
        false if stream.is_at_eof() => Err(BodyError::Truncated),
        is_done => Ok(is_done),
    }
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns an error if the body is truncated, malformed, larger than `limit` bytes or incomplete at
/// `deadline`.
pub fn read_request_body(
    stream: &mut BufferedStream,
    framing: BodyFraming,
    limit: usize,
    deadline: MonoTime,
) -> Result<Vec<u8>, BodyError> {
    if matches!(framing, BodyFraming::Length(length) if length > limit as u64) {
        return Err(BodyError::TooLarge);
    }
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    loop {
        let is_complete = read_buffered(&mut decoder, stream, &mut body)?;
        if body.len() > limit {
            return Err(BodyError::TooLarge);
        }
        if is_complete {
            return Ok(body);
        }
        stream.fill(deadline).map_err(BodyError::Failed)?;
    }
}

/// Reads the whole body of a request into `body`.
///
/// # Errors
///
/// Returns [`BodyError::NoRoom`] if `body` finds no room, and the errors of [`read_request_body`].
pub fn read_body_into(
    stream: &mut BufferedStream,
    framing: BodyFraming,
    limit: usize,
    deadline: MonoTime,
    body: &mut BodyBuffer,
) -> Result<(), BodyError> {
    if matches!(framing, BodyFraming::Length(length) if length > limit as u64) {
        return Err(BodyError::TooLarge);
    }
    let mut decoder = BodyDecoder::new(framing);
    let mut piece = Vec::new();
    loop {
        let is_complete = read_buffered(&mut decoder, stream, &mut piece)?;
        if body.len() + piece.len() > limit {
            return Err(BodyError::TooLarge);
        }
        if !body.append(&piece) {
            return Err(BodyError::NoRoom);
        }
        if is_complete {
            return Ok(());
        }
        piece.clear();
        stream.fill(deadline).map_err(BodyError::Failed)?;
    }
}
