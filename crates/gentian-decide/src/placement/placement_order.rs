//! Orders to engines.

use std::fmt;

use gentian_core::peer::TargetId;
use gentian_core::{ByteSize, FenceNumber, MonoTime, OrderId, TimeSpan, UpstreamId};

/// Longest time between the decision on an order and its sending.
const MAX_SEND_DELAY: TimeSpan = TimeSpan::from_millis(1_000);

/// Operation that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model or adapter.
    Load,
    /// Unload a model or adapter.
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

/// An order to an engine. A resent order has the same id.
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
    /// The model or adapter.
    pub target: TargetId,
    /// Memory of the model or adapter.
    pub memory: ByteSize,
    /// Why the order was decided.
    pub reason: &'static str,
    /// Time of the last decision to send the order.
    pub decided_at: MonoTime,
}

impl PlacementOrder {
    /// Returns whether the order may still be sent. If the process was paused after the decision, it
    /// may have lost its seat, and an engine that ignores fencing numbers would carry out the order.
    pub fn may_be_sent(&self, now: MonoTime) -> bool {
        now.since(self.decided_at) < MAX_SEND_DELAY
    }
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine confirmed it.
    Done,
    /// The engine refused it, so it has no effect.
    Refused,
    /// No response arrived. It may still take effect.
    Unknown,
}
