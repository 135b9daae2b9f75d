//! Decoder of chunked bodies.

use std::fmt;

/// Longest line with the size of a chunk, or trailer line, in bytes.
const LINE_LIMIT: usize = 4_096;
/// Longest size in hexadecimal digits; sixteen would overflow with the sign bit.
const SIZE_DIGITS: usize = 15;

/// The bytes are not a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkError;

impl fmt::Display for ChunkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the chunked body is malformed")
    }
}

impl std::error::Error for ChunkError {}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

/// Decodes a chunked body from pieces of any size.
#[derive(Clone, Debug)]
pub struct ChunkDecoder {
    state: ChunkState,
}

impl ChunkDecoder {
    /// Creates a decoder before the first chunk.
    pub const fn new() -> Self {
        Self { state: ChunkState::Size }
    }

    /// Tells whether the end of the body was seen.
    pub fn is_done(&self) -> bool {
        self.state == ChunkState::Done
    }

    /// Appends what `input` holds of the body to `output` and returns how many bytes were used; an
    /// incomplete line stays unused.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a chunked body.
    pub fn decode(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<usize, ChunkError> {
        let mut used = 0;
        while self.state != ChunkState::Done {
            let rest = &input[used..];
            if let ChunkState::Data(left) = self.state {
                let count = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                if count == 0 {
                    break;
                }
                output.extend_from_slice(&rest[..count]);
                used += count;
                self.state = match left - count as u64 {
                    0 => ChunkState::DataEnd,
                    left => ChunkState::Data(left),
                };
                continue;
            }
            let Some(line) = take_line(rest)? else { break };
            used += line.len() + 2;
            self.state = self.next_state(line)?;
        }
        Ok(used)
    }

    fn next_state(&self, line: &[u8]) -> Result<ChunkState, ChunkError> {
        match self.state {
            ChunkState::Size => match read_size(line)? {
                0 => Ok(ChunkState::Trailer),
                size => Ok(ChunkState::Data(size)),
            },
            ChunkState::DataEnd if line.is_empty() => Ok(ChunkState::Size),
            ChunkState::Trailer if line.is_empty() => Ok(ChunkState::Done),
            ChunkState::Trailer => Ok(ChunkState::Trailer),
            _ => Err(ChunkError),
        }
    }
}

impl Default for ChunkDecoder {
    fn default() -> Self {
        Self::new()
    }
}

fn take_line(input: &[u8]) -> Result<Option<&[u8]>, ChunkError> {
    match input.iter().position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && input[end - 1] == b'\r' && end <= LINE_LIMIT => {
            Ok(Some(&input[..end - 1]))
        }
        Some(_) => Err(ChunkError),
        None if input.len() > LINE_LIMIT => Err(ChunkError),
        None => Ok(None),
    }
}

fn read_size(line: &[u8]) -> Result<u64, ChunkError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
    let is_size = !digits.is_empty()
        && digits.len() <= SIZE_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_size).ok_or(ChunkError)?;
    u64::from_str_radix(text, 16).map_err(|_| ChunkError)
}
