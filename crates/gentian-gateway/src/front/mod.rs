//! The ports on which a gateway serves callers and readiness checks.

mod client_session;
mod readiness_port;

pub(crate) use client_session::{ClientFront, serve_client};
pub(crate) use readiness_port::serve_readiness;
