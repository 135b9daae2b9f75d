//! Marks of the end of a body.

/// What marks the end of the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndMark {
    /// A length, or that a response of this kind has no body.
    Length,
    /// The last chunk and the trailer.
    LastChunk,
    /// Nothing but the end of the connection.
    Connection,
}
