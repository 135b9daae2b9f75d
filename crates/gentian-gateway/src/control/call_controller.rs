//! Controllers of the requests of traffic threads and their assignments to upstreams.

use gentian_core::peer::FleetMessage;
use gentian_core::{EventCode, MonoTime, RequestId, RequestRate};
use gentian_decide::selection::LoadReading;
use gentian_decide::serving::{ScheduleDecision, ServingCall, UpstreamNotice};

use super::fleet_broadcast::{broadcast, broadcast_once};
use super::permit_controller::log_limit;
use super::quarantine_controller::{check_quarantine, record_attempt_end};
use super::take_up_controller::{check_take_up, record_begin};
use super::{CallAssignment, ControlEvent, ControlState};

/// Handles events of traffic threads.
pub(super) fn handle_calls(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    match event {
        ControlEvent::Admit { call, reply } => {
            if let Some(refusal) = check_quarantine(state, call, now) {
                send_assignment(reply, CallAssignment::Refuse(refusal));
                return;
            }
            let call = (**call).clone();
            match call.is_resuming {
                true => check_take_up(state, call, reply, now),
                false => admit_call(state, call, reply, now),
            }
        }
        ControlEvent::Head { id, request_limit, is_success, load, notices } => {
            state.scheduler.record_response_start(*id, &mut state.table, now);
            if let Some(reading) = load {
                record_load(state, *id, *reading, now);
            }
            if *is_success {
                record_begin(state, *id, now);
            }
            for notice in notices {
                record_notice(state, *id, *notice, now);
            }
            let limit = request_limit.map(Some).or(is_success.then_some(None));
            if let Some(limit) = limit {
                record_limit(state, *id, limit, now);
            }
        }
        ControlEvent::EndAttempt(end) => {
            let ended = state.scheduler.end_attempt(end.id, end.outcome, &mut state.table, now);
            if let Some((call, upstream)) = ended {
                record_attempt_end(state, &call, upstream, end, now);
            }
        }
        ControlEvent::Cancel(id) => {
            state.assignment_senders.remove(id);
            state.scheduler.cancel(*id, &mut state.table, now);
        }
        _ => {}
    }
}

/// Queues a request, or refuses it.
pub(super) fn admit_call(
    state: &mut ControlState,
    call: ServingCall,
    reply: &flume::Sender<CallAssignment>,
    now: MonoTime,
) {
    let id = call.id;
    match state.scheduler.admit(call, now) {
        Ok(()) => {
            state.assignment_senders.insert(id, reply.clone());
        }
        Err(refusal) => {
            send_assignment(reply, CallAssignment::Refuse(refusal));
        }
    }
}

/// Records what the response to a request says about its upstream, and logs it if it is new.
fn record_notice(state: &mut ControlState, id: RequestId, notice: UpstreamNotice, now: MonoTime) {
    if let Some(upstream) = state.scheduler.record_notice(id, notice, &mut state.table, now) {
        log::info!("{} upstream={upstream} {notice}", EventCode::UPSTREAM_NOTICE);
    }
}

/// Records the load that the response to a request reports, and logs the first one of an upstream.
fn record_load(state: &mut ControlState, id: RequestId, reading: LoadReading, now: MonoTime) {
    let Some(upstream) = state.scheduler.record_load(id, reading, &mut state.table) else { return };
    log::info!("{} upstream={upstream} load={}", EventCode::LOAD_REPORTED, reading.load);
    let reporting = i64::try_from(state.table.reporting_count(now)).unwrap_or(i64::MAX);
    state.metrics.reporting_upstreams.set(reporting);
}

/// Records the limit that the response to a request names, if any, and logs a change.
fn record_limit(
    state: &mut ControlState,
    id: RequestId,
    limit: Option<RequestRate>,
    now: MonoTime,
) {
    let Some(upstream) = state.scheduler.record_limit(id, limit, &mut state.table, now) else {
        return;
    };
    if let Some(notice) = state.table.limit_notice(&upstream) {
        broadcast(state, FleetMessage::Limit(notice), now);
    }
    log_limit(state, &upstream, limit, "response");
}

/// Sends traffic threads the assignments and refusals that are due.
pub(super) fn start_calls(state: &mut ControlState, _event: &ControlEvent, now: MonoTime) {
    let decisions = state.scheduler.decide(&mut state.table, &mut state.quarantine, now);
    for claim in state.quarantine.take_claims() {
        broadcast_once(state, &FleetMessage::Claim(claim));
    }
    for decision in decisions {
        let (id, assignment) = match decision {
            ScheduleDecision::Send(id, pick) => (id, CallAssignment::Send(pick)),
            ScheduleDecision::Refuse(id, refusal) => (id, CallAssignment::Refuse(refusal)),
        };
        if let Some(reply) = state.assignment_senders.remove(&id) {
            send_assignment(&reply, assignment);
        }
    }
}

pub(super) fn send_assignment(reply: &flume::Sender<CallAssignment>, assignment: CallAssignment) {
    // The traffic thread stops waiting when its caller closes the connection; it cancels the
    // request in that case.
    if reply.send(assignment).is_err() {
        log::debug!("{} cause=assignment-unclaimed", EventCode::CALLER_GONE);
    }
}
