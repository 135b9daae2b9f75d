//! Controller: configuration, members and the list of VMs.

use std::sync::Arc;

use gentian_core::peer::{ConfigReply, MemberRole, PeerMessage};
use gentian_core::{EventCode, FastSet, MonoTime, UpstreamId};
use gentian_process::StateChange;

use super::seat_controller::hand_over;
use super::{ControlEvent, ControlState};

/// Follows the configuration and hands it to the duties.
pub(super) fn follow_config(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let ControlEvent::State(StateChange::Config(config)) = event else { return };
    if config.head.version <= state.version {
        return;
    }
    state.version = config.head.version;
    state.set = Arc::clone(&config.set);
    state.io.update(Arc::clone(&config.set));
    let set = Arc::clone(&state.set);
    state.seats.values_mut().for_each(|row| hand_over(&set, row, now));
    log::info!(
        "{} version={} objects={}",
        EventCode::CONFIG_IN_FORCE,
        state.version,
        state.set.object_count()
    );
}

/// Follows the running processes.
pub(super) fn follow_members(state: &mut ControlState, event: &ControlEvent, _now: MonoTime) {
    if let ControlEvent::State(StateChange::Member(member)) = event
        && member.role == MemberRole::Controller
    {
        state.members.insert(member.vm.clone(), member.clone());
    }
}

/// Follows the platform's list of VMs; an upstream runs on the VM of its own name.
pub(super) fn follow_vm_list(state: &mut ControlState, event: &ControlEvent, _now: MonoTime) {
    let ControlEvent::VmList(roster) = event else { return };
    let leaving = roster.leaving_by_vm.iter().filter(|(_, is_leaving)| **is_leaving);
    let leaving: FastSet<UpstreamId> =
        leaving.filter_map(|(vm, _)| vm.as_str().parse().ok()).collect();
    for row in state.seats.values_mut() {
        if let Some(planner) = row.placement() {
            planner.update_leaving(leaving.clone());
        }
    }
    state.roster = Some(roster.clone());
}

/// Notes contact with the key-value service, and tells processes without it what is in force here.
pub(super) fn answer_config(state: &mut ControlState, event: &ControlEvent, _now: MonoTime) {
    match event {
        ControlEvent::State(StateChange::Contact(_)) => state.has_contact = true,
        ControlEvent::State(StateChange::ContactLost) => state.has_contact = false,
        ControlEvent::Peer(PeerMessage::ConfigQuery(question), from) => {
            let answer = ConfigReply {
                peer: state.own.instance,
                number: question.number,
                version: state.version,
                has_contact: state.has_contact,
            };
            state.socket.send(&PeerMessage::ConfigReply(answer), *from);
        }
        _ => {}
    }
}
