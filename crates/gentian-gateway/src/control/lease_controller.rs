//! Controller: the lease of the hub.

use std::sync::Arc;

use gentian_core::peer::{FleetMessage, HubAnnounce};
use gentian_core::{EventCode, MonoTime};
use gentian_decide::orders::FleetPlanner;
use gentian_decide::serving::FleetHub;

use super::control_state::HubState;
use super::{ControlEvent, ControlState};

/// Takes, renews and gives up the lease.
pub(super) fn keep_lease(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    match event {
        ControlEvent::Lease(reply, sent) => {
            let was_held = state.lease.is_held();
            if state.lease.take_reply(*reply, *sent) {
                become_hub(state, now);
            } else if was_held && !state.lease.is_held() {
                log::warn!("{} vm={} reply={reply:?}", EventCode::SEAT_LOST, state.vm);
            }
        }
        ControlEvent::Stopping => {
            state.is_stopping = true;
            let task = state.lease.release();
            if let Some(task) = task {
                log::info!("{} vm={}", EventCode::SEAT_RELEASED, state.vm);
                send_task(state, task);
            }
            return;
        }
        _ => {}
    }
    if state.is_stopping {
        return;
    }
    let has_config = state.config.version.get() > 0;
    let is_vacant = state.is_vacant && has_config;
    if let Some(task) = state.lease.next_task(is_vacant, now) {
        send_task(state, task);
    }
}

fn send_task(state: &ControlState, task: gentian_decide::orders::LeaseTask) {
    if state.lease_tasks.send(task).is_err() {
        log::error!("the lease thread ended before the control thread");
    }
}

fn become_hub(state: &mut ControlState, now: MonoTime) {
    let Some(fence) = state.lease.fence() else { return };
    log::info!("{} vm={} fence={fence}", EventCode::SEAT_TAKEN, state.vm);
    let config = Arc::clone(&state.config);
    let mut planner = FleetPlanner::new(config, state.bounds.load_window);
    planner.sync(&state.table, now);
    state.hub = Some(HubState { hub: FleetHub::new(state.instance), planner, fence });
    state.known_hub = Some((state.vm.clone(), fence));
    let announce = FleetMessage::Announce(HubAnnounce { vm: state.vm.clone(), fence });
    for address in state.members.iter().filter(|(vm, _)| **vm != state.vm).map(|it| it.1) {
        state.socket.send(&announce, *address);
    }
}
