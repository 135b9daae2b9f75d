//! Reasons for which a call has no response.

use std::{fmt, io};

use gentian_decide::responses::EndFault;

use super::ResponseFault;

/// Why no whole response was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// What came is invalid or not whole.
    Invalid(ResponseFault),
    /// The response was not there in time.
    TimedOut,
    /// The response is not wanted any more.
    Unwanted,
}

impl fmt::Display for ResponseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(fault) => write!(f, "the response is invalid: {fault}"),
            Self::TimedOut => f.write_str("the response was not there in time"),
            Self::Unwanted => f.write_str("the call was given up"),
        }
    }
}

impl std::error::Error for ResponseError {}

impl From<ResponseFault> for ResponseError {
    fn from(fault: ResponseFault) -> Self {
        Self::Invalid(fault)
    }
}

/// Converts the error of a read or of a wait for one.
impl From<io::Error> for ResponseError {
    fn from(error: io::Error) -> Self {
        // The kernel has a timeout of its own, after which the connection is lost.
        match error.kind() == io::ErrorKind::TimedOut && error.raw_os_error().is_none() {
            true => Self::TimedOut,
            false => Self::Invalid(EndFault::Reset.into()),
        }
    }
}

impl From<ResponseError> for io::Error {
    fn from(error: ResponseError) -> Self {
        let kind = match error {
            ResponseError::Invalid(ResponseFault::End(EndFault::Reset)) => {
                io::ErrorKind::ConnectionReset
            }
            ResponseError::Invalid(ResponseFault::End(_)) => io::ErrorKind::UnexpectedEof,
            ResponseError::Invalid(_) => io::ErrorKind::InvalidData,
            ResponseError::TimedOut | ResponseError::Unwanted => io::ErrorKind::TimedOut,
        };
        Self::new(kind, error)
    }
}
