//! The end of a response, as its reader observed it.

use super::{ConnectionEnd, EndFault, EndMark, EndVerdict, EventPosition};

/// What is known of a response when its reader finds no more of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseEnd {
    /// What marks the end of the body.
    pub mark: EndMark,
    /// Whether the mark was reached, if it is a length or the last chunk.
    pub is_mark_reached: bool,
    /// How the connection has ended.
    pub connection: ConnectionEnd,
    /// Whether the whole request was sent, as far as the connection shows it.
    pub is_request_sent: bool,
    /// Where the body ended.
    pub position: EventPosition,
}

impl ResponseEnd {
    /// Creates the end of a response to a request that was sent whole and whose body is no stream.
    pub const fn new(mark: EndMark, is_mark_reached: bool, connection: ConnectionEnd) -> Self {
        let position = EventPosition::NoStream;
        Self { mark, is_mark_reached, connection, is_request_sent: true, position }
    }

    /// Sets whether the whole request was sent.
    pub const fn with_request_sent(self, is_request_sent: bool) -> Self {
        Self { is_request_sent, ..self }
    }

    /// Sets where in a stream of events the body ended.
    pub const fn with_position(self, position: EventPosition) -> Self {
        Self { position, ..self }
    }

    /// Decides whether the response is whole; docs/FAULTS.md has the table.
    pub fn judge(self) -> EndVerdict {
        match self.mark {
            EndMark::Length | EndMark::LastChunk => self.judge_marked(),
            EndMark::Connection => self.judge_unmarked(),
        }
    }

    /// A mark that was reached is the end, however the connection ends and whether or not the request
    /// was read: servers may respond and close early.
    fn judge_marked(self) -> EndVerdict {
        match (self.is_mark_reached, self.connection, self.position) {
            (true, _, EventPosition::InsideEvent) => EndVerdict::Broken(EndFault::UnfinishedEvent),
            (true, ..) => EndVerdict::Whole,
            (false, ConnectionEnd::Reset, _) => EndVerdict::Broken(EndFault::Reset),
            (false, ..) => EndVerdict::Broken(EndFault::Truncated),
        }
    }

    fn judge_unmarked(self) -> EndVerdict {
        match (self.connection, self.position) {
            (ConnectionEnd::Open, _) => EndVerdict::Broken(EndFault::Truncated),
            (ConnectionEnd::Reset, _) => EndVerdict::Broken(EndFault::Reset),
            (ConnectionEnd::Closed, EventPosition::InsideEvent) => {
                EndVerdict::Broken(EndFault::CutEvent)
            }
            (ConnectionEnd::Closed, EventPosition::Start) => EndVerdict::Broken(EndFault::NoEvent),
            // A reset that the rest of the request provokes may still be on its way.
            (ConnectionEnd::Closed, _) if !self.is_request_sent => {
                EndVerdict::Broken(EndFault::UnreadRequest)
            }
            (ConnectionEnd::Closed, _) => EndVerdict::Unknown(EndFault::UnconfirmedEnd),
        }
    }
}
