//! HTTP/1.1 over plain TCP sockets: heads with size limits, bodies framed by length, by chunks or
//! by the end of the connection, and pooled connections. Used to forward requests and for own
//! calls.

mod body_admission;
mod body_buffer;
mod body_decoder;
mod body_framing;
mod body_reader;
mod buffer_budget;
mod buffered_stream;
mod chunk_decoder;
mod connection_listener;
mod connection_pool;
mod event_splitter;
mod field_line;
mod head_parser;
mod header_list;
mod invalid_responses;
mod pooled_client;
mod read_response;
mod request_head;
mod request_upload;
mod response_error;
mod response_fault;
mod response_head;
mod response_log;
mod response_reader;

pub use body_admission::{BodyAdmission, admit_body};
pub use body_buffer::BodyBuffer;
pub use body_decoder::BodyDecoder;
pub use body_framing::{BodyFraming, FramingError};
pub use body_reader::{BodyError, read_body_into, read_request_body};
pub use buffer_budget::{BodyRoom, BufferBudget, BufferReservation, BufferWait};
pub(crate) use buffered_stream::RECEIVE_BUFFER_BYTES;
pub use buffered_stream::{BufferedStream, WaitOutcome};
pub use chunk_decoder::{ChunkDecoder, ChunkError};
pub(crate) use connection_listener::accept_connections;
pub use connection_listener::serve_connections;
pub use connection_pool::ConnectionPool;
pub use event_splitter::{EventSplitter, EventTooLarge};
pub(crate) use field_line::{is_field_value, is_token};
pub use head_parser::HeadParser;
pub use header_list::HeaderList;
pub use invalid_responses::InvalidResponses;
pub use pooled_client::{CallLimits, PooledCallError, PooledClient};
pub use read_response::{
    check_end, complete_request, read_response_body, read_response_head, read_response_piece,
};
pub use request_head::{HeadError, RequestHead};
pub use request_upload::RequestUpload;
pub use response_error::ResponseError;
pub use response_fault::ResponseFault;
pub use response_head::ResponseHead;
pub use response_log::ResponseLog;
pub use response_reader::ResponseReader;
