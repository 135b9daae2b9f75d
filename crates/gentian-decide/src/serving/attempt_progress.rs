//! How far an attempt got.

use std::fmt;

/// How far an attempt got, as this process observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptProgress {
    /// Nothing was sent to the upstream.
    Unsent,
    /// The request, or a part of it, was sent.
    Sent,
    /// The head of the response arrived.
    HeadReceived,
    /// A part of the body of the response arrived.
    BodyReceived,
    /// The whole response arrived, and it was a success.
    Complete,
}

impl fmt::Display for AttemptProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unsent => "unsent",
            Self::Sent => "sent",
            Self::HeadReceived => "head-received",
            Self::BodyReceived => "body-received",
            Self::Complete => "complete",
        })
    }
}
