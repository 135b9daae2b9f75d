//! Controller of the hub's lease. Log events call the lease a seat: its holder is logged as taking,
//! losing and releasing the seat, and a fenced order as fencing it.

use std::sync::Arc;

use gentian_core::peer::{FleetMessage, HubAnnouncement, HubHandover, OperatorNotice};
use gentian_core::{EventCode, FenceNumber, MonoTime, TimeSpan};
use gentian_decide::limits::PermitLedger;
use gentian_decide::orders::{FleetPlanner, LeaseReply, OrderCooldowns};
use gentian_decide::serving::FleetHub;

use super::control_state::HubState;
use super::fleet_broadcast::broadcast;
use super::{ControlEvent, ControlState};

/// Minimum capacity, as a percentage of the largest in the fleet, of an entry that may acquire a
/// vacant lease at once.
const MIN_CAPACITY_PERCENT: u64 = 80;
/// Maximum number of entries to which a handover message is sent. More than one, since an entry may
/// have lost contact with the key-value service.
const MAX_HANDOVER_RECIPIENTS: usize = 3;
/// Time after which an entry with less than the minimum capacity may also acquire a vacant lease.
const LESS_CAPABLE_DELAY: TimeSpan = TimeSpan::from_millis(2_500);

/// Acquires, renews and releases the lease.
pub(super) fn maintain_lease(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    match event {
        ControlEvent::LeaseCallEnded(reply, sent) => {
            let held_fence = state.lease.fence();
            if *reply == LeaseReply::Lost {
                // The lease has ended or another process holds it; the next read of the records
                // shows which.
                state.vacant_since = None;
            }
            if state.lease.handle_reply(*reply, *sent) {
                become_hub(state, now);
            } else if let Some(fence) = held_fence.filter(|_| !state.lease.is_held()) {
                log::warn!("{} vm={} reply={reply:?}", EventCode::SEAT_LOST, state.vm);
                // The lease ended with the store's era; the record of it may still be there.
                send_handover(state, fence, now);
            }
        }
        ControlEvent::StopRequested => {
            state.is_stopping = true;
            if let Some(fence) = state.lease.acting_fence(now) {
                send_handover(state, fence, now);
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
    // Gives up a lease that was not renewed in time, before it expires.
    if let Some(fence) = state.lease.give_up_if_expiring(now) {
        log::warn!("{} vm={} cause=not-renewed fence={fence}", EventCode::SEAT_LOST, state.vm);
        send_handover(state, fence, now);
    }
    if let Some(task) = state.lease.next_task(may_acquire(state, now), now) {
        send_task(state, task);
    }
}

/// Returns whether this entry may acquire a vacant lease. The most capable entries may do so at
/// once, since the hub's work grows with the fleet; the others only after the lease has been vacant
/// for a while. An entry without a configuration, which has version 0, may not.
fn may_acquire(state: &ControlState, now: MonoTime) -> bool {
    let Some(vacant_since) = state.vacant_since else { return false };
    let Some(own_entry) = state.entries.get(&state.vm) else { return false };
    let max_capacity = state.entries.values().map(|entry| entry.capacity).max().unwrap_or(0);
    let is_capable =
        u64::from(own_entry.capacity) * 100 >= u64::from(max_capacity) * MIN_CAPACITY_PERCENT;
    let has_config = state.config.version.get() > 0;
    has_config && (is_capable || now.since(vacant_since) > LESS_CAPABLE_DELAY)
}

/// Notifies the most capable reachable entries that this one sends no more orders. Each
/// notification is logged as a release of the seat with the possible successor.
fn send_handover(state: &ControlState, fence: FenceNumber, now: MonoTime) {
    let Some(hub) = &state.hub else { return };
    let reachable = hub.fleet_hub.reachable_vms(now).filter(|vm| **vm != state.vm);
    let mut entries: Vec<_> = reachable.filter_map(|vm| state.entries.get(vm)).collect();
    entries.sort_by(|a, b| b.capacity.cmp(&a.capacity).then_with(|| a.vm.cmp(&b.vm)));
    let orders = hub.planner.cooldowns().recent_orders(now);
    let message = FleetMessage::Handover(HubHandover { fence, recent_orders: orders });
    for entry in entries.into_iter().take(MAX_HANDOVER_RECIPIENTS) {
        log::info!("{} vm={} successor={}", EventCode::SEAT_RELEASED, state.vm, entry.vm);
        state.socket.send(&message, entry.address);
    }
}

/// Records that the hub sends no more orders, so that this entry may take over at once.
pub(super) fn receive_handover(state: &mut ControlState, handover: &HubHandover, now: MonoTime) {
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
    let cooldowns = OrderCooldowns::new(state.bounds.takeover_delay);
    let cooldowns = match state.handover.take() {
        Some((handover, received)) => cooldowns.with_predecessor(handover.recent_orders, received),
        None => cooldowns,
    };
    let mut planner = FleetPlanner::new(config, state.bounds.load_window).with_cooldowns(cooldowns);
    planner.update_engines(&state.table, now);
    let fleet_hub = FleetHub::new(state.instance)
        .with_fence(fence)
        .with_quota_window(state.bounds.quota_window);
    // No round has been planned yet.
    let planned_at = MonoTime::ORIGIN;
    let permits = PermitLedger::new(now);
    state.hub =
        Some(HubState { fleet_hub, planner, permits, fence, planned_at, deferred_plan_at: None });
    state.known_hub = Some((state.vm.clone(), fence));
    state.hub_client.record_hub(fence, now);
    let announcement = FleetMessage::Announcement(HubAnnouncement { vm: state.vm.clone(), fence });
    let notice = FleetMessage::Operators(OperatorNotice { revision: state.operator_revision });
    broadcast(state, announcement, now);
    broadcast(state, notice, now);
}
