//! Controller: taking, keeping and losing of seats.

use std::sync::Arc;

use gentian_config::ConfigSet;
use gentian_core::peer::{PeerMessage, SeatId, SeatRole};
use gentian_core::{EventCode, FastSet, FenceNumber, MonoTime, TimeSpan, VmId};
use gentian_decide::placement::PlacementPlanner;
use gentian_decide::seat::{SeatAction, SeatElection};
use gentian_decide::share::ShareAllocator;

use super::control_state::{HeldDuty, SeatRow};
use super::{ControlEvent, ControlState, SeatDuty};

/// Time between two passes over seats, upstreams and orders.
const SWEEP_EVERY: TimeSpan = TimeSpan::from_millis(20);

/// Gives each seat of the configuration a keeper, and tells the keepers what happened.
pub(super) fn take_seat_events(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    if matches!(event, ControlEvent::State(_)) {
        add_seats(state);
    }
    match event {
        ControlEvent::SeatRead(seat, result) => {
            if let Some(row) = state.seats.get_mut(seat) {
                row.keeper.handle_read(result.clone(), now);
            }
        }
        ControlEvent::SeatWrite(seat, outcome) => {
            if let Some(row) = state.seats.get_mut(seat) {
                row.keeper.handle_write(*outcome, now);
            }
        }
        ControlEvent::Peer(PeerMessage::SeatQuery(question), from) => {
            if let Some(row) = state.seats.get_mut(&question.seat) {
                let answer = row.keeper.answer_query(question, now);
                state.socket.send(&PeerMessage::SeatReply(answer), *from);
            }
        }
        ControlEvent::Peer(PeerMessage::SeatReply(answer), _) => {
            if let Some(row) = state.seats.get_mut(&answer.seat) {
                row.keeper.handle_reply(answer, now);
            }
        }
        ControlEvent::Stop => {
            state.is_stopping = true;
            state.seats.values_mut().for_each(|row| row.keeper.release());
        }
        _ => {}
    }
}

/// Lets each keeper decide, and begins or ends the duty of its seat.
pub(super) fn keep_seats(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    if now < state.sweep_due && !concerns_seats(event) {
        return;
    }
    let candidates = state.candidates();
    let listed: FastSet<VmId> = match &state.roster {
        Some(roster) => roster.leaving_by_vm.keys().cloned().collect(),
        None => state.members.keys().cloned().collect(),
    };
    let seats: Vec<SeatId> = state.seats.keys().copied().collect();
    for seat in seats {
        let Some(row) = state.seats.get_mut(&seat) else { continue };
        let old_fence = row.keeper.stored().map(|stored| stored.record.fence);
        for action in row.keeper.decide(&candidates, &listed, now) {
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
        keep_duty(state, seat, now);
    }
}

/// Sets when everything is gone through again.
pub(super) fn note_sweep(state: &mut ControlState, _event: &ControlEvent, now: MonoTime) {
    if now >= state.sweep_due {
        state.sweep_due = now + SWEEP_EVERY;
    }
}

fn concerns_seats(event: &ControlEvent) -> bool {
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
        let own = state.own.clone();
        state.seats.entry(seat).or_insert_with(|| SeatRow {
            keeper: SeatElection::new(seat, own),
            held: None,
            was_acting: false,
        });
    }
}

/// Begins the duty of a newly held seat, and drops that of a lost one. While the process holds the
/// seat but may not act, the duty is kept: nobody else acts meanwhile.
fn keep_duty(state: &mut ControlState, seat: SeatId, now: MonoTime) {
    let Some(row) = state.seats.get_mut(&seat) else { return };
    let held = row.keeper.held_fence();
    if row.held.as_ref().is_some_and(|duty| held != Some(duty.fence)) {
        row.held = None;
    }
    let acting = row.keeper.may_act(now);
    if let Some(fence) = acting
        && row.held.is_none()
    {
        row.held = Some(HeldDuty { fence, duty: start_duty(seat, fence, now) });
        hand_over(&state.set, row, now);
    }
    let is_acting = acting.is_some();
    if is_acting != row.was_acting {
        row.was_acting = is_acting;
        note_change(row, seat, acting, now);
    }
}

/// Hands the configuration to the duty of a seat.
pub(super) fn hand_over(set: &Arc<ConfigSet>, row: &mut SeatRow, now: MonoTime) {
    if let Some(holder) = row.share() {
        holder.update(set, now);
    }
    if let Some(planner) = row.placement() {
        planner.update(Arc::clone(set));
    }
}

fn start_duty(seat: SeatId, fence: FenceNumber, now: MonoTime) -> SeatDuty {
    match seat.role {
        SeatRole::Share => SeatDuty::Share(Box::new(ShareAllocator::new(seat, fence, now))),
        SeatRole::Placement => {
            SeatDuty::Placement(Box::new(PlacementPlanner::new(seat, fence, now)))
        }
    }
}

fn note_change(row: &SeatRow, seat: SeatId, acting: Option<FenceNumber>, now: MonoTime) {
    match acting {
        Some(fence) if row.keeper.is_past_lease(now) => {
            log::warn!("{} seat={seat} fence={fence}", EventCode::SEAT_OUTAGE);
        }
        Some(fence) => log::info!("{} seat={seat} fence={fence}", EventCode::SEAT_TAKEN),
        None => log::warn!("{} seat={seat}", EventCode::SEAT_LOST),
    }
}
