//! The filter chain of requests.

mod admission_filters;
mod attempt;
mod call_context;
mod forward_call;
mod gateway_chain;
mod relay;
mod response_reader;
mod start_probe;
mod upstream_probe;

pub(crate) use call_context::{CallContext, CallHandles};
pub(crate) use gateway_chain::build_chain;
