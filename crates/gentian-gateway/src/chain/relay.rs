//! Answers on their way to the caller.

use gentian_core::{EventCode, TimeSpan};
use gentian_http::forward::{EventSplitter, ResponseHead};

use super::{CallContext, CallHandles};

/// Longest time for which a caller may leave its answer unread.
const WRITE_LIMIT: TimeSpan = TimeSpan::from_secs(5);

/// Sends a whole answer of an upstream.
pub(super) fn send_answer(
    handles: &CallHandles,
    call: &mut CallContext,
    head: &ResponseHead,
    body: &[u8],
) {
    let mut sent = forwarded_head(call, head);
    sent.headers.push("Content-Length", body.len().to_string());
    let mut bytes = sent.to_bytes();
    bytes.extend_from_slice(body);
    if write(handles, call, &bytes) {
        log::info!(
            "{} request={} status={} after={}",
            EventCode::REQUEST_DONE,
            call.marks.request_id,
            head.status,
            handles.clock.now().since(call.received)
        );
    }
}

/// Begins a streamed answer; `false` if the caller cannot be written to.
pub(super) fn begin_stream(
    handles: &CallHandles,
    call: &mut CallContext,
    head: &ResponseHead,
) -> bool {
    let mut sent = forwarded_head(call, head);
    sent.headers.push("Transfer-Encoding", "chunked");
    call.events = Some(EventSplitter::new());
    write(handles, call, &sent.to_bytes())
}

/// Sends the whole events among `bytes` and those kept back before; `false` if the caller cannot be
/// written to.
pub(super) fn send_events(handles: &CallHandles, call: &mut CallContext, bytes: &[u8]) -> bool {
    let Some(events) = &mut call.events else { return true };
    let whole = events.take(bytes);
    whole.is_empty() || write(handles, call, &chunk_of(&whole))
}

/// Ends a streamed answer: with its last chunk if it is whole, by closing the connection if not.
pub(super) fn end_stream(call: &mut CallContext, is_whole: bool) {
    let Some(mut events) = call.events.take() else { return };
    if !is_whole {
        call.is_broken = true;
        return;
    }
    let rest = events.finish();
    let mut bytes = if rest.is_empty() { Vec::new() } else { chunk_of(&rest) };
    bytes.extend_from_slice(b"0\r\n\r\n");
    let deadline = call.deadline + WRITE_LIMIT;
    if let Err(error) = call.client.write_all(&bytes, deadline) {
        log::debug!("end of an answer not delivered: {error}");
        call.is_broken = true;
    }
    log::info!("{} request={} status=stream", EventCode::REQUEST_DONE, call.marks.request_id);
}

fn forwarded_head(call: &CallContext, head: &ResponseHead) -> ResponseHead {
    let own = head.headers.connection_names();
    let mut sent = ResponseHead::new(head.status);
    for (name, value) in head.headers.iter() {
        if !own.contains(&name.to_ascii_lowercase()) {
            sent.headers.push(name, value);
        }
    }
    if call.closes {
        sent.headers.push("Connection", "close");
    }
    sent
}

fn chunk_of(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

fn write(handles: &CallHandles, call: &mut CallContext, bytes: &[u8]) -> bool {
    let deadline = handles.clock.now() + WRITE_LIMIT;
    let result = call.client.write_all(bytes, deadline);
    if let Err(error) = &result {
        log::debug!("answer of {} not delivered: {error}", call.marks.request_id);
        call.is_broken = true;
    }
    result.is_ok()
}
