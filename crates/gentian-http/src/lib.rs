//! HTTP servers and clients: a server on a bounded thread pool, event streams that are flushed
//! after each event, and calls to other servers.

mod admin_port;
mod call_response;
mod event_stream;
pub mod forward;
mod http_client;
mod http_request;
mod http_response;
mod http_server;
mod join_threads;
mod line_reader;
mod process_clock;
mod response_writer;
mod worker_pool;

pub use admin_port::AdminPages;
pub use call_response::CallResponse;
pub use event_stream::EventStream;
pub use http_client::{CallError, HttpClient};
pub use http_request::HttpRequest;
pub use http_response::HttpResponse;
pub use http_server::HttpServer;
pub use join_threads::join_threads;
pub use line_reader::read_line_within;
pub use process_clock::ProcessClock;
pub use worker_pool::WorkerPool;
