//! Order to load or unload a model or an adapter on an engine.

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
    /// Upstream that runs the engine.
    pub upstream: UpstreamId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Whether to load or to unload.
    pub action: OrderAction,
    /// Model or adapter to load or unload.
    pub target: TargetId,
    /// Number of orders that the engine must have accepted before this one. The engine rejects the
    /// order otherwise, so that an order that arrives late has no effect.
    pub expected: SequenceNumber,
    /// Fencing number of the lease holder that gives the order.
    pub fence: FenceNumber,
}

/// Reply of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The engine has accepted the order and is executing it.
    Accepted,
    /// The order is done, or the engine already had the requested state.
    Done,
    /// The engine is executing another order, or its number of accepted orders is not the expected
    /// one.
    Conflict,
    /// The engine has accepted an order with a higher fencing number.
    Fenced,
    /// Another upstream responds at the address.
    WrongInstance,
    /// The engine rejects the order as invalid.
    Refused,
    /// No reply arrived; the engine may have executed the order, or may still execute it.
    Unknown,
}
