//! Orders to engines.

use std::fmt;

use gentian_core::peer::TargetId;
use gentian_core::{ByteSize, FenceNumber, MonoTime, OrderId, TimeSpan, UpstreamId};

/// Longest time between the decision on an order and its sending.
const SEND_LIMIT: TimeSpan = TimeSpan::from_millis(1_000);

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load an object.
    Load,
    /// Unload an object.
    Unload,
}

impl fmt::Display for OrderKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Load => "load",
            Self::Unload => "unload",
        })
    }
}

/// An order to an engine; a repeat carries the same id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementOrder {
    /// Identifies the order.
    pub id: OrderId,
    /// Fencing number of the holder that decided it.
    pub fence: FenceNumber,
    /// The engine.
    pub upstream: UpstreamId,
    /// What to do.
    pub kind: OrderKind,
    /// The object.
    pub target: TargetId,
    /// Memory of the object.
    pub memory: ByteSize,
    /// Why the order was decided.
    pub reason: &'static str,
    /// When it was decided, or decided to be sent again.
    pub decided: MonoTime,
}

impl PlacementOrder {
    /// Tells whether the order may still be sent. A holder that was paused since may have lost its
    /// seat, and an engine that ignores fencing numbers would carry the order out.
    pub fn may_be_sent(&self, now: MonoTime) -> bool {
        now.since(self.decided) < SEND_LIMIT
    }
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine confirmed it.
    Done,
    /// The engine refused it; it has no effect.
    Refused,
    /// No answer came; it may still take effect.
    Unknown,
}
