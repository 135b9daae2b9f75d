//! Replica stand-in of the users' platform.

mod replica_server;
mod replica_settings;
mod replica_state;

pub(crate) use replica_server::{ReplicaRequest, serve_requests};
pub(crate) use replica_settings::ReplicaSettings;
pub(crate) use replica_state::{OrderOutcome, ReplicaState};
