//! Filter: the request waits for an upstream and is sent.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Response;
use flume::Receiver;
use gentian_config::RouteKind;
use gentian_core::{EventCode, MonoTime, TimeSpan};
use gentian_decide::entry::{CallOutcome, WaitingCall};
use gentian_decide::request::{FilterOutcome, Refusal, RefusalCode};
use gentian_http::{CallError, HttpClient, HttpRequest};
use gentian_wire::{IDEMPOTENCY_KEY, REQUEST_ID};

use super::call_steps::{end_call, refuse_sent, refuse_unsent};
use super::{CallContext, CallHandles};
use crate::control::{CallAssignment, ControlEvent};

/// Wait past the deadline for the control thread's word.
const DECISION_SLACK: Duration = Duration::from_millis(500);
/// Shortest wait for a connection or a piece of an answer.
const SHORTEST_WAIT: TimeSpan = TimeSpan::from_millis(100);

/// Waits for an upstream and sends the request there; a request that was not written may go to
/// another one.
pub(super) fn send_call(
    handles: &CallHandles,
    call: &mut CallContext,
    now: MonoTime,
) -> FilterOutcome {
    let Some(waiting) = WaitingCall::new(&call.request, now) else {
        return FilterOutcome::Refuse(Refusal::new(RefusalCode::NotFound, "no route"));
    };
    let (reply, assignments) = flume::bounded(2);
    let event = ControlEvent::Admit { call: Box::new(waiting), reply };
    if handles.control.send(event).is_err() {
        return refuse_unsent(handles, call, stopping_refusal());
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
            CallAssignment::Refuse(refusal) => return refuse_unsent(handles, call, refusal),
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
    let left = call.request.deadline.since(handles.clock.now());
    let wait = Duration::from(left) + DECISION_SLACK;
    assignments.recv_timeout(wait).unwrap_or_else(|_| {
        // The control thread gives the tokens back when it learns that nobody waits.
        if handles.control.send(ControlEvent::Cancel(call.id())).is_err() {
            log::error!("the control thread ended before the traffic threads");
        }
        CallAssignment::Refuse(stopping_refusal())
    })
}

/// Makes one attempt; `None` if the request was not written and waits again.
fn attempt_call(
    handles: &CallHandles,
    call: &mut CallContext,
    address: SocketAddr,
) -> Option<FilterOutcome> {
    match call_upstream(handles, call, address) {
        Ok(response) if is_unserved(call, &response) => {
            note_retry(call, "the model is not loaded there");
            end_call(handles, call, CallOutcome::NotSent);
            None
        }
        Ok(response) if !is_own(call, &response) => {
            let message = "the upstream answered another request";
            let refusal = Refusal::new(RefusalCode::UpstreamFailed, message).with_unknown_run();
            Some(refuse_sent(handles, call, refusal))
        }
        Ok(response) => {
            call.response = Some(response);
            Some(FilterOutcome::Continue)
        }
        Err(CallError::NotSent(cause)) => {
            note_retry(call, &cause);
            end_call(handles, call, CallOutcome::NotSent);
            None
        }
        Err(CallError::Unknown(cause)) => {
            let message = format!("the upstream did not answer: {cause}");
            let refusal = Refusal::new(RefusalCode::UpstreamFailed, message).with_unknown_run();
            Some(refuse_sent(handles, call, refusal))
        }
    }
}

fn call_upstream(
    handles: &CallHandles,
    call: &CallContext,
    address: SocketAddr,
) -> Result<Response, CallError> {
    let Some(http) = &call.http else {
        return Err(CallError::NotSent("the caller has gone".into()));
    };
    let left = call.request.deadline.since(handles.clock.now()).max(SHORTEST_WAIT);
    let id = call.id().to_string();
    let mut headers = vec![(REQUEST_ID, id.as_str())];
    let passed = [("Content-Type", "Content-Type"), ("Accept", "Accept")];
    let passed = passed.into_iter().chain([(IDEMPOTENCY_KEY, IDEMPOTENCY_KEY)]);
    headers.extend(passed.filter_map(|(name, sent)| Some((sent, http.header(name)?))));
    let agent = HttpClient::new(address, left);
    agent.call(HttpRequest::method(http), &call.upstream_path(), &headers, &call.body)
}

/// Tells whether an engine says that it cannot run the request.
fn is_unserved(call: &CallContext, response: &Response) -> bool {
    let is_engine =
        call.request.route.as_ref().is_some_and(|route| route.kind == RouteKind::Engine);
    is_engine && matches!(response.status().as_u16(), 404 | 503)
}

fn is_own(call: &CallContext, response: &Response) -> bool {
    let echoed = response.headers().get(REQUEST_ID).and_then(|value| value.to_str().ok());
    !response.is_success() || echoed == Some(call.id().to_string().as_str())
}

fn note_retry(call: &CallContext, cause: &str) {
    let upstream = call.upstream.as_ref().map_or("-", |upstream| upstream.as_str());
    log::info!(
        "{} request={} upstream={upstream} cause={cause:?}",
        EventCode::REQUEST_RETRIED,
        call.id()
    );
}

fn stopping_refusal() -> Refusal {
    Refusal::new(RefusalCode::Overloaded, "no decision came in time; repeat later")
}
