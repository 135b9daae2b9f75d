//! What an upstream says about itself in a response.

use std::fmt;

use gentian_core::TimeSpan;

/// What an upstream says about itself in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamNotice {
    /// It is leaving and must get no new requests.
    Leaving,
    /// It turned the request away and wants none from this entry for this time.
    Pause(TimeSpan),
}

impl fmt::Display for UpstreamNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Leaving => f.write_str("leaving"),
            Self::Pause(span) => write!(f, "pause={span}"),
        }
    }
}
