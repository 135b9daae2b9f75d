//! Settings of an entry.

use std::net::SocketAddr;

use gentian_config::SectionReader;

const DEFAULT_CALL_LIMIT: usize = 2_000;

/// Settings in the section `[entry]`.
#[derive(Clone, Debug)]
pub(crate) struct EntrySettings {
    /// Address on which callers are served.
    pub(crate) listen: SocketAddr,
    /// Maximum number of open requests; further ones are refused.
    pub(crate) call_limit: usize,
}

impl EntrySettings {
    /// Reads the section; `None` if `listen` is missing or malformed.
    pub(crate) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let listen = reader.required("listen");
        let call_limit = reader.optional("call_limit").unwrap_or(DEFAULT_CALL_LIMIT);
        Some(Self { listen: listen?, call_limit })
    }
}
