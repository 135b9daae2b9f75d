//! Sends responses of upstreams to the caller.

use gentian_core::{EventCode, TimeSpan};
use gentian_http::forward::{BodyBuffer, EventSplitter, EventTooLarge, ResponseHead};

use super::{CallContext, CallHandles};

/// How long a caller may take no byte of its response, and how long after its deadline the response
/// may still be sent to a slow one.
const WRITE_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);

/// Sends the complete response of an upstream.
pub(super) fn send_response(
    handles: &CallHandles,
    call: &mut CallContext,
    head: &ResponseHead,
    body: &BodyBuffer,
) {
    let mut forwarded = forwarded_head(call, head);
    forwarded.headers.push("Content-Length", body.len().to_string());
    let mut bytes = forwarded.to_bytes();
    let mut pieces = body.pieces();
    // One write takes the head and what most bodies need.
    bytes.extend_from_slice(pieces.next().unwrap_or_default());
    let is_sent = write_to_caller(handles, call, &bytes)
        && pieces.all(|piece| write_to_caller(handles, call, piece));
    if is_sent {
        log::info!(
            "{} request={} status={} after={}",
            EventCode::REQUEST_DONE,
            call.metadata.request_id,
            head.status,
            handles.clock.now().since(call.received)
        );
    }
}

/// Begins a streamed response; returns `false` if the write to the caller fails.
pub(super) fn begin_stream(
    handles: &CallHandles,
    call: &mut CallContext,
    head: &ResponseHead,
) -> bool {
    let mut forwarded = forwarded_head(call, head);
    forwarded.headers.push("Transfer-Encoding", "chunked");
    call.event_splitter = Some(EventSplitter::new());
    write_to_caller(handles, call, &forwarded.to_bytes())
}

/// Appends `bytes` to the incomplete event that was kept back so far and sends the events that are
/// now complete; returns `false` if the write to the caller fails.
///
/// # Errors
///
/// Returns an error if an event is too large.
pub(super) fn send_events(
    handles: &CallHandles,
    call: &mut CallContext,
    bytes: &[u8],
) -> Result<bool, EventTooLarge> {
    let Some(event_splitter) = &mut call.event_splitter else { return Ok(true) };
    let complete_events = event_splitter.push(bytes)?;
    let is_sent = complete_events.is_empty()
        || write_to_caller(handles, call, &encode_chunk(&complete_events));
    Ok(is_sent)
}

/// Ends a streamed response: with the last chunk if it is complete, otherwise by closing the
/// connection.
pub(super) fn end_stream(call: &mut CallContext, is_complete: bool) {
    let Some(mut event_splitter) = call.event_splitter.take() else { return };
    if !is_complete {
        call.is_connection_broken = true;
        return;
    }
    let rest = event_splitter.finish();
    let mut bytes = if rest.is_empty() { Vec::new() } else { encode_chunk(&rest) };
    bytes.extend_from_slice(b"0\r\n\r\n");
    let end = call.deadline + WRITE_TIMEOUT;
    if let Err(error) = call.caller_stream.write_steadily(&bytes, WRITE_TIMEOUT, end) {
        log::debug!("cannot send the end of a response: {error}");
        call.is_connection_broken = true;
    }
    log::info!("{} request={} status=stream", EventCode::REQUEST_DONE, call.metadata.request_id);
}

fn forwarded_head(call: &CallContext, head: &ResponseHead) -> ResponseHead {
    let hop_by_hop_names = head.headers.hop_by_hop_names();
    let mut forwarded = ResponseHead::new(head.status);
    for (name, value) in head.headers.iter() {
        if !hop_by_hop_names.contains(&name.to_ascii_lowercase()) {
            forwarded.headers.push(name, value);
        }
    }
    if call.closes_connection {
        forwarded.headers.push("Connection", "close");
    }
    forwarded
}

fn encode_chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

fn write_to_caller(handles: &CallHandles, call: &mut CallContext, bytes: &[u8]) -> bool {
    let end = call.deadline.max(handles.clock.now()) + WRITE_TIMEOUT;
    let result = call.caller_stream.write_steadily(bytes, WRITE_TIMEOUT, end);
    if let Err(error) = &result {
        log::debug!("cannot send the response to request {}: {error}", call.metadata.request_id);
        call.is_connection_broken = true;
    }
    result.is_ok()
}
