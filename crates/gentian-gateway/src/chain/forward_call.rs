//! Filter: attempts at upstreams until one answers.

use std::time::Duration;

use gentian_core::{EventCode, MonoTime, TimeSpan};
use gentian_decide::request::{FilterOutcome, Refusal, RefusalCode};
use gentian_decide::serving::{AttemptOutcome, UpstreamPick};

use super::attempt::{AttemptResult, run_attempt};
use super::relay::{end_stream, send_answer};
use super::{CallContext, CallHandles};
use crate::control::{CallAssignment, ControlEvent};

/// Time between two looks at whether a caller that waits for an upstream is still there.
const CALLER_CHECK: Duration = Duration::from_millis(100);
/// Attempts that upstreams refuse without running, beside those that the route allows to run.
const UNRUN_ATTEMPTS: usize = 2;
/// Least time in which another attempt is worth making.
const RETRY_LEAST: TimeSpan = TimeSpan::from_millis(20);

enum Wait {
    Pick(UpstreamPick),
    Refused(Refusal),
    CallerGone,
}

/// Forwards the request and relays the answer.
pub(super) fn forward_call(handles: &CallHandles, call: &mut CallContext) -> FilterOutcome {
    loop {
        let pick = match wait_for_upstream(handles, call) {
            Wait::Pick(pick) => pick,
            Wait::Refused(refusal) => return give_up(handles, call, refusal),
            Wait::CallerGone => return note_gone(call),
        };
        log_routed(handles, call, &pick);
        let result = run_attempt(handles, call, &pick);
        let end = result.end();
        handles.metrics.attempts.with_label_values(&[end_name(end)]).inc();
        handles.tell(ControlEvent::EndAttempt(call.id, end));
        match result {
            AttemptResult::Answered(_) => return FilterOutcome::Responded,
            AttemptResult::CallerGone => return note_gone(call),
            AttemptResult::TimedOut => {
                let message = "the answer was not there in time";
                let refusal = Refusal::new(RefusalCode::DeadlineExceeded, message);
                return give_up(handles, call, refusal.with_unknown_run());
            }
            AttemptResult::Unrun(_, cause) => {
                call.tried.push(pick.upstream.clone());
                if !may_try_again(call, handles.clock.now()) {
                    return give_up(handles, call, refuse_unserved(call, &cause));
                }
                log_retry(call, &pick, &cause);
            }
            AttemptResult::Failed(_, cause) => {
                call.runs += 1;
                call.tried.push(pick.upstream.clone());
                let is_idempotent = call.route.as_ref().is_some_and(|it| it.kind.is_idempotent());
                if !is_idempotent || !may_try_again(call, handles.clock.now()) {
                    return give_up(handles, call, refuse_unserved(call, &cause));
                }
                log_retry(call, &pick, &cause);
            }
        }
    }
}

fn wait_for_upstream(handles: &CallHandles, call: &mut CallContext) -> Wait {
    let Some(serving) = call.serving_call() else {
        let message = "the route has no service";
        return Wait::Refused(Refusal::new(RefusalCode::NotFound, message));
    };
    let (reply, assignment) = flume::bounded(1);
    handles.tell(ControlEvent::Admit { call: Box::new(serving), reply });
    loop {
        match assignment.recv_timeout(CALLER_CHECK) {
            Ok(CallAssignment::Send(pick)) => {
                call.is_charged = true;
                return Wait::Pick(pick);
            }
            Ok(CallAssignment::Refuse(refusal)) => return Wait::Refused(refusal),
            Err(flume::RecvTimeoutError::Timeout) if call.client.is_peer_gone() => {
                handles.tell(ControlEvent::Cancel(call.id));
                return Wait::CallerGone;
            }
            Err(flume::RecvTimeoutError::Timeout) => {}
            Err(flume::RecvTimeoutError::Disconnected) => {
                let message = "the process is stopping; repeat the request";
                return Wait::Refused(Refusal::new(RefusalCode::Overloaded, message));
            }
        }
    }
}

fn may_try_again(call: &CallContext, now: MonoTime) -> bool {
    let Some(route) = &call.route else { return false };
    let allowed = route.max_attempts as usize + UNRUN_ATTEMPTS;
    call.runs < route.max_attempts
        && call.tried.len() < allowed
        && call.time_left(now) > RETRY_LEAST
}

/// Ends a request that no further attempt is made for.
fn give_up(handles: &CallHandles, call: &mut CallContext, refusal: Refusal) -> FilterOutcome {
    if call.events.is_some() {
        // The answer has begun: its end is left out, so that it does not look whole.
        end_stream(call, false);
        log::info!(
            "{} request={} cause={:?}",
            EventCode::REQUEST_BROKEN,
            call.marks.request_id,
            refusal.message
        );
        return FilterOutcome::Responded;
    }
    match call.held.take() {
        Some(held) => {
            send_answer(handles, call, &held.head, &held.body);
            FilterOutcome::Responded
        }
        None => FilterOutcome::Refuse(refusal),
    }
}

fn refuse_unserved(call: &CallContext, cause: &str) -> Refusal {
    if call.runs == 0 {
        return Refusal::new(RefusalCode::Overloaded, format!("no upstream ran it: {cause}"))
            .with_retry_after(TimeSpan::from_millis(300));
    }
    Refusal::new(RefusalCode::UpstreamFailed, cause.to_owned()).with_unknown_run()
}

fn note_gone(call: &mut CallContext) -> FilterOutcome {
    call.is_broken = true;
    log::info!("{} request={}", EventCode::CALLER_GONE, call.marks.request_id);
    FilterOutcome::Responded
}

fn log_routed(handles: &CallHandles, call: &CallContext, pick: &UpstreamPick) {
    let now = handles.clock.now();
    log::info!(
        "{} request={} route={} organisation={} cost={} target={} upstream={} address={} \
         candidates={} running={} unread={} config={} waited={} left={} tried={}",
        EventCode::REQUEST_ROUTED,
        call.marks.request_id,
        call.route.as_ref().map_or("-", |route| route.id.as_str()),
        call.organisation.as_ref().map_or("-", |share| share.spec.id.as_str()),
        call.cost(),
        call.marks.target.as_ref().map_or_else(|| "-".to_owned(), ToString::to_string),
        pick.upstream,
        pick.address,
        pick.candidates,
        pick.work.running,
        pick.work.pending_prefill_tokens,
        call.config.version,
        now.since(call.received),
        call.time_left(now),
        call.tried.len()
    );
}

fn log_retry(call: &CallContext, pick: &UpstreamPick, cause: &str) {
    log::info!(
        "{} request={} upstream={} runs={} cause={cause:?}",
        EventCode::REQUEST_RETRIED,
        call.marks.request_id,
        pick.upstream,
        call.runs
    );
}

fn end_name(end: AttemptOutcome) -> &'static str {
    match end {
        AttemptOutcome::Served(_) => "served",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::Rejected => "rejected",
        AttemptOutcome::Unreachable => "unreachable",
        AttemptOutcome::Broken => "broken",
        AttemptOutcome::Abandoned => "abandoned",
    }
}
