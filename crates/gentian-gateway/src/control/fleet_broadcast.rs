//! Messages to the other entries of the fleet.

use gentian_core::peer::FleetMessage;
use gentian_core::{MonoTime, VmId};

use super::{ControlEvent, ControlState};

/// Sends a message to all other entries, and again later in case a datagram is lost.
pub(super) fn broadcast(state: &mut ControlState, message: FleetMessage, now: MonoTime) {
    send_to_all(state, &message);
    state.message_repeats.add(message, now);
}

/// Sends a message to all other entries once. It is made anew while it matters, and would mislead later.
pub(super) fn broadcast_once(state: &ControlState, message: &FleetMessage) {
    send_to_all(state, message);
}

/// Sends the messages again that are due.
pub(super) fn repeat_messages(state: &mut ControlState, _event: &ControlEvent, now: MonoTime) {
    for message in state.message_repeats.take_due(now) {
        send_to_all(state, &message);
    }
}

fn send_to_all(state: &ControlState, message: &FleetMessage) {
    for entry in state.entries.values().filter(|entry| entry.vm != state.vm) {
        state.socket.send(message, entry.address);
    }
}

/// Sends a message to the entry on `vm`.
pub(super) fn send_to_vm(state: &ControlState, message: &FleetMessage, vm: &VmId) {
    if let Some(entry) = state.entries.get(vm) {
        state.socket.send(message, entry.address);
    }
}
