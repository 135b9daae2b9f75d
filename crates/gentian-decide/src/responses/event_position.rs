//! Positions in streams of events.

/// Where in a stream of events a body has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventPosition {
    /// The body is no stream of events.
    NoStream,
    /// No event has come so far.
    Start,
    /// After a whole event.
    BetweenEvents,
    /// Inside an event.
    InsideEvent,
}
