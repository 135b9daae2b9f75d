//! Ends of responses that are not whole.

use std::fmt;

/// Why a response that has ended isn't whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndFault {
    /// The connection was closed before the end that the framing announces.
    Truncated,
    /// The connection was reset before the end of the response.
    Reset,
    /// The connection was closed inside an event.
    CutEvent,
    /// The framing ended the body inside an event.
    UnfinishedEvent,
    /// The connection was closed before the first event.
    NoEvent,
    /// Only the close of the connection ended the body, and the request had not been taken whole.
    UnreadRequest,
    /// Only the close of the connection ended the body, and the sender may have crashed.
    UnconfirmedEnd,
}

impl EndFault {
    /// Returns whether a crash of the sender may be the cause.
    pub fn may_be_crash(self) -> bool {
        self != Self::UnfinishedEvent
    }
}

impl fmt::Display for EndFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Truncated => "truncated",
            Self::Reset => "reset",
            Self::CutEvent => "cut-event",
            Self::UnfinishedEvent => "unfinished-event",
            Self::NoEvent => "no-event",
            Self::UnreadRequest => "unread-request",
            Self::UnconfirmedEnd => "unconfirmed-end",
        })
    }
}
