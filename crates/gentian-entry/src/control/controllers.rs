//! The controllers of an entry: functions that handle the events of its control thread.

use std::sync::Arc;

use gentian_core::peer::{ConfigReply, PeerMessage, SeatId};
use gentian_core::{EventCode, MonoTime};
use gentian_decide::control::{ControllerSet, StateController};
use gentian_decide::entry::{CallDecision, CallOutcome, ConfigFreshness};
use gentian_process::StateChange;

use super::control_state::KnownHolder;
use super::{CallAssignment, ConfigSnapshot, ControlEvent, ControlState};

/// Returns the controllers in the order in which they get each event.
pub(super) fn entry_controllers() -> ControllerSet<ControlState, ControlEvent> {
    ControllerSet::new()
        .with_controller(StateController::new("configuration", update_config))
        .with_controller(StateController::new("freshness", update_freshness))
        .with_controller(StateController::new("seats", update_holders))
        .with_controller(StateController::new("calls", handle_calls))
        .with_controller(StateController::new("answers", handle_replies))
        .with_controller(StateController::new("dispatch", dispatch_calls))
        .with_controller(StateController::new("asks", send_seat_requests))
}

fn update_config(state: &mut ControlState, event: &ControlEvent, _now: MonoTime) {
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

/// Confirms the configuration with the key-value service or with peers, and replies to the queries
/// of peers.
fn update_freshness(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let snapshot = state.snapshot.load_full();
    match event {
        ControlEvent::State(StateChange::Contact(sent_at)) => state.watch.record_contact(*sent_at),
        ControlEvent::State(StateChange::Member(member)) => state.watch.update_peer(member),
        ControlEvent::Peer(PeerMessage::ConfigReply(reply), _) => {
            state.watch.handle_reply(reply, snapshot.version);
        }
        ControlEvent::Peer(PeerMessage::ConfigQuery(query), from) => {
            let reply = ConfigReply {
                peer: state.instance,
                number: query.number,
                version: snapshot.version,
                has_contact: state.watch.has_contact(now),
            };
            state.socket.send(&PeerMessage::ConfigReply(reply), *from);
        }
        _ => {}
    }
    for (address, query) in state.watch.make_queries(now) {
        state.socket.send(&PeerMessage::ConfigQuery(query), address);
    }
    let is_stale = state.watch.freshness(now) == ConfigFreshness::Stale;
    if is_stale != snapshot.is_stale {
        if is_stale {
            log::warn!("{} version={}", EventCode::CONFIG_STALE, snapshot.version);
        }
        state.snapshot.store(Arc::new(ConfigSnapshot { is_stale, ..(*snapshot).clone() }));
    }
}

fn update_holders(state: &mut ControlState, event: &ControlEvent, _now: MonoTime) {
    let ControlEvent::State(StateChange::Holder(record)) = event else { return };
    let Some(holder) = &record.holder else { return };
    let known = state.holders.get(&record.seat);
    if known.is_none_or(|known| known.fence < record.fence) {
        let holder = KnownHolder { fence: record.fence, address: holder.address };
        state.holders.insert(record.seat, holder);
    }
}

fn handle_calls(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    match event {
        ControlEvent::RequestUpstream { call, reply } => {
            state.assignment_senders.insert(call.id, reply.clone());
            state.dispatcher.admit((**call).clone(), now);
        }
        ControlEvent::EndCall { id, outcome } => {
            if matches!(outcome, CallOutcome::Done(_)) {
                state.assignment_senders.remove(id);
            }
            state.dispatcher.end_call(*id, *outcome, now);
        }
        ControlEvent::Cancel(id) => {
            state.assignment_senders.remove(id);
            state.dispatcher.cancel(*id, now);
        }
        _ => {}
    }
}

fn handle_replies(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let is_accepted = match event {
        ControlEvent::Peer(PeerMessage::ShareGrant(grant), _) => {
            state.dispatcher.handle_grant(grant, now)
        }
        ControlEvent::Peer(PeerMessage::PlacementReply(reply), _) => {
            state.dispatcher.handle_placement_reply(reply.clone(), now)
        }
        _ => return,
    };
    if !is_accepted {
        log::debug!("{}", EventCode::GRANT_VOID);
    }
}

fn dispatch_calls(state: &mut ControlState, _event: &ControlEvent, now: MonoTime) {
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
        let sender = state.assignment_senders.get(&id).cloned();
        let is_refusal = matches!(assignment, CallAssignment::Refuse(_));
        let is_delivered = sender.is_some_and(|sender| sender.send(assignment).is_ok());
        if is_refusal {
            state.assignment_senders.remove(&id);
        } else if !is_delivered {
            // The traffic thread no longer waits: the call ends without used tokens.
            state.dispatcher.end_call(id, CallOutcome::Done(gentian_core::TokenCount::ZERO), now);
        }
    }
}

fn send_seat_requests(state: &mut ControlState, _event: &ControlEvent, now: MonoTime) {
    for request in state.dispatcher.make_share_requests(now) {
        send_to_holder(state, request.seat, PeerMessage::ShareRequest(request));
    }
    if let Some(request) = state.dispatcher.make_placement_request(now) {
        send_to_holder(state, request.seat, PeerMessage::PlacementRequest(request));
    }
}

fn send_to_holder(state: &ControlState, seat: SeatId, message: PeerMessage) {
    if let Some(holder) = state.holders.get(&seat) {
        state.socket.send(&message, holder.address);
    }
}
