//! Reading of one response without I/O: what is a response, and how far it has come.

use gentian_decide::responses::{ConnectionEnd, EndMark, ResponseEnd};

use super::body_framing::may_have_body;
use super::{BodyDecoder, BodyFraming, HeadParser, ResponseFault, ResponseHead};

/// Maximum number of interim responses before the response itself.
const MAX_INTERIM_RESPONSES: u32 = 16;
const SWITCHING_PROTOCOLS: u16 = 101;

/// Reads the response to one request from bytes that may be split anywhere. All readers of responses use it,
/// so that they agree on what is one.
#[derive(Debug)]
pub struct ResponseReader {
    method: String,
    head_parser: HeadParser,
    interim_count: u32,
    body_decoder: BodyDecoder,
    has_body: bool,
}

impl ResponseReader {
    /// Creates a reader of the response to a request with this method.
    pub fn new(method: impl Into<String>) -> Self {
        Self {
            method: method.into(),
            head_parser: HeadParser::new(),
            interim_count: 0,
            body_decoder: BodyDecoder::new(BodyFraming::Length(0)),
            has_body: false,
        }
    }

    /// Reads the head at the start of `input`, to which bytes are added from call to call, and skips
    /// interim responses. Returns how many bytes were consumed, and the head once it is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no response.
    pub fn read_head(
        &mut self,
        input: &[u8],
    ) -> Result<(usize, Option<ResponseHead>), ResponseFault> {
        let mut used = 0;
        while let Some((head, length)) = self.head_parser.parse(&input[used..])? {
            used += length;
            self.head_parser = HeadParser::new();
            match head.status {
                SWITCHING_PROTOCOLS => return Err(ResponseFault::ProtocolChange),
                100..200 => self.interim_count += 1,
                _ => {
                    self.begin_body(&head)?;
                    return Ok((used, Some(head)));
                }
            }
            if self.interim_count > MAX_INTERIM_RESPONSES {
                return Err(ResponseFault::TooManyInterim);
            }
        }
        Ok((used, None))
    }

    fn begin_body(&mut self, head: &ResponseHead) -> Result<(), ResponseFault> {
        let framing = BodyFraming::of_response(&self.method, head.status, &head.headers)?;
        self.body_decoder = BodyDecoder::new(framing);
        self.has_body = may_have_body(&self.method, head.status);
        Ok(())
    }

    /// Appends the body bytes in `input` to `output` and returns how many bytes of `input` were
    /// consumed.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes violate the framing.
    pub fn read_body(
        &mut self,
        input: &[u8],
        output: &mut Vec<u8>,
    ) -> Result<usize, ResponseFault> {
        Ok(self.body_decoder.decode(input, output)?)
    }

    /// Returns whether a response of this kind may have a body.
    pub fn has_body(&self) -> bool {
        self.has_body
    }

    /// Returns what marks the end of the body.
    pub fn mark(&self) -> EndMark {
        self.body_decoder.mark()
    }

    /// Returns whether the end was read that the framing marks.
    pub fn is_mark_reached(&self) -> bool {
        self.body_decoder.is_done()
    }

    /// Returns the end of the response if no more of it is read from the connection.
    pub fn end(&self, connection: ConnectionEnd) -> ResponseEnd {
        ResponseEnd::new(self.mark(), self.is_mark_reached(), connection)
    }
}
