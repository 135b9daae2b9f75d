//! One attempt at one upstream.

use gentian_core::{MonoTime, TimeSpan};
use gentian_decide::serving::{AttemptOutcome, UpstreamPick};
use gentian_http::forward::{
    BodyFraming, BodyReader, BodyStep, PeerWait, ResponseHead, WireStream,
};

use super::call_context::HeldAnswer;
use super::relay::{begin_stream, end_stream, send_answer, send_events};
use super::{CallContext, CallHandles};
use crate::control::ControlEvent;
use crate::{ForwardMetadata, ResponseMetadata};

/// Longest wait for a connection.
const CONNECT_LIMIT: TimeSpan = TimeSpan::from_millis(400);
/// Largest answer that is not a stream, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;
/// Answers to other requests that are passed over on one connection.
const STRAY_LIMIT: u32 = 3;

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// The caller has the answer; the time to its first byte is given.
    Answered(AttemptOutcome),
    /// The caller left.
    CallerGone,
    /// The time was up.
    TimedOut,
    /// The upstream did not run the request.
    Unrun(AttemptOutcome, String),
    /// The upstream may have run the request, without an answer that could be handed on.
    Failed(AttemptOutcome, String),
}

/// Why waiting for an upstream ended without bytes.
enum Stop {
    CallerGone,
    TimedOut,
    Broken(String),
}

impl AttemptResult {
    /// Returns how the attempt counts for its upstream.
    pub(super) fn end(&self) -> AttemptOutcome {
        match self {
            Self::Answered(end) | Self::Unrun(end, _) | Self::Failed(end, _) => *end,
            Self::CallerGone | Self::TimedOut => AttemptOutcome::Abandoned,
        }
    }
}

impl From<Stop> for AttemptResult {
    fn from(stop: Stop) -> Self {
        match stop {
            Stop::CallerGone => Self::CallerGone,
            Stop::TimedOut => Self::TimedOut,
            Stop::Broken(cause) => Self::Failed(AttemptOutcome::Broken, cause),
        }
    }
}

/// Sends the request to the upstream and relays its answer.
pub(super) fn run_attempt(
    handles: &CallHandles,
    call: &mut CallContext,
    pick: &UpstreamPick,
) -> AttemptResult {
    let now = handles.clock.now();
    let limit = CONNECT_LIMIT.min(call.time_left(now));
    let mut stream = match handles.connections.take(pick.address, limit) {
        Ok(stream) => stream,
        Err(error) => {
            let cause = format!("no connection: {error}");
            return AttemptResult::Unrun(AttemptOutcome::Unreachable, cause);
        }
    };
    // A request may be read long after it was sent, and an attempt may come long after the first.
    if call.client.is_peer_gone() {
        return AttemptResult::CallerGone;
    }
    let bytes = request_bytes(handles, call, pick);
    let is_whole = match stream.write_request(&bytes, call.deadline) {
        Ok(is_whole) => is_whole,
        Err(error) => {
            return AttemptResult::Failed(
                AttemptOutcome::Broken,
                format!("not sent whole: {error}"),
            );
        }
    };
    let (head, marks) = match read_head(handles, call, &mut stream) {
        Ok(answer) => answer,
        Err(stop) => return stop.into(),
    };
    let first_byte = handles.clock.now().since(now);
    handles.tell(ControlEvent::Answer(call.id));
    let answer = Answer { head, marks, first_byte, is_whole };
    take_answer(handles, call, pick, stream, answer)
}

struct Answer {
    head: ResponseHead,
    marks: ResponseMetadata,
    first_byte: TimeSpan,
    is_whole: bool,
}

fn request_bytes(handles: &CallHandles, call: &CallContext, pick: &UpstreamPick) -> Vec<u8> {
    let route_rank = call.route.as_ref().map_or(0, |route| route.priority);
    let has_body = !call.body.is_empty() || call.head.headers.text("content-length").is_some();
    let added = ForwardMetadata {
        upstream: pick.upstream.clone(),
        timeout: call.time_left(handles.clock.now()),
        organisation: call.organisation.as_ref().map(|share| share.spec.id.clone()),
        priority: call.organisation.as_ref().and_then(|share| share.priority).unwrap_or(route_rank),
        resume_after: call.events.as_ref().and_then(|events| events.last_id()),
        body_bytes: has_body.then_some(call.body.len()),
    };
    let mut bytes = (handles.dialect.encode_request)(&call.head, &added).to_bytes();
    bytes.extend_from_slice(&call.body);
    bytes
}

/// Reads heads until one answers this request: an answer to another one may come late.
fn read_head(
    handles: &CallHandles,
    call: &CallContext,
    stream: &mut WireStream,
) -> Result<(ResponseHead, ResponseMetadata), Stop> {
    let mut strays = 0;
    loop {
        let parsed = ResponseHead::parse(stream.buffered());
        match parsed.map_err(|error| Stop::Broken(error.to_string()))? {
            None => wait_bytes(stream, &call.client, call.deadline)?,
            Some((head, length)) => {
                stream.consume(length);
                if (100..200).contains(&head.status) {
                    continue;
                }
                let marks = (handles.dialect.decode_response)(&head);
                let is_stray =
                    marks.request_id.as_ref().is_some_and(|it| *it != call.marks.request_id);
                if !is_stray {
                    return Ok((head, marks));
                }
                strays += 1;
                if strays > STRAY_LIMIT {
                    return Err(Stop::Broken("answers to other requests".to_owned()));
                }
                read_body(call, stream, &head)?;
            }
        }
    }
}

fn take_answer(
    handles: &CallHandles,
    call: &mut CallContext,
    pick: &UpstreamPick,
    mut stream: WireStream,
    answer: Answer,
) -> AttemptResult {
    let Answer { head, marks, first_byte, is_whole } = answer;
    let is_success = (200..300).contains(&head.status);
    if is_success && !marks.is_signed {
        let cause = "a success without a signature".to_owned();
        return AttemptResult::Failed(AttemptOutcome::Broken, cause);
    }
    let is_stream = call.route.as_ref().is_some_and(|route| route.kind.is_stream());
    if is_success && is_stream && !marks.is_not_executed {
        handles.metrics.first_byte.observe(handles.clock.now().since(call.received).as_secs_f64());
        let result = relay_stream(handles, call, &mut stream, &head, first_byte);
        if matches!(result, AttemptResult::Answered(_)) && is_whole {
            keep(handles, pick, stream, &head);
        }
        return result;
    }
    let body = match read_body(call, &mut stream, &head) {
        Ok(body) => body,
        Err(stop) => return stop.into(),
    };
    if is_whole {
        keep(handles, pick, stream, &head);
    }
    if marks.is_not_executed {
        let cause = format!("refused with status {}", head.status);
        return AttemptResult::Unrun(AttemptOutcome::Rejected, cause);
    }
    if head.status >= 500 || call.events.is_some() {
        let cause = format!("failed with status {}", head.status);
        if call.events.is_none() {
            call.held = Some(HeldAnswer { head, body });
        }
        return AttemptResult::Failed(AttemptOutcome::Failed, cause);
    }
    handles.metrics.first_byte.observe(handles.clock.now().since(call.received).as_secs_f64());
    send_answer(handles, call, &head, &body);
    AttemptResult::Answered(AttemptOutcome::Served(first_byte))
}

fn relay_stream(
    handles: &CallHandles,
    call: &mut CallContext,
    stream: &mut WireStream,
    head: &ResponseHead,
    first_byte: TimeSpan,
) -> AttemptResult {
    let framing = match BodyFraming::of_response(head.status, &head.headers) {
        Ok(framing) => framing,
        Err(error) => return Stop::Broken(error.to_string()).into(),
    };
    if let Some(events) = &mut call.events {
        // The stream goes on behind the last whole event; a part of the next one is made anew.
        events.drop_partial();
    } else if !begin_stream(handles, call, head) {
        return AttemptResult::CallerGone;
    }
    let mut reader = BodyReader::new(framing);
    loop {
        let mut bytes = Vec::new();
        let step = reader.take_buffered(stream, &mut bytes);
        if !send_events(handles, call, &bytes) {
            return AttemptResult::CallerGone;
        }
        match step {
            Ok(BodyStep::End) => {
                end_stream(call, true);
                return AttemptResult::Answered(AttemptOutcome::Served(first_byte));
            }
            Ok(BodyStep::More) => {}
            Err(error) => return Stop::Broken(error.to_string()).into(),
        }
        if let Err(stop) = wait_bytes(stream, &call.client, call.deadline) {
            return stop.into();
        }
    }
}

fn read_body(
    call: &CallContext,
    stream: &mut WireStream,
    head: &ResponseHead,
) -> Result<Vec<u8>, Stop> {
    let broken = |error: &dyn std::fmt::Display| Stop::Broken(error.to_string());
    let framing = match call.head.method.as_str() {
        "HEAD" => BodyFraming::Length(0),
        _ => BodyFraming::of_response(head.status, &head.headers).map_err(|it| broken(&it))?,
    };
    let mut reader = BodyReader::new(framing);
    let mut body = Vec::new();
    loop {
        let step = reader.take_buffered(stream, &mut body).map_err(|error| broken(&error))?;
        if step == BodyStep::End {
            return Ok(body);
        }
        if body.len() > ANSWER_LIMIT {
            return Err(Stop::Broken("the answer is too large".to_owned()));
        }
        wait_bytes(stream, &call.client, call.deadline)?;
    }
}

/// Waits for bytes of the upstream, or for the end of its side, while the caller is there.
fn wait_bytes(
    stream: &mut WireStream,
    client: &WireStream,
    deadline: MonoTime,
) -> Result<(), Stop> {
    loop {
        match stream.read_more() {
            Ok(0) if stream.buffered().is_empty() => {
                return Err(Stop::Broken("the connection ended".to_owned()));
            }
            Ok(_) => return Ok(()),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(Stop::Broken(error.to_string())),
        }
        match stream.wait_beside(client, deadline) {
            Ok(PeerWait::Ready) => {}
            Ok(PeerWait::OtherGone) => return Err(Stop::CallerGone),
            Ok(PeerWait::TimedOut) => return Err(Stop::TimedOut),
            Err(error) => return Err(Stop::Broken(error.to_string())),
        }
    }
}

fn keep(handles: &CallHandles, pick: &UpstreamPick, stream: WireStream, head: &ResponseHead) {
    if head.keeps_connection() {
        handles.connections.keep(pick.address, stream, head.keep_alive());
    }
}
