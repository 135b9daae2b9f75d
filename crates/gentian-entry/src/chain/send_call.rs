//! Filter that waits for an upstream and sends the request there.

use std::net::SocketAddr;
use std::time::Duration;

use flume::Receiver;
use gentian_config::RouteKind;
use gentian_core::{EventCode, MonoTime, TimeSpan};
use gentian_decide::entry::{CallOutcome, WaitingCall};
use gentian_decide::request::{FilterOutcome, Refusal, RefusalCode};
use gentian_http::{CallError, CallResponse, HttpClient, HttpRequest};
use gentian_wire::{IDEMPOTENCY_KEY, REQUEST_ID};

use super::call_completion::{refuse_not_run, refuse_possibly_run, report_outcome};
use super::{CallContext, CallHandles};
use crate::control::{CallAssignment, ControlEvent};

/// Kind of these calls in logs and metrics.
const CALL_NAME: &str = "request";
/// How long past the request's deadline to wait for the control thread's assignment.
const ASSIGNMENT_MARGIN: Duration = Duration::from_millis(500);
/// Shortest timeout of a connection attempt or of a read.
const MIN_TIMEOUT: TimeSpan = TimeSpan::from_millis(100);

/// Waits for an upstream and sends the request there. A request that did not run waits for another
/// assignment, which may name another upstream.
pub(super) fn send_call(
    handles: &CallHandles,
    call: &mut CallContext,
    now: MonoTime,
) -> FilterOutcome {
    let Some(waiting_call) = WaitingCall::new(&call.request, now) else {
        return FilterOutcome::Refuse(Refusal::new(RefusalCode::NotFound, "no route"));
    };
    let (reply, assignments) = flume::bounded(2);
    let event = ControlEvent::RequestUpstream { call: Box::new(waiting_call), reply };
    if handles.control.send(event).is_err() {
        return refuse_not_run(handles, call, no_assignment_refusal());
    }
    log::info!(
        "{} request={} route={} organisation={} cost={}",
        EventCode::REQUEST_ADMITTED,
        call.id(),
        call.request.route.as_ref().map_or("-", |route| route.id.as_str()),
        call.request.organisation.as_ref().map_or("-", |spec| spec.id.as_str()),
        call.request.cost
    );
    loop {
        match next_assignment(handles, call, &assignments) {
            CallAssignment::Refuse(refusal) => return refuse_not_run(handles, call, refusal),
            CallAssignment::Send { upstream, address } => {
                call.upstream = Some(upstream);
                if let Some(outcome) = attempt_call(handles, call, address) {
                    return outcome;
                }
            }
        }
    }
}

fn next_assignment(
    handles: &CallHandles,
    call: &CallContext,
    assignments: &Receiver<CallAssignment>,
) -> CallAssignment {
    let time_left = call.request.deadline.since(handles.clock.now());
    let wait = Duration::from(time_left) + ASSIGNMENT_MARGIN;
    assignments.recv_timeout(wait).unwrap_or_else(|_| {
        // The control thread releases the reserved tokens when it handles this event.
        if handles.control.send(ControlEvent::Cancel(call.id())).is_err() {
            log::error!("event dropped: the control thread ended before the traffic threads");
        }
        CallAssignment::Refuse(no_assignment_refusal())
    })
}

/// Makes one attempt; returns `None` if the request did not run and waits for another assignment.
fn attempt_call(
    handles: &CallHandles,
    call: &mut CallContext,
    address: SocketAddr,
) -> Option<FilterOutcome> {
    match call_upstream(handles, call, address) {
        Ok(response) if is_refused_by_engine(call, &response) => {
            log_retry(call, "the engine cannot serve the model now");
            report_outcome(handles, call, CallOutcome::NotExecuted);
            None
        }
        Ok(response) if !is_matching_response(call, &response) => {
            let message = "the upstream answered another request";
            let refusal = Refusal::new(RefusalCode::UpstreamFailed, message).with_unknown_run();
            Some(refuse_possibly_run(handles, call, refusal))
        }
        Ok(response) => {
            call.response = Some(response);
            Some(FilterOutcome::Continue)
        }
        Err(CallError::NotSent(cause)) => {
            log_retry(call, &cause);
            report_outcome(handles, call, CallOutcome::NotExecuted);
            None
        }
        Err(CallError::Unknown(cause)) => {
            let message = format!("the upstream did not answer: {cause}");
            let refusal = Refusal::new(RefusalCode::UpstreamFailed, message).with_unknown_run();
            Some(refuse_possibly_run(handles, call, refusal))
        }
    }
}

fn call_upstream(
    handles: &CallHandles,
    call: &CallContext,
    address: SocketAddr,
) -> Result<CallResponse, CallError> {
    let Some(http) = &call.http else {
        return Err(CallError::NotSent("the caller disconnected".into()));
    };
    let time_left = call.request.deadline.since(handles.clock.now()).max(MIN_TIMEOUT);
    let id = call.id().to_string();
    let mut headers = vec![(REQUEST_ID, id.as_str())];
    let forwarded = [("Content-Type", "Content-Type"), ("Accept", "Accept")];
    let forwarded = forwarded.into_iter().chain([(IDEMPOTENCY_KEY, IDEMPOTENCY_KEY)]);
    headers.extend(forwarded.filter_map(|(name, sent)| Some((sent, http.header(name)?))));
    let client = HttpClient::new(address, time_left)
        .with_response_log(handles.metrics.response_log(CALL_NAME));
    client.call_with_buffer(HttpRequest::method(http), &call.upstream_path(), &headers, &call.body)
}

/// Returns whether an engine refused the request without running it, with status 404 or 503.
fn is_refused_by_engine(call: &CallContext, response: &CallResponse) -> bool {
    let is_engine =
        call.request.route.as_ref().is_some_and(|route| route.kind == RouteKind::Engine);
    is_engine && matches!(response.status(), 404 | 503)
}

/// Returns whether the response belongs to this request: a successful one must echo the request id,
/// any other one is accepted without it.
fn is_matching_response(call: &CallContext, response: &CallResponse) -> bool {
    let echoed_id = response.header(REQUEST_ID);
    !response.is_success() || echoed_id == Some(call.id().to_string().as_str())
}

fn log_retry(call: &CallContext, cause: &str) {
    let upstream = call.upstream.as_ref().map_or("-", |upstream| upstream.as_str());
    log::info!(
        "{} request={} upstream={upstream} cause={cause:?}",
        EventCode::REQUEST_RETRIED,
        call.id()
    );
}

fn no_assignment_refusal() -> Refusal {
    Refusal::new(RefusalCode::Overloaded, "no decision came in time; repeat later")
}
