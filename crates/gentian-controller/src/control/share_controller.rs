//! Controller: answers to the asks of entries.

use gentian_core::MonoTime;
use gentian_core::peer::{PeerMessage, SeatId};

use super::control_state::SeatRow;
use super::{ControlEvent, ControlState};

/// Answers asks for seats for which this process acts; others are left without an answer.
pub(super) fn answer_asks(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let ControlEvent::Peer(message, from) = event else { return };
    let answer = match message {
        PeerMessage::ShareRequest(ask) => {
            state.page.asks.with_label_values(&["share"]).inc();
            let holder = acting_row(state, ask.seat, now).and_then(SeatRow::share);
            holder.and_then(|holder| holder.handle_request(ask, now)).map(PeerMessage::ShareGrant)
        }
        PeerMessage::PlacementRequest(ask) => {
            state.page.asks.with_label_values(&["placement"]).inc();
            let planner = acting_row(state, ask.seat, now).and_then(SeatRow::placement);
            planner.map(|planner| PeerMessage::PlacementReply(planner.handle_request(ask, now)))
        }
        _ => None,
    };
    if let Some(answer) = answer {
        state.socket.send(&answer, *from);
    }
}

/// Returns a seat if the process may act for it now.
fn acting_row(state: &mut ControlState, seat: SeatId, now: MonoTime) -> Option<&mut SeatRow> {
    state.seats.get_mut(&seat).filter(|row| row.is_acting(now))
}
