//! Ends of connections.

/// How the connection of a response has ended, as far as its reader knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It is open.
    Open,
    /// The sender has closed its side.
    Closed,
    /// It was reset, or failed in another way, for its reads or its writes.
    Reset,
}
