//! The filter chain of requests.

mod call_completion;
mod call_context;
mod dedupe_call;
mod entry_chain;
mod intent_store;
mod read_attributes;
mod relay_response;
mod send_call;

pub(crate) use call_context::{CallContext, CallHandles};
pub(crate) use entry_chain::build_chain;
pub(crate) use intent_store::IntentStore;
