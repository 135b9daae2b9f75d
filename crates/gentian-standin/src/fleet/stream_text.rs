//! Text of streamed responses.

/// Returns event `event` of the stream for request `id`.
pub(crate) fn event_text(id: &str, event: u64, version: &str) -> String {
    format!("id: {event}\ndata: {id} {event} {version}\n\n")
}

/// Returns `text` as a chunk of a chunked body.
pub(crate) fn encode_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
