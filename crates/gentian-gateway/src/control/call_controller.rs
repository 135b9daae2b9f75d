//! Controllers: requests of traffic threads, and their assignments.

use gentian_core::{EventCode, MonoTime};
use gentian_decide::serving::ScheduleDecision;

use super::{CallAssignment, ControlEvent, ControlState};

/// Takes the events of traffic threads in.
pub(super) fn take_calls(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    match event {
        ControlEvent::Admit { call, reply } => {
            let id = call.id;
            match state.desk.admit((**call).clone(), now) {
                Ok(()) => {
                    state.replies.insert(id, reply.clone());
                }
                Err(refusal) => {
                    answer(reply, CallAssignment::Refuse(refusal));
                }
            }
        }
        ControlEvent::Answer(id) => state.desk.record_response_start(*id, &mut state.table, now),
        ControlEvent::EndAttempt(id, end) => {
            state.desk.end_attempt(*id, *end, &mut state.table, now);
        }
        ControlEvent::Cancel(id) => {
            state.replies.remove(id);
            state.desk.cancel(*id, &mut state.table, now);
        }
        _ => {}
    }
}

/// Starts and refuses requests.
pub(super) fn start_calls(state: &mut ControlState, _event: &ControlEvent, now: MonoTime) {
    for decision in state.desk.decide(&mut state.table, now) {
        let (id, assignment) = match decision {
            ScheduleDecision::Send(id, pick) => (id, CallAssignment::Send(pick)),
            ScheduleDecision::Refuse(id, refusal) => (id, CallAssignment::Refuse(refusal)),
        };
        if let Some(reply) = state.replies.remove(&id) {
            answer(&reply, assignment);
        }
    }
}

fn answer(reply: &flume::Sender<CallAssignment>, assignment: CallAssignment) {
    // The traffic thread may have left meanwhile; it then cancels the request.
    if reply.send(assignment).is_err() {
        log::debug!("{} cause=assignment-unclaimed", EventCode::CALLER_GONE);
    }
}
