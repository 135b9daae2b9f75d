//! Faults of responses.

use std::fmt;

use gentian_decide::responses::EndFault;

use super::{ChunkError, FramingError};

/// Which check a response failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResponseFault {
    /// The first line is no status line, or its status code doesn't exist.
    StatusLine,
    /// A line of the head is no field.
    FieldLine,
    /// A line of the head has not the right end.
    LineEnd,
    /// The head exceeds the limit of bytes or fields.
    HeadTooLarge,
    /// There are too many interim responses.
    TooManyInterim,
    /// The server changes the protocol, which no request asks for.
    ProtocolChange,
    /// The framing is malformed or ambiguous.
    Framing(FramingError),
    /// The chunks are malformed.
    Chunks(ChunkError),
    /// The body, or an event in it, exceeds the limit, or there is no memory for it.
    TooLarge,
    /// The response doesn't name its request, though those of earlier requests may come on its
    /// connection.
    Unnamed,
    /// Only responses to other requests came.
    OtherRequest,
    /// A success has no signature of the server.
    Unsigned,
    /// The body is not whole.
    End(EndFault),
}

impl ResponseFault {
    /// Returns whether a crash of the server may be the cause.
    pub fn may_be_crash(self) -> bool {
        matches!(self, Self::End(fault) if fault.may_be_crash())
    }
}

/// Shows the name of the check.
impl fmt::Display for ResponseFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::StatusLine => "status-line",
            Self::FieldLine => "field-line",
            Self::LineEnd => "line-end",
            Self::HeadTooLarge => "head-size",
            Self::TooManyInterim => "interim-count",
            Self::ProtocolChange => "protocol-change",
            Self::Framing(_) => "framing",
            Self::Chunks(error) => return write!(f, "{error}"),
            Self::TooLarge => "body-size",
            Self::Unnamed => "unnamed",
            Self::OtherRequest => "other-request",
            Self::Unsigned => "unsigned",
            Self::End(fault) => return write!(f, "{fault}"),
        })
    }
}

impl std::error::Error for ResponseFault {}

impl From<FramingError> for ResponseFault {
    fn from(error: FramingError) -> Self {
        Self::Framing(error)
    }
}

impl From<ChunkError> for ResponseFault {
    fn from(error: ChunkError) -> Self {
        Self::Chunks(error)
    }
}

impl From<EndFault> for ResponseFault {
    fn from(fault: EndFault) -> Self {
        Self::End(fault)
    }
}
