//! Decoding of message bodies by their framing, without I/O.

use gentian_decide::responses::EndMark;

use super::{BodyFraming, ChunkDecoder, ChunkError};

#[derive(Clone, Debug)]
enum DecoderState {
    /// The number of bytes that are missing.
    Length(u64),
    Chunked(ChunkDecoder),
    UntilClose,
}

/// Decodes one message body from input that may be split anywhere.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: DecoderState,
}

impl BodyDecoder {
    /// Creates a decoder of a body with this framing.
    pub const fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(length) => DecoderState::Length(length),
            BodyFraming::Chunked => DecoderState::Chunked(ChunkDecoder::new()),
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        Self { state }
    }

    /// Appends the body bytes in `input` to `output` and returns how many bytes of `input` were
    /// consumed.
    ///
    /// # Errors
    ///
    /// Returns an error if the input violates the framing.
    pub fn decode(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<usize, ChunkError> {
        match &mut self.state {
            DecoderState::Length(remaining) => {
                let count = input.len().min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                output.extend_from_slice(&input[..count]);
                *remaining -= count as u64;
                Ok(count)
            }
            DecoderState::Chunked(decoder) => decoder.decode(input, output),
            DecoderState::UntilClose => {
                output.extend_from_slice(input);
                Ok(input.len())
            }
        }
    }

    /// Returns whether the end was decoded that the framing marks.
    pub fn is_done(&self) -> bool {
        match &self.state {
            DecoderState::Length(remaining) => *remaining == 0,
            DecoderState::Chunked(decoder) => decoder.is_done(),
            DecoderState::UntilClose => false,
        }
    }

    /// Returns what marks the end of the body.
    pub const fn mark(&self) -> EndMark {
        match &self.state {
            DecoderState::Length(_) => EndMark::Length,
            DecoderState::Chunked(_) => EndMark::LastChunk,
            DecoderState::UntilClose => EndMark::Connection,
        }
    }
}
