//! Controllers of the configuration, the members and the list of VMs.

use std::sync::Arc;

use gentian_core::peer::{ConfigReply, MemberRole, PeerMessage};
use gentian_core::{EventCode, FastSet, MonoTime, UpstreamId};
use gentian_process::StateChange;

use super::seat_controller::configure_seat;
use super::{ControlEvent, ControlState};

/// Applies a newer configuration to the seats and the I/O threads.
pub(super) fn update_config(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let ControlEvent::State(StateChange::Config(config)) = event else { return };
    if config.head.version <= state.version {
        return;
    }
    state.version = config.head.version;
    state.set = Arc::clone(&config.set);
    state.io.update(Arc::clone(&config.set));
    let set = Arc::clone(&state.set);
    state.seats.values_mut().for_each(|seat| configure_seat(&set, seat, now));
    log::info!(
        "{} version={} objects={}",
        EventCode::CONFIG_IN_FORCE,
        state.version,
        state.set.object_count()
    );
}

/// Records the controllers that have a member record.
pub(super) fn update_members(state: &mut ControlState, event: &ControlEvent, _now: MonoTime) {
    if let ControlEvent::State(StateChange::Member(member)) = event
        && member.role == MemberRole::Controller
    {
        state.members.insert(member.vm.clone(), member.clone());
    }
}

/// Updates the list of VMs and the upstreams that are leaving. An upstream runs on the VM of the
/// same name.
pub(super) fn update_vm_list(state: &mut ControlState, event: &ControlEvent, _now: MonoTime) {
    let ControlEvent::VmList(vm_list) = event else { return };
    let leaving = vm_list.is_leaving_by_vm.iter().filter(|(_, is_leaving)| **is_leaving);
    let leaving: FastSet<UpstreamId> =
        leaving.filter_map(|(vm, _)| vm.as_str().parse().ok()).collect();
    for seat in state.seats.values_mut() {
        if let Some(planner) = seat.placement() {
            planner.update_leaving(leaving.clone());
        }
    }
    state.vm_list = Some(vm_list.clone());
}

/// Records whether the key-value service can be reached, and replies to queries of other processes
/// for the configuration version in force here.
pub(super) fn handle_contact_and_queries(
    state: &mut ControlState,
    event: &ControlEvent,
    _now: MonoTime,
) {
    match event {
        ControlEvent::State(StateChange::Contact(_)) => state.has_contact = true,
        ControlEvent::State(StateChange::ContactLost) => state.has_contact = false,
        ControlEvent::Peer(PeerMessage::ConfigQuery(query), from) => {
            let reply = ConfigReply {
                peer: state.own_elector.instance,
                number: query.number,
                version: state.version,
                has_contact: state.has_contact,
            };
            state.socket.send(&PeerMessage::ConfigReply(reply), *from);
        }
        _ => {}
    }
}
