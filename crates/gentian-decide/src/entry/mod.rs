//! Decisions of an entry: when and where a request starts, and what is requested from the seats.

mod call_decision;
mod config_watch;
mod fair_queue;
mod placement_client;
mod request_dispatcher;
mod share_client;
mod token_queue;
mod upstream_pool;
mod waiting_call;

pub use call_decision::{CallDecision, CallOutcome};
pub use config_watch::{ConfigFreshness, ConfigWatch};
pub use fair_queue::FairQueue;
pub use placement_client::PlacementClient;
pub use request_dispatcher::RequestDispatcher;
pub use share_client::ShareClient;
pub use token_queue::TokenQueue;
pub use upstream_pool::UpstreamPool;
pub use waiting_call::WaitingCall;
