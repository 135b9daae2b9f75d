//! Encodings of the datagrams between processes, of stored records, and of the JSON bodies of
//! callers, upstreams and the platform.

mod cluster_key;
mod datagram;
mod http_header;
mod record;

#[allow(missing_docs, unused_qualifications, unreachable_pub)]
pub mod generated;

pub use cluster_key::ClusterKey;
pub use datagram::{DatagramError, MAX_DATAGRAM_BYTES, decode_datagram, encode_datagram};
pub use http_header::{ENGINE_FENCE, IDEMPOTENCY_KEY, REQUEST_ID, RUN_STATE};
pub use record::{RecordError, decode_record, encode_record};
