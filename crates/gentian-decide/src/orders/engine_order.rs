//! Orders to model engines.

use std::fmt;
use std::net::SocketAddr;

use gentian_core::peer::TargetId;
use gentian_core::{FenceNumber, SequenceNumber, UpstreamId};

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Loads a model or an adapter.
    Load,
    /// Unloads a model with its adapters, or an adapter.
    Unload,
}

impl fmt::Display for OrderAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Load => "load",
            Self::Unload => "unload",
        })
    }
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// What is done.
    pub action: OrderAction,
    /// With what.
    pub target: TargetId,
    /// Orders that the engine must have accepted before; the order is void otherwise, also when it
    /// is carried out late.
    pub expected: SequenceNumber,
    /// Fencing number of the holder.
    pub fence: FenceNumber,
}

/// What an engine says to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// It is being carried out.
    Accepted,
    /// It is done, or held before.
    Done,
    /// Another order is under way, or the engine has accepted other orders meanwhile.
    Conflict,
    /// A holder with a higher fencing number has given orders.
    Fenced,
    /// Another upstream answers at the address.
    WrongInstance,
    /// The engine does not know the order.
    Refused,
    /// No answer came; the order may be carried out, even later.
    Unknown,
}
