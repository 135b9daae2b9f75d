//! One attempt to serve a request at one upstream.

use gentian_core::TimeSpan;
use gentian_decide::responses::{EndFault, EndVerdict, EventPosition, ResponseEnd};
use gentian_decide::selection::LoadReading;
use gentian_decide::serving::{AttemptOutcome, AttemptProgress, UpstreamNotice, UpstreamPick};
use gentian_http::forward::{
    BufferedStream, EventSplitter, RequestUpload, ResponseFault, ResponseHead, complete_request,
    read_response_piece,
};

use super::call_context::{SavedResponse, record_run};
use super::relay::{begin_stream, end_stream, send_events, send_response};
use super::response_reader::{BegunResponse, ReadError, read_body, read_head, wait_for_bytes};
use super::start_probe::{StartError, connect_checked, has_ended_whole};
use super::{CallContext, CallHandles};
use crate::control::ControlEvent;
use crate::{ForwardMetadata, ResponseMetadata};

/// Longest wait for a connection to an upstream.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(400);

/// How an attempt ended for the request. The [`AttemptOutcome`] in it is what is recorded for the
/// upstream.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// The response was relayed as far as the caller took it; the outcome holds the time from the
    /// start of the attempt to the head of the response.
    Responded(AttemptOutcome),
    /// The caller closed its connection or stopped reading.
    CallerGone,
    /// The deadline passed.
    TimedOut,
    /// The selection of the upstream was too old to be used; nothing was sent.
    OutOfDate,
    /// The upstream has started again, and it isn't known as which version; nothing was sent.
    Restarted,
    /// The upstream did not execute the request.
    NotExecuted(AttemptOutcome, String),
    /// The upstream may have executed the request but gave no response that could be relayed.
    Failed(AttemptOutcome, String),
    /// The same, since its response is invalid or not whole.
    Invalid(ResponseFault),
}

impl AttemptResult {
    /// Returns the outcome that is recorded for the upstream.
    pub(super) fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::Responded(outcome) | Self::NotExecuted(outcome, _) | Self::Failed(outcome, _) => {
                *outcome
            }
            Self::Invalid(fault) if fault.may_be_crash() => AttemptOutcome::Broken,
            Self::Invalid(_) => AttemptOutcome::Invalid,
            Self::CallerGone | Self::TimedOut | Self::OutOfDate | Self::Restarted => {
                AttemptOutcome::Abandoned
            }
        }
    }
}

impl From<ReadError> for AttemptResult {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::CallerGone => Self::CallerGone,
            ReadError::TimedOut => Self::TimedOut,
            ReadError::Invalid(fault) => Self::Invalid(fault),
        }
    }
}

impl From<ResponseFault> for AttemptResult {
    fn from(fault: ResponseFault) -> Self {
        Self::Invalid(fault)
    }
}

/// Sends the request to the upstream and relays its response.
pub(super) fn run_attempt(
    handles: &CallHandles,
    call: &mut CallContext,
    pick: &UpstreamPick,
) -> AttemptResult {
    let now = handles.clock.now();
    call.progress = AttemptProgress::Unsent;
    let limit = CONNECT_TIMEOUT.min(call.time_left(now));
    let unreachable = |cause| AttemptResult::NotExecuted(AttemptOutcome::Unreachable, cause);
    let mut stream = match is_take_up(call, pick) {
        true => match connect_checked(handles, pick, limit) {
            Ok(stream) => stream,
            Err(StartError::Restarted) => return AttemptResult::Restarted,
            Err(StartError::Unknown(cause)) => return unreachable(cause),
        },
        false => match handles.connections.acquire(pick.address, limit) {
            Ok(stream) => stream,
            Err(error) => return unreachable(format!("no connection: {error}")),
        },
    };
    // The caller may have left by now: reading the request, waiting for an upstream and earlier
    // attempts may have taken long.
    if call.caller_stream.is_peer_closed() {
        return AttemptResult::CallerGone;
    }
    if !pick.is_current(handles.clock.now()) {
        return AttemptResult::OutOfDate;
    }
    let mut start = encode_head(handles, call, pick);
    start.extend_from_slice(call.body.pieces().next().unwrap_or_default());
    let further_bytes = call.further_pieces().map(<[u8]>::len).sum();
    let mut upload = RequestUpload::new(start, further_bytes);
    call.progress = AttemptProgress::Sent;
    if let Err(error) = upload.write(&mut stream, call.further_pieces(), call.deadline) {
        let cause = format!("not sent whole: {error}");
        return AttemptResult::Failed(AttemptOutcome::Broken, cause);
    }
    let response = match read_head(handles, call, &mut stream, &mut upload) {
        Ok(response) => response,
        Err(error) => return error.into(),
    };
    let BegunResponse { head, metadata, .. } = &response;
    let read = handles.clock.now();
    let time_to_head = read.since(now);
    call.progress = AttemptProgress::HeadReceived;
    call.time_to_head = time_to_head;
    handles.send_event(ControlEvent::Head {
        id: call.id,
        request_limit: metadata.request_limit,
        is_success: (200..300).contains(&head.status),
        load: metadata.load.map(|load| LoadReading { load, time: read }),
        notices: read_notices(metadata),
    });
    let upstream_response = UpstreamResponse { response, upload, time_to_head };
    handle_response(handles, call, pick, stream, upstream_response)
}

/// Returns whether the request goes on with a stream that only upstreams of one version may go on with.
fn is_take_up(call: &CallContext, pick: &UpstreamPick) -> bool {
    call.is_resuming() && pick.version.is_some()
}

/// Returns what a response says about its upstream.
fn read_notices(metadata: &ResponseMetadata) -> Vec<UpstreamNotice> {
    let leaving = metadata.is_leaving.then_some(UpstreamNotice::Leaving);
    leaving.into_iter().chain(metadata.pause.map(UpstreamNotice::Pause)).collect()
}

struct UpstreamResponse {
    response: BegunResponse,
    upload: RequestUpload,
    time_to_head: TimeSpan,
}

fn encode_head(handles: &CallHandles, call: &CallContext, pick: &UpstreamPick) -> Vec<u8> {
    let route_priority = call.route.as_ref().map_or(0, |route| route.priority);
    let has_body = !call.body.is_empty() || call.head.headers.text("content-length").is_some();
    let metadata = ForwardMetadata {
        upstream: pick.upstream.clone(),
        timeout: call.time_left(handles.clock.now()),
        organisation: call.organisation.as_ref().map(|organisation| organisation.spec.id.clone()),
        priority: call
            .organisation
            .as_ref()
            .and_then(|organisation| organisation.priority)
            .unwrap_or(route_priority),
        resume_after: call
            .event_splitter
            .as_ref()
            .and_then(|event_splitter| event_splitter.last_id()),
        body_bytes: has_body.then_some(call.body.len()),
    };
    (handles.codec.encode_request)(&call.head, &metadata).to_bytes()
}

fn handle_response(
    handles: &CallHandles,
    call: &mut CallContext,
    pick: &UpstreamPick,
    stream: BufferedStream,
    upstream_response: UpstreamResponse,
) -> AttemptResult {
    let BegunResponse { head, metadata, reader } = &upstream_response.response;
    let is_success = (200..300).contains(&head.status);
    if is_success && !metadata.has_upstream_stamp {
        return ResponseFault::Unsigned.into();
    }
    let is_stream = call.route.as_ref().is_some_and(|route| route.kind.is_stream());
    if is_success && is_stream && reader.has_body() && !metadata.is_not_executed {
        relay_stream(handles, call, pick, stream, upstream_response)
    } else {
        relay_plain(handles, call, pick, stream, upstream_response)
    }
}

fn relay_plain(
    handles: &CallHandles,
    call: &mut CallContext,
    pick: &UpstreamPick,
    mut stream: BufferedStream,
    upstream_response: UpstreamResponse,
) -> AttemptResult {
    let UpstreamResponse { response, upload, time_to_head } = upstream_response;
    let BegunResponse { head, metadata, mut reader } = response;
    let is_success = (200..300).contains(&head.status);
    let is_stream = call.route.as_ref().is_some_and(|route| route.kind.is_stream());
    // A stream begins to run with its first event, so its route counts none that has no event.
    if !is_stream && metadata.has_upstream_stamp && !metadata.is_not_executed {
        record_run(handles, call);
    }
    let (body, end) = match read_body(handles, call, &mut stream, &mut reader) {
        Ok(read) => read,
        Err(error) => return error.into(),
    };
    if let Err(fault) = confirm_end(handles, call, pick, &mut stream, &upload, end) {
        return fault.into();
    }
    // A faulty upstream may write a refusal once more with the next request on the connection.
    if upload.is_complete() && !metadata.is_not_executed {
        keep_connection(handles, pick, stream, &head);
    }
    if metadata.is_not_executed {
        let cause = format!("refused with status {}", head.status);
        return AttemptResult::NotExecuted(AttemptOutcome::Rejected, cause);
    }
    if head.status >= 500 || call.event_splitter.is_some() {
        let cause = format!("failed with status {}", head.status);
        if call.event_splitter.is_none() {
            call.saved_response = Some(SavedResponse { head, body });
        }
        return AttemptResult::Failed(AttemptOutcome::Failed, cause);
    }
    observe_first_byte(handles, call);
    if is_success {
        call.progress = AttemptProgress::Complete;
    }
    send_response(handles, call, &head, &body);
    AttemptResult::Responded(AttemptOutcome::Served(time_to_head))
}

fn relay_stream(
    handles: &CallHandles,
    call: &mut CallContext,
    pick: &UpstreamPick,
    mut stream: BufferedStream,
    upstream_response: UpstreamResponse,
) -> AttemptResult {
    let UpstreamResponse { response, upload, time_to_head } = upstream_response;
    let BegunResponse { head, mut reader, .. } = response;
    observe_first_byte(handles, call);
    if let Some(event_splitter) = &mut call.event_splitter {
        // The stream resumes after the last complete event; the upstream sends a partial one again.
        event_splitter.discard_partial();
    } else if !begin_stream(handles, call, &head) {
        return AttemptResult::CallerGone;
    }
    let mut reservation = handles.buffers.reserve();
    let mut has_begun = false;
    loop {
        let mut bytes = Vec::new();
        let step = read_response_piece(&mut reader, &mut stream, &mut bytes);
        if !bytes.is_empty() {
            if !std::mem::replace(&mut has_begun, true) {
                record_run(handles, call);
            }
            call.progress = AttemptProgress::BodyReceived;
        }
        match send_events(handles, call, &bytes) {
            Ok(true) => {}
            Ok(false) => return AttemptResult::CallerGone,
            Err(_) => return ResponseFault::TooLarge.into(),
        }
        let pending = call.event_splitter.as_ref().map_or(0, EventSplitter::pending_bytes);
        if !reservation.resize_within_share(pending) {
            return ResponseFault::TooLarge.into();
        }
        match step {
            Ok(Some(end)) => {
                let end = end.with_position(event_position(call));
                if let Err(fault) = confirm_end(handles, call, pick, &mut stream, &upload, end) {
                    return fault.into();
                }
                call.progress = AttemptProgress::Complete;
                end_stream(call, true);
                if upload.is_complete() {
                    keep_connection(handles, pick, stream, &head);
                }
                return AttemptResult::Responded(AttemptOutcome::Served(time_to_head));
            }
            Ok(None) => {}
            Err(fault) => return fault.into(),
        }
        if let Err(error) = wait_for_bytes(&mut stream, &call.caller_stream, call.deadline) {
            return error.into();
        }
    }
}

fn observe_first_byte(handles: &CallHandles, call: &CallContext) {
    let elapsed = handles.clock.now().since(call.received);
    handles.metrics.first_byte_seconds.observe(elapsed.as_secs_f64());
}

/// Returns where the stream ends for the caller. One that resumes may be without further events.
fn event_position(call: &CallContext) -> EventPosition {
    call.event_splitter.as_ref().map_or(EventPosition::Start, EventSplitter::position)
}

/// Checks that a response which has ended is whole. Where only the end of the connection ends the body, it
/// may have been the end of the upstream, or the upstream may have stopped reading the request.
fn confirm_end(
    handles: &CallHandles,
    call: &CallContext,
    pick: &UpstreamPick,
    stream: &mut BufferedStream,
    upload: &RequestUpload,
    end: ResponseEnd,
) -> Result<(), ResponseFault> {
    let end = complete_request(end, stream, upload.rest(call.further_pieces()), call.deadline);
    match end.judge() {
        EndVerdict::Whole => Ok(()),
        EndVerdict::Broken(fault) => Err(fault.into()),
        EndVerdict::Unknown(fault) if !has_ended_whole(handles, call, pick) => Err(fault.into()),
        // The connection may have been reset meanwhile.
        EndVerdict::Unknown(_) if stream.is_lost() => Err(EndFault::Reset.into()),
        EndVerdict::Unknown(_) => Ok(()),
    }
}

fn keep_connection(
    handles: &CallHandles,
    pick: &UpstreamPick,
    stream: BufferedStream,
    head: &ResponseHead,
) {
    if head.keeps_connection() {
        handles.connections.release(pick.address, stream, head.keep_alive_timeout());
    }
}
