//! Parsing of a response head that arrives in pieces.

use super::response_head::MAX_HEAD_BYTES;
use super::{ResponseFault, ResponseHead};

/// Parses a response head that arrives in pieces. Bytes are parsed again only once they hold a further
/// end of a line, so that a head that comes byte by byte takes little time.
#[derive(Debug, Default)]
pub struct HeadParser {
    parsed: usize,
}

impl HeadParser {
    /// Creates a parser for the next head of a connection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Parses the head at the start of `bytes`, to which bytes are added from call to call. Returns it
    /// with its length in bytes, or `None` if it is still incomplete.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`ResponseHead::parse`].
    pub fn parse(&mut self, bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, ResponseFault> {
        let new = bytes.get(self.parsed..).unwrap_or_default();
        if self.parsed > 0 && !new.contains(&b'\n') && bytes.len() < MAX_HEAD_BYTES {
            return Ok(None);
        }
        self.parsed = bytes.len();
        ResponseHead::parse(bytes)
    }
}
