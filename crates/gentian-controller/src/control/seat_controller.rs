//! Controllers that take, keep and release seats.

use std::sync::Arc;

use gentian_config::ConfigSet;
use gentian_core::peer::{PeerMessage, SeatId, SeatRole};
use gentian_core::{EventCode, FastSet, FenceNumber, MonoTime, TimeSpan, VmId};
use gentian_decide::placement::PlacementPlanner;
use gentian_decide::seat::{SeatAction, SeatElection};
use gentian_decide::share::ShareAllocator;

use super::control_state::{LocalSeat, SeatHolder};
use super::{ControlEvent, ControlState, HolderState};

/// Shortest interval between sweeps over seats, status calls and orders. Without events, a sweep
/// runs at each tick of the control thread.
const SWEEP_INTERVAL: TimeSpan = TimeSpan::from_millis(20);

/// Adds the seats of the configuration, and passes events of seats to their elections.
pub(super) fn handle_seat_events(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    if matches!(event, ControlEvent::State(_)) {
        add_seats(state);
    }
    match event {
        ControlEvent::SeatRead(seat, result) => {
            if let Some(local_seat) = state.seats.get_mut(seat) {
                local_seat.election.handle_read(result.clone(), now);
            }
        }
        ControlEvent::SeatWrite(seat, outcome) => {
            if let Some(local_seat) = state.seats.get_mut(seat) {
                local_seat.election.handle_write(*outcome, now);
            }
        }
        ControlEvent::Peer(PeerMessage::SeatQuery(query), from) => {
            if let Some(local_seat) = state.seats.get_mut(&query.seat) {
                let reply = local_seat.election.reply_to_query(query, now);
                state.socket.send(&PeerMessage::SeatReply(reply), *from);
            }
        }
        ControlEvent::Peer(PeerMessage::SeatReply(reply), _) => {
            if let Some(local_seat) = state.seats.get_mut(&reply.seat) {
                local_seat.election.handle_reply(reply, now);
            }
        }
        ControlEvent::Stop => {
            state.is_stopping = true;
            state.seats.values_mut().for_each(|local_seat| local_seat.election.release());
        }
        _ => {}
    }
}

/// Runs the election of each seat, carries out its actions and updates its holder state.
pub(super) fn run_elections(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    if now < state.sweep_due && !is_seat_event(event) {
        return;
    }
    let candidates = state.candidates();
    let listed: FastSet<VmId> = match &state.vm_list {
        Some(vm_list) => vm_list.is_leaving_by_vm.keys().cloned().collect(),
        None => state.members.keys().cloned().collect(),
    };
    let seats: Vec<SeatId> = state.seats.keys().copied().collect();
    for seat in seats {
        let Some(local_seat) = state.seats.get_mut(&seat) else { continue };
        let old_fence = local_seat.election.stored().map(|stored| stored.record.fence);
        for action in local_seat.election.decide(&candidates, &listed, now) {
            match action {
                SeatAction::Read => state.io.read_seat(seat),
                SeatAction::Write { record, expected } => {
                    let is_new_holder = old_fence != Some(record.fence);
                    state.io.write_seat(record, expected, is_new_holder);
                }
                SeatAction::Query { elector, query } => {
                    state.socket.send(&PeerMessage::SeatQuery(query), elector.address);
                }
            }
        }
        update_holder(state, seat, now);
    }
}

/// Sets the time of the next sweep. Runs last, so that the other controllers see a sweep as due.
pub(super) fn schedule_sweep(state: &mut ControlState, _event: &ControlEvent, now: MonoTime) {
    if now >= state.sweep_due {
        state.sweep_due = now + SWEEP_INTERVAL;
    }
}

fn is_seat_event(event: &ControlEvent) -> bool {
    matches!(
        event,
        ControlEvent::SeatRead(..)
            | ControlEvent::SeatWrite(..)
            | ControlEvent::Peer(PeerMessage::SeatQuery(_) | PeerMessage::SeatReply(_), _)
            | ControlEvent::State(_)
            | ControlEvent::Stop
    )
}

fn add_seats(state: &mut ControlState) {
    if state.is_stopping || state.version.get() == 0 {
        return;
    }
    let seats = state.set.fleet.seats();
    for seat in seats {
        let own_elector = state.own_elector.clone();
        state.seats.entry(seat).or_insert_with(|| LocalSeat {
            election: SeatElection::new(seat, own_elector),
            holder: None,
            was_acting: false,
        });
    }
}

/// Creates the holder state of a seat once the process may act for it, and drops the state when the
/// seat is lost. The state is kept while the process holds the seat but may not act, because no
/// other process acts in that time.
fn update_holder(state: &mut ControlState, seat: SeatId, now: MonoTime) {
    let Some(local_seat) = state.seats.get_mut(&seat) else { return };
    let held_fence = local_seat.election.held_fence();
    if local_seat.holder.as_ref().is_some_and(|holder| held_fence != Some(holder.fence)) {
        local_seat.holder = None;
    }
    let acting = local_seat.election.acting_fence(now);
    if let Some(fence) = acting
        && local_seat.holder.is_none()
    {
        local_seat.holder = Some(SeatHolder { fence, state: make_holder_state(seat, fence, now) });
        configure_seat(&state.set, local_seat, now);
    }
    let is_acting = acting.is_some();
    if is_acting != local_seat.was_acting {
        local_seat.was_acting = is_acting;
        log_acting_change(local_seat, seat, acting, now);
    }
}

/// Applies the configuration to the holder state of a seat.
pub(super) fn configure_seat(set: &Arc<ConfigSet>, local_seat: &mut LocalSeat, now: MonoTime) {
    if let Some(allocator) = local_seat.share() {
        allocator.update(set, now);
    }
    if let Some(planner) = local_seat.placement() {
        planner.update(Arc::clone(set));
    }
}

fn make_holder_state(seat: SeatId, fence: FenceNumber, now: MonoTime) -> HolderState {
    match seat.role {
        SeatRole::Share => HolderState::Share(Box::new(ShareAllocator::new(seat, fence, now))),
        SeatRole::Placement => {
            HolderState::Placement(Box::new(PlacementPlanner::new(seat, fence, now)))
        }
    }
}

fn log_acting_change(
    local_seat: &LocalSeat,
    seat: SeatId,
    acting: Option<FenceNumber>,
    now: MonoTime,
) {
    match acting {
        Some(fence) if local_seat.election.is_past_lease(now) => {
            log::warn!("{} seat={seat} fence={fence}", EventCode::SEAT_OUTAGE);
        }
        Some(fence) => log::info!("{} seat={seat} fence={fence}", EventCode::SEAT_TAKEN),
        None => log::warn!("{} seat={seat}", EventCode::SEAT_LOST),
    }
}
