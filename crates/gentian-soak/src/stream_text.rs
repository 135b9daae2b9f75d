//! The text of a stream as its caller received it.

use std::fmt;

/// Events of a complete streamed response.
pub(crate) const EVENTS_PER_STREAM: u64 = 8;

/// Why the text of a stream is not what one replica, or replicas of one version, would send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StreamFault {
    /// An event is no event of this stream, or not the next one.
    UnexpectedEvent(String),
    /// Events of two versions follow each other.
    JoinedVersions(String, String),
}

impl fmt::Display for StreamFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnexpectedEvent(text) => write!(f, "unexpected event {text:?}"),
            Self::JoinedVersions(first, second) => {
                write!(f, "events of {second} follow those of {first}")
            }
        }
    }
}

/// The events that a caller has of a stream, over all its calls for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct StreamText {
    /// Number of the last event.
    pub(crate) last_event: u64,
    /// Version of the replicas that wrote the events.
    pub(crate) version: Option<String>,
    /// Id of the call that brought the first event.
    pub(crate) first_call: Option<String>,
}

impl StreamText {
    /// Returns whether all events are there.
    pub(crate) fn is_complete(&self) -> bool {
        self.last_event == EVENTS_PER_STREAM
    }

    /// Adds the events of the answer to the call with this id; bytes after the last whole event are
    /// ignored.
    pub(crate) fn add(&mut self, id: &str, body: &[u8]) -> Result<(), StreamFault> {
        let body = String::from_utf8_lossy(body);
        let Some((whole, _)) = body.rsplit_once("\n\n") else { return Ok(()) };
        for event in whole.split("\n\n") {
            let number = self.last_event + 1;
            let start = format!("id: {number}\ndata: {id} {number} ");
            let Some(version) = event.strip_prefix(&start) else {
                return Err(StreamFault::UnexpectedEvent(event.to_owned()));
            };
            let known = self.version.get_or_insert_with(|| version.to_owned());
            if known != version {
                return Err(StreamFault::JoinedVersions(known.clone(), version.to_owned()));
            }
            self.first_call.get_or_insert_with(|| id.to_owned());
            self.last_event = number;
        }
        Ok(())
    }
}
