//! The record of a seat in the key-value service.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::SeatId;
use crate::{FenceNumber, InstanceId, SequenceNumber, VmId};

/// A process that may take a seat.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SeatElector {
    /// VM of the process.
    pub vm: VmId,
    /// Instance id of the process.
    pub instance: InstanceId,
    /// Address of its datagram port.
    pub address: SocketAddr,
}

/// Holder of a seat and the processes that may take it next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatRecord {
    /// The seat.
    pub seat: SeatId,
    /// The holder; `None` after it released the seat.
    pub holder: Option<SeatElector>,
    /// Fencing number; it increases with each change of holder.
    pub fence: FenceNumber,
    /// Number of the renewal; it increases with each one.
    pub renewal: SequenceNumber,
    /// Processes that may take the seat, including the holder.
    pub electors: Vec<SeatElector>,
}

impl SeatRecord {
    /// Returns whether `instance` holds the seat.
    pub fn is_held_by(&self, instance: InstanceId) -> bool {
        self.holder.as_ref().is_some_and(|holder| holder.instance == instance)
    }

    /// Returns whether `instance` is one of the electors.
    pub fn has_elector(&self, instance: InstanceId) -> bool {
        self.electors.iter().any(|elector| elector.instance == instance)
    }
}
