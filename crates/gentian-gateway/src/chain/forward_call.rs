//! Filter that tries upstreams until one of them responds.

use std::time::Duration;

use gentian_core::{EventCode, MonoTime, TimeSpan, WorkId};
use gentian_decide::request::{FilterOutcome, Refusal, RefusalCode};
use gentian_decide::serving::{AttemptEnd, AttemptOutcome, AttemptProgress, UpstreamPick};
use gentian_http::forward::ResponseError;

use super::attempt::{AttemptResult, run_attempt};
use super::relay::{end_stream, send_response};
use super::upstream_probe::{has_upstream_ended, is_refusing};
use super::{CallContext, CallHandles};
use crate::control::{CallAssignment, ControlEvent};

/// Kind of these calls in logs and metrics.
const CALL_NAME: &str = "request";
/// Interval between checks whether a caller that waits for an upstream is still connected.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of attempts that are allowed in addition to the route's maximum, since upstreams may
/// refuse some without executing the request.
const EXTRA_ATTEMPTS: usize = 2;
/// Time from the head of an answer during which its request may be the cause of the end of the
/// upstream, even if some of the body has arrived.
const JUST_BEGUN_TIME: TimeSpan = TimeSpan::from_millis(250);
/// Time that must be left for another attempt to be worth making.
const MIN_RETRY_TIME: TimeSpan = TimeSpan::from_millis(20);

/// How the wait for an upstream ended.
enum AssignmentResult {
    Pick(UpstreamPick),
    Refused(Refusal),
    CallerGone,
}

/// Forwards the request to an upstream and relays the response.
pub(super) fn forward_call(handles: &CallHandles, call: &mut CallContext) -> FilterOutcome {
    loop {
        let pick = match wait_for_upstream(handles, call) {
            AssignmentResult::Pick(pick) => pick,
            AssignmentResult::Refused(refusal) => return finish_unserved(handles, call, refusal),
            AssignmentResult::CallerGone => return handle_caller_gone(call),
        };
        log_routed(handles, call, &pick);
        let sent = handles.clock.now();
        let result = run_attempt(handles, call, &pick);
        let outcome = result.outcome();
        handles.metrics.attempts.with_label_values(&[outcome_name(outcome)]).inc();
        let end = end_attempt(handles, call, &pick, outcome, sent);
        handles.send_event(ControlEvent::EndAttempt(end));
        match result {
            AttemptResult::Responded(_) => return FilterOutcome::Responded,
            AttemptResult::CallerGone => return handle_caller_gone(call),
            AttemptResult::TimedOut => {
                let message = "the answer was not there in time";
                let refusal = Refusal::new(RefusalCode::DeadlineExceeded, message);
                return finish_unserved(handles, call, refusal.with_unknown_run());
            }
            AttemptResult::OutOfDate => log_retry(call, &pick, "the selection is out of date"),
            AttemptResult::Restarted => log_retry(call, &pick, "the upstream has started again"),
            AttemptResult::NotExecuted(_, cause) => {
                call.tried.push(pick.upstream.clone());
                if !may_retry(call, handles.clock.now()) {
                    return finish_unserved(handles, call, unserved_refusal(call, &cause));
                }
                log_retry(call, &pick, &cause);
            }
            AttemptResult::Failed(_, cause) => {
                if let Some(outcome) = handle_failure(handles, call, &pick, &end, &cause) {
                    return outcome;
                }
            }
            AttemptResult::Invalid(fault) => {
                handles.metrics.response_log(CALL_NAME).record(&pick.upstream, fault);
                let cause = ResponseError::Invalid(fault).to_string();
                if let Some(outcome) = handle_failure(handles, call, &pick, &end, &cause) {
                    return outcome;
                }
            }
        }
    }
}

/// Ends a request that an upstream may have executed, unless it may be repeated: then returns `None`.
fn handle_failure(
    handles: &CallHandles,
    call: &mut CallContext,
    pick: &UpstreamPick,
    end: &AttemptEnd,
    cause: &str,
) -> Option<FilterOutcome> {
    call.possible_executions += 1;
    call.tried.push(pick.upstream.clone());
    let is_idempotent = call.route.as_ref().is_some_and(|route| route.kind.is_idempotent());
    let is_repeatable = is_idempotent && !is_likely_cause(end);
    if !is_repeatable || !may_retry(call, handles.clock.now()) {
        return Some(finish_unserved(handles, call, unserved_refusal(call, cause)));
    }
    log_retry(call, pick, cause);
    None
}

/// Returns how the attempt ended; if its connection broke, logs it and finds out whether the upstream
/// ended.
fn end_attempt(
    handles: &CallHandles,
    call: &mut CallContext,
    pick: &UpstreamPick,
    outcome: AttemptOutcome,
    sent: MonoTime,
) -> AttemptEnd {
    let elapsed = handles.clock.now().since(sent);
    let mut end = AttemptEnd {
        id: call.id,
        outcome,
        progress: call.progress,
        has_upstream_ended: false,
        running: elapsed,
        request: None,
    };
    if outcome == AttemptOutcome::Broken {
        end.request = Some(call.identify());
        end.has_upstream_ended = is_early(call, elapsed)
            && match call.progress {
                AttemptProgress::HeadReceived => has_upstream_ended(handles, pick, true),
                // Plain services end their answers soon after they begin them, so this is all that
                // shows which request may be the cause.
                _ if call.metadata.prompt_prefix.is_empty() => {
                    has_upstream_ended(handles, pick, false)
                }
                // The request is a weak suspect only, and may soon be served elsewhere.
                _ => is_refusing(handles, pick),
            };
        // The check may have taken a while.
        end.running = handles.clock.now().since(sent);
        log_broken(call, pick, &end, elapsed);
    }
    end
}

/// Returns whether the answer had not begun yet, or just begun.
fn is_early(call: &CallContext, elapsed: TimeSpan) -> bool {
    match call.progress {
        AttemptProgress::Sent | AttemptProgress::HeadReceived => true,
        AttemptProgress::BodyReceived => {
            elapsed.saturating_sub(call.time_to_head) < JUST_BEGUN_TIME
        }
        AttemptProgress::Unsent | AttemptProgress::Complete => false,
    }
}

/// Returns whether the request is the likely cause of the end of its upstream. It is not sent to
/// another one then, which might end as well.
fn is_likely_cause(end: &AttemptEnd) -> bool {
    end.has_upstream_ended && end.progress == AttemptProgress::HeadReceived
}

fn wait_for_upstream(handles: &CallHandles, call: &mut CallContext) -> AssignmentResult {
    if handles.view.load().has_suspects {
        call.identify();
    }
    let Some(serving) = call.serving_call(handles.clock.now()) else {
        let message = "the route has no service";
        return AssignmentResult::Refused(Refusal::new(RefusalCode::NotFound, message));
    };
    let (reply, assignment) = flume::bounded(1);
    handles.send_event(ControlEvent::Admit { call: Box::new(serving), reply });
    loop {
        match assignment.recv_timeout(CALLER_CHECK_INTERVAL) {
            Ok(CallAssignment::Send(pick)) => {
                call.is_charged = true;
                return AssignmentResult::Pick(pick);
            }
            Ok(CallAssignment::Refuse(refusal)) => return AssignmentResult::Refused(refusal),
            Err(flume::RecvTimeoutError::Timeout) if call.caller_stream.is_peer_closed() => {
                handles.send_event(ControlEvent::Cancel(call.id));
                return AssignmentResult::CallerGone;
            }
            Err(flume::RecvTimeoutError::Timeout) => {}
            Err(flume::RecvTimeoutError::Disconnected) => {
                let message = "the process is stopping; repeat the request";
                return AssignmentResult::Refused(Refusal::new(RefusalCode::Overloaded, message));
            }
        }
    }
}

fn may_retry(call: &CallContext, now: MonoTime) -> bool {
    let Some(route) = &call.route else { return false };
    let allowed = route.max_attempts as usize + EXTRA_ATTEMPTS;
    call.possible_executions < route.max_attempts
        && call.tried.len() < allowed
        && call.time_left(now) > MIN_RETRY_TIME
}

/// Ends a request for which no further attempt is made.
fn finish_unserved(
    handles: &CallHandles,
    call: &mut CallContext,
    refusal: Refusal,
) -> FilterOutcome {
    if call.event_splitter.is_some() {
        // The response has begun. Its end is left out so that the caller sees that it is
        // incomplete.
        end_stream(call, false);
        log::info!(
            "{} request={} cause={:?}",
            EventCode::REQUEST_BROKEN,
            call.metadata.request_id,
            refusal.message
        );
        return FilterOutcome::Responded;
    }
    match call.saved_response.take() {
        Some(saved_response) => {
            send_response(handles, call, &saved_response.head, &saved_response.body);
            FilterOutcome::Responded
        }
        None => FilterOutcome::Refuse(refusal),
    }
}

fn unserved_refusal(call: &CallContext, cause: &str) -> Refusal {
    if call.possible_executions == 0 {
        return Refusal::new(RefusalCode::Overloaded, format!("no upstream ran it: {cause}"))
            .with_retry_after(TimeSpan::from_millis(300));
    }
    Refusal::new(RefusalCode::UpstreamFailed, cause.to_owned()).with_unknown_run()
}

fn handle_caller_gone(call: &mut CallContext) -> FilterOutcome {
    call.is_connection_broken = true;
    log::info!("{} request={}", EventCode::CALLER_GONE, call.metadata.request_id);
    FilterOutcome::Responded
}

fn log_routed(handles: &CallHandles, call: &CallContext, pick: &UpstreamPick) {
    let now = handles.clock.now();
    handles.metrics.prompt_tokens.inc_by(call.metadata.tokens.map_or(0, |it| u64::from(it.0)));
    handles.metrics.held_prompt_tokens.inc_by(u64::from(pick.estimate.held_tokens));
    log::info!(
        "{} request={} route={} organisation={} cost={} target={} upstream={} address={} \
         version={} after={} candidates={} running={} unread={} limit={} {} config={} waited={} left={} tried={}",
        EventCode::REQUEST_ROUTED,
        call.metadata.request_id,
        call.route.as_ref().map_or("-", |route| route.id.as_str()),
        call.organisation.as_ref().map_or("-", |organisation| organisation.spec.id.as_str()),
        call.cost(),
        call.metadata.target.as_ref().map_or_else(|| "-".to_owned(), ToString::to_string),
        pick.upstream,
        pick.address,
        pick.version.as_ref().map_or_else(|| "-".to_owned(), ToString::to_string),
        call.resume_event().map_or_else(|| "-".to_owned(), |event| event.to_string()),
        pick.candidates,
        pick.work.running,
        pick.work.pending_prefill_tokens,
        pick.limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string()),
        pick.estimate,
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
        call.metadata.request_id,
        pick.upstream,
        call.possible_executions
    );
}

/// Logs an attempt whose connection broke. The parts of the prompt show which requests have one in
/// common that ends upstreams, and the digest which are repeats of one request.
fn log_broken(call: &CallContext, pick: &UpstreamPick, end: &AttemptEnd, elapsed: TimeSpan) {
    let parts: Vec<String> = call
        .metadata
        .prompt_prefix
        .iter()
        .map(|(part, _)| WorkId::of_part(*part).to_string())
        .collect();
    log::info!(
        "{} request={} upstream={} progress={} ended={} after={elapsed} work={} parts={}",
        EventCode::ATTEMPT_BROKEN,
        call.metadata.request_id,
        pick.upstream,
        end.progress,
        end.has_upstream_ended,
        end.request.map_or_else(|| "-".to_owned(), |request| request.to_string()),
        parts.join(",")
    );
}

fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Served(_) => "served",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::Rejected => "rejected",
        AttemptOutcome::Unreachable => "unreachable",
        AttemptOutcome::Broken => "broken",
        AttemptOutcome::Invalid => "invalid",
        AttemptOutcome::Abandoned => "abandoned",
    }
}
