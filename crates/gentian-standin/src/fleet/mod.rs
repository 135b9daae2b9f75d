//! What the stand-ins of the users' platform are made of.

mod replica_orders;
mod replica_settings;
mod wire_port;

pub(crate) use replica_orders::{OrderOutcome, ReplicaOrders};
pub(crate) use replica_settings::ReplicaSettings;
pub(crate) use wire_port::{WireRequest, serve_wire};
