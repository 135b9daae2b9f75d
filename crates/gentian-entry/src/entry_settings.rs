//! Settings of an entry.

use std::net::SocketAddr;

use gentian_config::SectionReader;
use gentian_core::{ByteSize, TimeSpan};

const DEFAULT_CALL_LIMIT: usize = 2_000;
/// Holds nine request bodies of the largest size at once, beside responses and small bodies.
const DEFAULT_BUFFER_MEMORY: ByteSize = ByteSize::from_mib(64);
const DEFAULT_REQUEST_TIMEOUT: TimeSpan = TimeSpan::from_secs(30);

/// Settings in the section `[entry]`.
#[derive(Clone, Debug)]
pub(crate) struct EntrySettings {
    /// Address on which callers are served.
    pub(crate) listen: SocketAddr,
    /// Maximum number of open requests; further ones are refused.
    pub(crate) call_limit: usize,
    /// Memory for bodies of requests and responses.
    pub(crate) buffer_memory: ByteSize,
    /// Time from the first byte of a request to the end of its body.
    pub(crate) request_timeout: TimeSpan,
}

impl EntrySettings {
    /// Reads the section; `None` if `listen` is missing or malformed.
    pub(crate) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let listen = reader.required("listen");
        let call_limit = reader.optional("call_limit").unwrap_or(DEFAULT_CALL_LIMIT);
        let buffer_memory = reader.optional("buffer_memory").unwrap_or(DEFAULT_BUFFER_MEMORY);
        let request_timeout = reader.optional("request_timeout").unwrap_or(DEFAULT_REQUEST_TIMEOUT);
        Some(Self { listen: listen?, call_limit, buffer_memory, request_timeout })
    }
}
