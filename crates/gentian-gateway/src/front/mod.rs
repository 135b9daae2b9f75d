//! The ports on which a gateway serves callers and readiness checks.

mod body_refusal;
mod caller_session;
mod readiness_port;

pub(crate) use caller_session::{SessionContext, serve_caller};
pub(crate) use readiness_port::serve_readiness;
