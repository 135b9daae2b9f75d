//! Controller: the lease of the hub.

use std::sync::Arc;

use gentian_core::peer::{FleetMessage, HubAnnouncement, HubHandover};
use gentian_core::{EventCode, FenceNumber, MonoTime, TimeSpan};
use gentian_decide::orders::{FleetPlanner, LeaseReply, OrderCooldowns};
use gentian_decide::serving::FleetHub;

use super::control_state::HubState;
use super::{ControlEvent, ControlState};

/// Capacity against the largest one from which an entry takes a vacant lease at once.
const CAPABLE_PERCENT: u64 = 80;
/// Entries that are told when the hub stops: some may have no contact with the service.
const SUCCESSORS: usize = 3;
/// Time after which any entry takes a vacant lease.
const LESSER_WAIT: TimeSpan = TimeSpan::from_millis(2_500);

/// Takes, renews and gives up the lease.
pub(super) fn keep_lease(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    match event {
        ControlEvent::Lease(reply, sent) => {
            let was_held = state.lease.is_held();
            if *reply == LeaseReply::Lost {
                // Somebody holds it; the next read of the records tells who.
                state.vacant_since = None;
            }
            if state.lease.handle_reply(*reply, *sent) {
                become_hub(state, now);
            } else if was_held && !state.lease.is_held() {
                log::warn!("{} vm={} reply={reply:?}", EventCode::SEAT_LOST, state.vm);
            }
        }
        ControlEvent::Stopping => {
            state.is_stopping = true;
            if let Some(fence) = state.lease.acting_fence(now) {
                hand_over(state, fence, now);
            }
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
    if let Some(fence) = state.lease.hand_over(now) {
        log::warn!("{} vm={} cause=not-renewed fence={fence}", EventCode::SEAT_LOST, state.vm);
        hand_over(state, fence, now);
    }
    if let Some(task) = state.lease.next_task(may_take(state, now), now) {
        send_task(state, task);
    }
}

/// Tells whether this entry may take a vacant lease: one of the most capable entries at once, since
/// the hub's work grows with the fleet, any other one when none of these has taken it for a while.
fn may_take(state: &ControlState, now: MonoTime) -> bool {
    let Some(vacant_since) = state.vacant_since else { return false };
    let Some(own) = state.members.get(&state.vm) else { return false };
    let most = state.members.values().map(|member| member.capacity).max().unwrap_or(0);
    let is_capable = u64::from(own.capacity) * 100 >= u64::from(most) * CAPABLE_PERCENT;
    let has_config = state.config.version.get() > 0;
    has_config && (is_capable || now.since(vacant_since) > LESSER_WAIT)
}

/// Tells the most capable entries that are heard that this one gives no more orders.
fn hand_over(state: &ControlState, fence: FenceNumber, now: MonoTime) {
    let Some(hub) = &state.hub else { return };
    let heard = hub.hub.reachable_vms(now).filter(|vm| **vm != state.vm);
    let mut members: Vec<_> = heard.filter_map(|vm| state.members.get(vm)).collect();
    members.sort_by(|a, b| b.capacity.cmp(&a.capacity).then_with(|| a.vm.cmp(&b.vm)));
    let ordered = hub.planner.cooldowns().recent_orders(now);
    let message = FleetMessage::Handover(HubHandover { fence, recent_orders: ordered });
    for member in members.into_iter().take(SUCCESSORS) {
        log::info!("{} vm={} successor={}", EventCode::SEAT_RELEASED, state.vm, member.vm);
        state.socket.send(&message, member.address);
    }
}

/// Notes that the hub has stopped, so that this entry may take over at once.
pub(super) fn note_handover(state: &mut ControlState, handover: &HubHandover, now: MonoTime) {
    let known = state.known_hub.as_ref().map(|(_, fence)| *fence).unwrap_or_default();
    if state.is_stopping || state.config.version.get() == 0 || handover.fence < known {
        return;
    }
    state.lease.handle_handover(handover.fence, now);
    state.handover = Some((handover.clone(), now));
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
    let turns = OrderCooldowns::new(state.bounds.lease_time);
    let turns = match state.handover.take() {
        Some((handover, told)) => turns.with_predecessor(handover.recent_orders, told),
        None => turns,
    };
    let mut planner = FleetPlanner::new(config, state.bounds.load_window).with_cooldowns(turns);
    planner.update_engines(&state.table, now);
    let hub = FleetHub::new(state.instance);
    let planned = MonoTime::ORIGIN;
    state.hub = Some(HubState { hub, planner, fence, planned, plan_due: None });
    state.known_hub = Some((state.vm.clone(), fence));
    let announce = FleetMessage::Announcement(HubAnnouncement { vm: state.vm.clone(), fence });
    for member in state.members.values().filter(|member| member.vm != state.vm) {
        state.socket.send(&announce, member.address);
    }
}
