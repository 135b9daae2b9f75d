//! The controllers of an entry.

use std::sync::Arc;

use gentian_core::peer::{ConfigReply, PeerMessage, SeatId};
use gentian_core::{EventCode, MonoTime};
use gentian_decide::control::{ControllerSet, StateController};
use gentian_decide::entry::{CallDecision, CallOutcome, ConfigFreshness};
use gentian_process::StateChange;

use super::control_state::KnownHolder;
use super::{CallAssignment, ConfigSnapshot, ControlEvent, ControlState};

/// Returns the controllers in the order in which each event passes them.
pub(super) fn entry_controllers() -> ControllerSet<ControlState, ControlEvent> {
    ControllerSet::new()
        .with_controller(StateController::new("configuration", follow_config))
        .with_controller(StateController::new("freshness", watch_freshness))
        .with_controller(StateController::new("seats", follow_seats))
        .with_controller(StateController::new("calls", take_calls))
        .with_controller(StateController::new("answers", take_answers))
        .with_controller(StateController::new("dispatch", start_calls))
        .with_controller(StateController::new("asks", ask_seats))
}

fn follow_config(state: &mut ControlState, event: &ControlEvent, _now: MonoTime) {
    let ControlEvent::State(StateChange::Config(config)) = event else { return };
    let version = config.head.version;
    if version <= state.snapshot.load().version {
        return;
    }
    state.dispatcher.update(Arc::clone(&config.set));
    let set = Arc::clone(&config.set);
    state.snapshot.store(Arc::new(ConfigSnapshot { version, set, is_stale: false }));
    state.metrics.config_version.set(i64::try_from(version.get()).unwrap_or(i64::MAX));
    log::info!(
        "{} version={version} objects={}",
        EventCode::CONFIG_IN_FORCE,
        config.set.object_count()
    );
}

/// Confirms the configuration by the service or by peers, and answers peers that do the same.
fn watch_freshness(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let snapshot = state.snapshot.load_full();
    match event {
        ControlEvent::State(StateChange::Contact(asked)) => state.watch.record_contact(*asked),
        ControlEvent::State(StateChange::Member(member)) => state.watch.update_peer(member),
        ControlEvent::Peer(PeerMessage::ConfigReply(answer), _) => {
            state.watch.handle_reply(answer, snapshot.version);
        }
        ControlEvent::Peer(PeerMessage::ConfigQuery(question), from) => {
            let answer = ConfigReply {
                peer: state.instance,
                number: question.number,
                version: snapshot.version,
                has_contact: state.watch.has_contact(now),
            };
            state.socket.send(&PeerMessage::ConfigReply(answer), *from);
        }
        _ => {}
    }
    for (address, question) in state.watch.make_queries(now) {
        state.socket.send(&PeerMessage::ConfigQuery(question), address);
    }
    let is_stale = state.watch.freshness(now) == ConfigFreshness::Stale;
    if is_stale != snapshot.is_stale {
        if is_stale {
            log::warn!("{} version={}", EventCode::CONFIG_STALE, snapshot.version);
        }
        state.snapshot.store(Arc::new(ConfigSnapshot { is_stale, ..(*snapshot).clone() }));
    }
}

fn follow_seats(state: &mut ControlState, event: &ControlEvent, _now: MonoTime) {
    let ControlEvent::State(StateChange::Holder(record)) = event else { return };
    let Some(holder) = &record.holder else { return };
    let known = state.holders.get(&record.seat);
    if known.is_none_or(|known| known.fence < record.fence) {
        let holder = KnownHolder { fence: record.fence, address: holder.address };
        state.holders.insert(record.seat, holder);
    }
}

fn take_calls(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    match event {
        ControlEvent::Admit { call, reply } => {
            state.replies.insert(call.id, reply.clone());
            state.dispatcher.admit((**call).clone(), now);
        }
        ControlEvent::EndCall { id, end } => {
            if matches!(end, CallOutcome::Done(_)) {
                state.replies.remove(id);
            }
            state.dispatcher.end_call(*id, *end, now);
        }
        ControlEvent::Cancel(id) => {
            state.replies.remove(id);
            state.dispatcher.cancel(*id, now);
        }
        _ => {}
    }
}

fn take_answers(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let is_news = match event {
        ControlEvent::Peer(PeerMessage::ShareGrant(grant), _) => {
            state.dispatcher.handle_grant(grant, now)
        }
        ControlEvent::Peer(PeerMessage::PlacementReply(tell), _) => {
            state.dispatcher.handle_placement_reply(tell.clone(), now)
        }
        _ => return,
    };
    if !is_news {
        log::debug!("{}", EventCode::GRANT_VOID);
    }
}

fn start_calls(state: &mut ControlState, _event: &ControlEvent, now: MonoTime) {
    for decision in state.dispatcher.decide(now) {
        let (id, assignment) = match decision {
            CallDecision::Send { id, upstream, address, reason } => {
                log::info!(
                    "{} request={id} upstream={upstream} reason={reason}",
                    EventCode::REQUEST_ROUTED
                );
                (id, CallAssignment::Send { upstream, address })
            }
            CallDecision::Refuse { id, refusal } => (id, CallAssignment::Refuse(refusal)),
        };
        let reply = state.replies.get(&id).cloned();
        let is_refusal = matches!(assignment, CallAssignment::Refuse(_));
        let is_taken = reply.is_some_and(|reply| reply.send(assignment).is_ok());
        if is_refusal {
            state.replies.remove(&id);
        } else if !is_taken {
            state.dispatcher.end_call(id, CallOutcome::Done(gentian_core::TokenCount::ZERO), now);
        }
    }
}

fn ask_seats(state: &mut ControlState, _event: &ControlEvent, now: MonoTime) {
    for ask in state.dispatcher.make_share_requests(now) {
        send_to_holder(state, ask.seat, PeerMessage::ShareRequest(ask));
    }
    if let Some(ask) = state.dispatcher.make_placement_request(now) {
        send_to_holder(state, ask.seat, PeerMessage::PlacementRequest(ask));
    }
}

fn send_to_holder(state: &ControlState, seat: SeatId, message: PeerMessage) {
    if let Some(holder) = state.holders.get(&seat) {
        state.socket.send(&message, holder.address);
    }
}
