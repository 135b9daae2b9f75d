//! Reading of message bodies from a connection.

use std::fmt;
use std::io;

use gentian_core::MonoTime;

use super::{BodyBuffer, BodyFraming, BufferedStream, ChunkDecoder};

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

/// Whether a body has been read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyProgress {
    /// More bytes follow.
    Incomplete,
    /// The body is complete.
    Complete,
}

#[derive(Debug)]
enum ReaderState {
    Length(u64),
    Chunked(ChunkDecoder),
    UntilClose,
}

/// Reads one message body.
#[derive(Debug)]
pub struct BodyReader {
    state: ReaderState,
}

impl BodyReader {
    /// Creates a reader for a body with this framing.
    pub const fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(length) => ReaderState::Length(length),
            BodyFraming::Chunked => ReaderState::Chunked(ChunkDecoder::new()),
            BodyFraming::UntilClose => ReaderState::UntilClose,
        };
        Self { state }
    }

    /// Moves the body bytes that `stream` has buffered to `output`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed, or if the stream ended before the body.
    pub fn read_buffered(
        &mut self,
        stream: &mut BufferedStream,
        output: &mut Vec<u8>,
    ) -> Result<BodyProgress, BodyError> {
        let input = stream.buffered();
        let (used, is_done) = match &mut self.state {
            ReaderState::Length(remaining) => {
                let count = input.len().min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                output.extend_from_slice(&input[..count]);
                *remaining -= count as u64;
                (count, *remaining == 0)
            }
            ReaderState::Chunked(decoder) => {
                let used = decoder.decode(input, output).map_err(|_| BodyError::Malformed)?;
                (used, decoder.is_done())
            }
            ReaderState::UntilClose => {
                output.extend_from_slice(input);
                (input.len(), stream.is_at_eof())
            }
        };
        stream.consume(used);
        match is_done {
            true => Ok(BodyProgress::Complete),
            false if stream.is_at_eof() => Err(BodyError::Truncated),
            false => Ok(BodyProgress::Incomplete),
        }
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
    read_response_body(stream, framing, limit, deadline)
}

/// Reads the whole body of a response.
///
/// # Errors
///
/// Returns the errors of [`read_request_body`].
pub fn read_response_body(
    stream: &mut BufferedStream,
    framing: BodyFraming,
    limit: usize,
    deadline: MonoTime,
) -> Result<Vec<u8>, BodyError> {
    let mut reader = BodyReader::new(framing);
    let mut body = Vec::new();
    loop {
        let progress = reader.read_buffered(stream, &mut body)?;
        if body.len() > limit {
            return Err(BodyError::TooLarge);
        }
        if progress == BodyProgress::Complete {
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
    let mut reader = BodyReader::new(framing);
    let mut piece = Vec::new();
    loop {
        let progress = reader.read_buffered(stream, &mut piece)?;
        if body.len() + piece.len() > limit {
            return Err(BodyError::TooLarge);
        }
        if !body.append(&piece) {
            return Err(BodyError::NoRoom);
        }
        if progress == BodyProgress::Complete {
            return Ok(());
        }
        piece.clear();
        stream.fill(deadline).map_err(BodyError::Failed)?;
    }
}
