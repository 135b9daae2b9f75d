//! Splitting of an event stream into complete events.

use std::fmt;

use gentian_decide::responses::EventPosition;

/// Largest accepted event in bytes.
const MAX_EVENT_BYTES: usize = 64 << 10;
/// Bytes of the longest end of an event, an empty line with carriage returns.
const LONGEST_END: usize = 4;

/// An event of a stream has no end within the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

impl fmt::Display for EventTooLarge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an event has no end within {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for EventTooLarge {}

/// Buffers the bytes of an event stream and returns complete events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Bytes of `pending` in which no event ends.
    searched: usize,
    has_events: bool,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds `bytes` and returns all complete events that were not returned yet.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is too large; the stream cannot be used any further then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventTooLarge> {
        self.pending.reserve_exact(bytes.len());
        self.pending.extend_from_slice(bytes);
        let start = self.searched.saturating_sub(LONGEST_END - 1);
        let Some(end) = find_end(&self.pending[start..]).map(|end| start + end) else {
            self.searched = self.pending.len();
            return match self.pending.len() > MAX_EVENT_BYTES {
                true => Err(EventTooLarge),
                false => Ok(Vec::new()),
            };
        };
        let rest = self.pending.split_off(end);
        let whole = std::mem::replace(&mut self.pending, rest);
        self.searched = self.pending.len();
        self.has_events = true;
        self.last_id = find_last_id(&whole).or(self.last_id);
        Ok(whole)
    }

    /// Returns the bytes after the last complete event; for use at the end of the stream.
    pub fn finish(&mut self) -> Vec<u8> {
        self.searched = 0;
        std::mem::take(&mut self.pending)
    }

    /// Discards the bytes of an event that its sender did not finish.
    pub fn discard_partial(&mut self) {
        self.searched = 0;
        self.pending.clear();
    }

    /// Returns where in the stream the bytes so far end. Empty lines and comments after an event belong
    /// to no other one.
    pub fn position(&self) -> EventPosition {
        let mut lines = self.pending.split(|byte| matches!(byte, b'\r' | b'\n'));
        if !lines.all(|line| line.is_empty() || line.starts_with(b":")) {
            return EventPosition::InsideEvent;
        }
        match self.has_events || !self.pending.is_empty() {
            true => EventPosition::BetweenEvents,
            false => EventPosition::Start,
        }
    }

    /// Returns the number of bytes after the last complete event.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Returns the position after the last empty line, which ends an event.
fn find_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).rev().find_map(|start| {
        let line_end = line_end_length(&bytes[start..])?;
        let empty_line = line_end_length(&bytes[start + line_end..])?;
        Some(start + line_end + empty_line)
    })
}

/// Returns the length of the end of a line at the start of `bytes`: a carriage return, a line feed, or
/// both.
fn line_end_length(bytes: &[u8]) -> Option<usize> {
    match bytes {
        [b'\r', b'\n', ..] => Some(2),
        [b'\r' | b'\n', ..] => Some(1),
        _ => None,
    }
}

fn find_last_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.rsplit(|byte| matches!(byte, b'\r' | b'\n'));
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
