//! Replica stand-in of the users' platform.

mod faulty_response;
mod replica_server;
mod replica_settings;
mod replica_state;
mod stream_text;

pub(crate) use faulty_response::FaultyResponse;
pub(crate) use replica_server::{ReplicaRequest, serve_requests};
pub(crate) use replica_settings::ReplicaSettings;
pub(crate) use replica_state::{OrderOutcome, ReplicaState};
pub(crate) use stream_text::{encode_chunk, event_text};
