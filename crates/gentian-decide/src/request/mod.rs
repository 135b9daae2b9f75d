//! The filter chain for requests, and the filters that need no I/O.

mod caller_key;
mod check_access;
mod check_freshness;
mod check_key;
mod check_model;
mod filter_chain;
mod filter_outcome;
mod find_route;
mod refusal;
mod request_attributes;
mod request_state;
mod retry_budget;
mod set_cost;

pub use caller_key::CallerKey;
pub use check_access::check_access;
pub use check_freshness::check_freshness;
pub use check_key::check_key;
pub use check_model::check_model;
pub use filter_chain::{FilterChain, RequestFilter};
pub use filter_outcome::FilterOutcome;
pub use find_route::find_route;
pub use refusal::{Refusal, RefusalCode, RunState};
pub use request_attributes::RequestAttributes;
pub use request_state::{KeyLookup, RequestState};
pub use retry_budget::RetryBudget;
pub use set_cost::set_cost;
