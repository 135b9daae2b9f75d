//! Decoder for the chunked transfer encoding.

use std::fmt;

use super::field_line::{is_chunk_extension, is_field_line};

/// Longest accepted chunk-size or trailer line.
const MAX_LINE_BYTES: usize = 4_096;
/// Largest accepted trailer in bytes.
const MAX_TRAILER_BYTES: usize = 16 * 1024;
/// Longest accepted chunk size in hexadecimal digits; the size always fits into a `u64`.
const MAX_SIZE_DIGITS: usize = 15;

/// Why input is not a valid chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChunkError {
    /// The line with the size of a chunk is malformed or too long.
    Size,
    /// The data of a chunk are not followed by the end of a line.
    DataEnd,
    /// The trailer has a line that is no field, or is too long.
    Trailer,
}

impl fmt::Display for ChunkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Size => "chunk-size",
            Self::DataEnd => "chunk-end",
            Self::Trailer => "trailer",
        })
    }
}

impl std::error::Error for ChunkError {}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    /// The trailer, of which this many bytes were decoded.
    Trailer(usize),
    Done,
}

/// Decodes a chunked body from input that may be split anywhere.
#[derive(Clone, Debug)]
pub struct ChunkDecoder {
    state: ChunkState,
}

impl ChunkDecoder {
    /// Creates a decoder that expects the first chunk.
    pub const fn new() -> Self {
        Self { state: ChunkState::Size }
    }

    /// Returns whether the end of the body was decoded.
    pub fn is_done(&self) -> bool {
        self.state == ChunkState::Done
    }

    /// Appends the body bytes in `input` to `output` and returns how many bytes of `input` were
    /// consumed; an incomplete line is not consumed.
    ///
    /// # Errors
    ///
    /// Returns an error if the input is not a valid chunked body.
    pub fn decode(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<usize, ChunkError> {
        let mut used = 0;
        while self.state != ChunkState::Done {
            let rest = &input[used..];
            if let ChunkState::Data(remaining) = self.state {
                let count = rest.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
                if count == 0 {
                    break;
                }
                output.extend_from_slice(&rest[..count]);
                used += count;
                self.state = match remaining - count as u64 {
                    0 => ChunkState::DataEnd,
                    remaining => ChunkState::Data(remaining),
                };
                continue;
            }
            let Some(line) = split_line(rest).map_err(|_| self.line_error())? else { break };
            used += line.len() + 2;
            self.state = self.next_state(line)?;
        }
        Ok(used)
    }

    fn next_state(&self, line: &[u8]) -> Result<ChunkState, ChunkError> {
        match self.state {
            ChunkState::Size => match parse_size(line)? {
                0 => Ok(ChunkState::Trailer(0)),
                size => Ok(ChunkState::Data(size)),
            },
            ChunkState::DataEnd if line.is_empty() => Ok(ChunkState::Size),
            ChunkState::Trailer(_) if line.is_empty() => Ok(ChunkState::Done),
            ChunkState::Trailer(length)
                if length + line.len() <= MAX_TRAILER_BYTES && is_field_line(line) =>
            {
                Ok(ChunkState::Trailer(length + line.len()))
            }
            _ => Err(self.line_error()),
        }
    }

    /// Returns the error of a line that isn't what the state calls for.
    const fn line_error(&self) -> ChunkError {
        match self.state {
            ChunkState::Size => ChunkError::Size,
            ChunkState::Data(_) | ChunkState::DataEnd => ChunkError::DataEnd,
            ChunkState::Trailer(_) | ChunkState::Done => ChunkError::Trailer,
        }
    }
}

impl Default for ChunkDecoder {
    fn default() -> Self {
        Self::new()
    }
}

/// A line has no end within the limit, or not the right one.
struct BadLine;

fn split_line(input: &[u8]) -> Result<Option<&[u8]>, BadLine> {
    match input.iter().position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && input[end - 1] == b'\r' && end <= MAX_LINE_BYTES => {
            Ok(Some(&input[..end - 1]))
        }
        Some(_) => Err(BadLine),
        None if input.len() > MAX_LINE_BYTES => Err(BadLine),
        None => Ok(None),
    }
}

fn parse_size(line: &[u8]) -> Result<u64, ChunkError> {
    let end = line.iter().position(|byte| !byte.is_ascii_hexdigit()).unwrap_or(line.len());
    let (digits, extension) = line.split_at(end);
    let is_size = (1..=MAX_SIZE_DIGITS).contains(&digits.len()) && is_chunk_extension(extension);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_size).ok_or(ChunkError::Size)?;
    u64::from_str_radix(text, 16).map_err(|_| ChunkError::Size)
}
