//! Controller that replies to the requests of entries for shares and placements.

use gentian_core::MonoTime;
use gentian_core::peer::{PeerMessage, SeatId};

use super::control_state::LocalSeat;
use super::{ControlEvent, ControlState};

/// Replies to requests to seats for which this process acts; requests to other seats get no reply.
pub(super) fn reply_to_requests(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let ControlEvent::Peer(message, from) = event else { return };
    let reply = match message {
        PeerMessage::ShareRequest(request) => {
            state.page.requests.with_label_values(&["share"]).inc();
            let allocator = acting_seat(state, request.seat, now).and_then(LocalSeat::share);
            allocator
                .and_then(|allocator| allocator.handle_request(request, now))
                .map(PeerMessage::ShareGrant)
        }
        PeerMessage::PlacementRequest(request) => {
            state.page.requests.with_label_values(&["placement"]).inc();
            let planner = acting_seat(state, request.seat, now).and_then(LocalSeat::placement);
            planner.map(|planner| PeerMessage::PlacementReply(planner.handle_request(request, now)))
        }
        _ => None,
    };
    if let Some(reply) = reply {
        state.socket.send(&reply, *from);
    }
}

/// Returns the seat if the process may act for it now.
fn acting_seat(state: &mut ControlState, seat: SeatId, now: MonoTime) -> Option<&mut LocalSeat> {
    state.seats.get_mut(&seat).filter(|seat| seat.is_acting(now))
}
