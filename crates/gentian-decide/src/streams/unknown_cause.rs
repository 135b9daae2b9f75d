//! Why it can't be known which version began a stream.

use std::fmt;

/// Why it can't be known which version began a stream; names the causes in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownCause {
    /// Its upstream started again as another version about when the stream began, or two versions are
    /// named for it.
    Uncertain,
    /// The caller doesn't name the request that brought the first event.
    Unnamed,
    /// Several versions serve, and all entries that were asked replied that they don't know.
    NobodyKnows,
    /// Several versions serve, and some of the entries that were asked gave no reply.
    NoReply,
    /// This entry could not read in time which versions serve, and the others don't agree on one.
    NoRecords,
}

impl fmt::Display for UnknownCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Uncertain => "uncertain",
            Self::Unnamed => "unnamed",
            Self::NobodyKnows => "nobody-knows",
            Self::NoReply => "no-reply",
            Self::NoRecords => "no-records",
        })
    }
}
