//! HTTP plumbing: a front end on a bounded pool of threads, event streams that are flushed after
//! each event, and calls of other servers.

mod admin_port;
mod call_agent;
mod event_stream;
pub mod forward;
mod http_front;
mod http_reply;
mod join_threads;
mod process_clock;
mod worker_pool;

pub use admin_port::AdminPages;
pub use call_agent::{CallAgent, CallError, read_whole};
pub use event_stream::EventStream;
pub use http_front::{HttpFront, HttpRequest};
pub use http_reply::HttpReply;
pub use join_threads::join_threads;
pub use process_clock::ProcessClock;
pub use worker_pool::WorkerPool;
