//! Serves the requests on one caller's connection.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use gentian_config::serving::CallerLimits;
use gentian_core::{EventCode, MonoTime, RequestId, TimeSpan};
use gentian_decide::request::{FilterChain, FilterOutcome, Refusal};
use gentian_http::forward::{
    BodyAdmission, BodyBuffer, BodyError, BodyFraming, BufferedStream, HeadError, RequestHead,
    ResponseHead, admit_body, read_body_into,
};
use gentian_process::{refusal_body, refusal_status};

use super::body_refusal::{record_late_body, refuse_body};
use crate::chain::{CallContext, CallHandles};

/// Interval between checks at an idle connection whether the process is stopping.
const STOP_CHECK_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);
/// How long to read and discard bytes that still arrive after the write side was closed, so that
/// the caller can read the response.
const LINGER_TIME: TimeSpan = TimeSpan::from_millis(500);
/// Longest time to write a refusal to the caller.
const WRITE_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// State that all caller sessions share.
pub(crate) struct SessionContext {
    /// Handles for the filters.
    pub(crate) handles: CallHandles,
    /// The filter chain.
    pub(crate) chain: FilterChain<CallContext>,
    /// Id of the next request.
    pub(crate) next_id: AtomicU64,
    /// Set once the process has received a stop signal; connections then close after the next
    /// response.
    pub(crate) stopping: Arc<AtomicBool>,
    /// When idle connections are closed, set once the process has received a stop signal.
    pub(crate) idle_close_time: Arc<OnceLock<MonoTime>>,
}

/// Result of reading the next request.
enum NextRequest {
    Request(RequestHead, BodyBuffer, MonoTime),
    /// The connection must be closed without a response.
    Close,
    /// The request cannot be read: send this status and close the connection.
    Unreadable(u16),
    /// There is no room for the body: send the refusal and close the connection.
    Refused(RequestHead, Refusal),
}

/// Serves the requests on `stream` until either side closes it.
pub(crate) fn serve_caller(context: &SessionContext, mut stream: BufferedStream) {
    loop {
        match read_request(context, &mut stream) {
            NextRequest::Request(head, body, received) => {
                match serve_request(context, stream, head, body, received) {
                    Some(kept) => stream = kept,
                    None => return,
                }
            }
            NextRequest::Close => {
                stream.close_gracefully(LINGER_TIME);
                return;
            }
            NextRequest::Unreadable(status) => {
                log::info!("{} request=- status={status}", EventCode::REQUEST_REFUSED);
                let head = ResponseHead::new(status)
                    .with_header("Content-Length", "0")
                    .with_header("Connection", "close");
                let deadline = context.handles.clock.now() + WRITE_TIMEOUT;
                if let Err(error) = stream.write_all(&head.to_bytes(), deadline) {
                    log::debug!("cannot send a refusal: {error}");
                }
                stream.close_gracefully(LINGER_TIME);
                return;
            }
            NextRequest::Refused(head, refusal) => {
                refuse_unread(context, stream, &head, &refusal);
                return;
            }
        }
    }
}

fn caller_limits(context: &SessionContext) -> CallerLimits {
    context.handles.view.load().config.as_ref().map(|config| config.limits).unwrap_or_default()
}

fn read_request(context: &SessionContext, stream: &mut BufferedStream) -> NextRequest {
    if !wait_for_request(context, stream) {
        return NextRequest::Close;
    }
    let limits = caller_limits(context);
    let received = context.handles.clock.now();
    let deadline = received + limits.request_timeout;
    let head = loop {
        match RequestHead::parse(stream.buffered(), limits.max_header_bytes) {
            Ok(Some((head, length))) => {
                stream.consume(length);
                break head;
            }
            Ok(None) => match stream.fill(deadline) {
                Ok(0) => return NextRequest::Close,
                Ok(_) => {}
                Err(error) if error.kind() == std::io::ErrorKind::TimedOut => {
                    return NextRequest::Unreadable(408);
                }
                Err(_) => return NextRequest::Close,
            },
            Err(HeadError::TooLarge) => return NextRequest::Unreadable(431),
            Err(HeadError::Malformed) => return NextRequest::Unreadable(400),
        }
    };
    let Ok(framing) = BodyFraming::of_request(&head.headers) else {
        return NextRequest::Unreadable(400);
    };
    // Nothing of a body over the limit is read, and none waits for room.
    if matches!(framing, BodyFraming::Length(length) if length > limits.max_body_bytes as u64) {
        return NextRequest::Unreadable(413);
    }
    let CallHandles { buffers, clock, .. } = &context.handles;
    let (mut body, waited) = match admit_body(buffers, stream, framing, deadline, *clock) {
        BodyAdmission::Admitted(body, waited) => (body, waited),
        BodyAdmission::CallerGone => return NextRequest::Close,
        BodyAdmission::TooLarge => return NextRequest::Unreadable(413),
        BodyAdmission::Full => {
            let refusal = refuse_body(&context.handles, framing, limits.request_timeout);
            return NextRequest::Refused(head, refusal);
        }
    };
    let deadline = deadline + waited;
    if head.expects_continue() && framing != BodyFraming::Length(0) {
        let interim_response = b"HTTP/1.1 100 Continue\r\n\r\n";
        if stream.write_all(interim_response, deadline).is_err() {
            return NextRequest::Close;
        }
    }
    match read_body_into(stream, framing, limits.max_body_bytes, deadline, &mut body) {
        Ok(()) => NextRequest::Request(head, body, received),
        Err(BodyError::NoRoom) => {
            // What had arrived is released before the refusal is sent.
            drop(body);
            let refusal = refuse_body(&context.handles, framing, limits.request_timeout);
            NextRequest::Refused(head, refusal)
        }
        Err(BodyError::TooLarge) => NextRequest::Unreadable(413),
        Err(BodyError::Malformed) => NextRequest::Unreadable(400),
        Err(BodyError::Failed(error)) if error.kind() == std::io::ErrorKind::TimedOut => {
            record_late_body(&context.handles, &body);
            NextRequest::Unreadable(408)
        }
        Err(BodyError::Truncated | BodyError::Failed(_)) => NextRequest::Close,
    }
}

/// Waits for the first byte of a request; returns `false` if the connection must be closed.
fn wait_for_request(context: &SessionContext, stream: &mut BufferedStream) -> bool {
    let clock = context.handles.clock;
    let idle_until = clock.now() + caller_limits(context).idle_timeout;
    while stream.buffered().is_empty() {
        let now = clock.now();
        let close_time = context.idle_close_time.get().copied();
        let end = close_time.map_or(idle_until, |close_time| close_time.min(idle_until));
        if now >= end {
            return false;
        }
        match stream.fill(end.min(now + STOP_CHECK_INTERVAL)) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::TimedOut => {}
            Err(_) => return false,
        }
    }
    true
}

/// Runs the filter chain for a request; returns the connection if it stays open.
fn serve_request(
    context: &SessionContext,
    stream: BufferedStream,
    head: RequestHead,
    body: BodyBuffer,
    received: MonoTime,
) -> Option<BufferedStream> {
    let handles = &context.handles;
    let id = RequestId::new(context.next_id.fetch_add(1, Ordering::Relaxed));
    let metadata = (handles.codec.decode_request)(&head);
    let mut call = CallContext::new(id, head, body, metadata, stream, received);
    call.closes_connection |= context.stopping.load(Ordering::Acquire);
    handles.metrics.open_requests.inc();
    let outcome = context.chain.run(&mut call, || handles.clock.now());
    handles.metrics.open_requests.dec();
    record_outcome(context, &call, &outcome);
    if let FilterOutcome::Refuse(refusal) = outcome {
        send_refusal(context, &mut call, &refusal);
    }
    match (call.is_connection_broken, call.closes_connection) {
        (true, _) => None,
        (false, true) => {
            call.caller_stream.close_gracefully(LINGER_TIME);
            None
        }
        (false, false) => Some(call.caller_stream),
    }
}

fn record_outcome(context: &SessionContext, call: &CallContext, outcome: &FilterOutcome) {
    let route = call.route.as_ref().map_or("-", |route| route.id.as_str());
    let outcome = match outcome {
        FilterOutcome::Refuse(refusal) => refusal.code.to_string(),
        FilterOutcome::Responded | FilterOutcome::Continue => "answered".to_owned(),
    };
    context.handles.metrics.requests.with_label_values(&[route, outcome.as_str()]).inc();
}

fn send_refusal(context: &SessionContext, call: &mut CallContext, refusal: &Refusal) {
    let clock = context.handles.clock;
    let status = refusal_status(refusal.code);
    log::info!(
        "{} request={} route={} status={status} code={} run={} config={} after={} cause={:?}",
        EventCode::REQUEST_REFUSED,
        call.metadata.request_id,
        call.route.as_ref().map_or("-", |route| route.id.as_str()),
        refusal.code,
        refusal.run,
        call.config.version,
        clock.now().since(call.received),
        refusal.message
    );
    let bytes = encode_refusal(&call.metadata.request_id, refusal, call.closes_connection);
    if let Err(error) = call.caller_stream.write_all(&bytes, clock.now() + WRITE_TIMEOUT) {
        log::debug!("cannot send a refusal: {error}");
        call.is_connection_broken = true;
    }
}

/// Refuses a request whose body isn't read, and closes the connection.
fn refuse_unread(
    context: &SessionContext,
    mut stream: BufferedStream,
    head: &RequestHead,
    refusal: &Refusal,
) {
    let handles = &context.handles;
    let request_id = (handles.codec.decode_request)(head).request_id;
    log::info!(
        "{} request={request_id} route=- status={} code={} run={} cause={:?}",
        EventCode::REQUEST_REFUSED,
        refusal_status(refusal.code),
        refusal.code,
        refusal.run,
        refusal.message
    );
    handles.metrics.requests.with_label_values(&["-", &refusal.code.to_string()]).inc();
    let bytes = encode_refusal(&request_id, refusal, true);
    if let Err(error) = stream.write_all(&bytes, handles.clock.now() + WRITE_TIMEOUT) {
        log::debug!("cannot send a refusal: {error}");
    }
    stream.close_gracefully(LINGER_TIME);
}

fn encode_refusal(request_id: &str, refusal: &Refusal, closes_connection: bool) -> Vec<u8> {
    let body = refusal_body(request_id, refusal);
    let mut head = ResponseHead::new(refusal_status(refusal.code))
        .with_header("Content-Type", "application/json")
        .with_header("Content-Length", body.len().to_string());
    if let Some(wait) = refusal.retry_after {
        head.headers.push("Retry-After", format!("{:.3}", wait.as_secs_f64()));
    }
    if closes_connection {
        head.headers.push("Connection", "close");
    }
    let mut bytes = head.to_bytes();
    bytes.extend_from_slice(&body);
    bytes
}
