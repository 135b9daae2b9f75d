//! Whether an upstream still is the start of it that an entry knows. Handles upstreams that end while
//! streams run there and are back at once under their name and address, perhaps as another version:
//! streams that go on there, and responses that end with their connections.

use std::fmt;

/// Largest time in milliseconds by which the start that a registration names may be later than the one
/// that a report of the same process names: a process may register a moment after it has started. One
/// that is earlier is of a former process: upstreams ended twice within 210 ms.
const START_TOLERANCE_MS: u64 = 500;

/// What an upstream replied that was asked for its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedStart {
    /// It named its start, in Unix milliseconds of its own clock.
    At(u64),
    /// It replied, but named none.
    Unnamed,
    /// It accepts no connections, or another upstream replied at its address.
    Ended,
    /// It gave no whole reply in time.
    NoReply,
}

/// Whether a request for the rest of a stream may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeUpCheck {
    /// The upstream has the listed version.
    Send,
    /// It has started again, at this time of its own clock, and its version isn't known.
    Restarted(u64),
    /// It may have started again, and its reports name no start.
    Unnamed,
    /// It accepts no connections or gives no report.
    Unknown,
}

/// The starts of an upstream that an entry knew when it selected it, in Unix milliseconds of the
/// upstream's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownStart {
    /// Start that the registration names, to which its version belongs.
    pub listed: u64,
    /// Another start that a report has named since.
    pub reported: Option<u64>,
    /// Whether the upstream may have started again since it was listed: a connection to it broke.
    pub is_doubtful: bool,
}

impl fmt::Display for ReportedStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::At(start) => write!(f, "{start}"),
            Self::Unnamed => f.write_str("unnamed"),
            Self::Ended => f.write_str("ended"),
            Self::NoReply => f.write_str("no-reply"),
        }
    }
}

impl KnownStart {
    /// Creates the start of an upstream of which no report is known.
    pub fn new(listed: u64) -> Self {
        Self { listed, reported: None, is_doubtful: false }
    }

    /// Returns whether a report that names `start` is of the process that is listed.
    pub fn is_listed(self, start: u64) -> bool {
        self.listed.checked_sub(start).is_some_and(|later| later <= START_TOLERANCE_MS)
    }

    /// Returns whether a response that ended with its connection is whole, by the reply after its end: the
    /// process that replies is one that was known before the request was sent, so that it was the one that
    /// responded and hasn't ended meanwhile. An upstream whose reports name no start can't be checked.
    pub fn shows_end(self, reply: ReportedStart) -> bool {
        match reply {
            ReportedStart::At(start) => self.is_listed(start) || self.reported == Some(start),
            ReportedStart::Unnamed => true,
            ReportedStart::Ended | ReportedStart::NoReply => false,
        }
    }

    /// Decides whether a request for the rest of a stream may be sent. An upstream whose reports name no
    /// start can't be checked.
    pub fn check_take_up(self, reply: ReportedStart) -> TakeUpCheck {
        match reply {
            ReportedStart::At(start) if self.is_listed(start) => TakeUpCheck::Send,
            ReportedStart::At(start) => TakeUpCheck::Restarted(start),
            ReportedStart::Unnamed if self.is_doubtful => TakeUpCheck::Unnamed,
            ReportedStart::Unnamed => TakeUpCheck::Send,
            ReportedStart::Ended | ReportedStart::NoReply => TakeUpCheck::Unknown,
        }
    }
}
