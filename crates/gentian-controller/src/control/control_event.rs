//! Events of the control thread.

use std::net::SocketAddr;

use flume::Sender;
use gentian_core::peer::{PeerMessage, SeatId};
use gentian_core::{MonoTime, OrderId, UpstreamId};
use gentian_decide::placement::{EngineReport, OrderOutcome};
use gentian_decide::seat::{StoredSeat, WriteOutcome};
use gentian_process::{StateChange, VmRoster};

/// An event of the control thread.
#[derive(Clone, Debug)]
pub(crate) enum ControlEvent {
    /// A datagram of another process.
    Peer(PeerMessage, SocketAddr),
    /// A change of the configuration, a seat or a member.
    State(StateChange),
    /// The end of a read of a seat's record; `None` without an answer.
    SeatRead(SeatId, Option<Option<StoredSeat>>),
    /// The end of a write of a seat's record.
    SeatWrite(SeatId, WriteOutcome),
    /// The end of a status call that was sent at this time; `None` without an answer.
    Report(UpstreamId, Option<EngineReport>, MonoTime),
    /// The end of an order.
    OrderEnd(UpstreamId, OrderId, OrderOutcome),
    /// The platform's list of VMs.
    VmList(VmRoster),
    /// Nothing happened for a while.
    Tick,
    /// The process is asked to stop.
    Stop,
}

/// Hands an event to the control thread, unless that has ended.
pub(crate) fn pass_on(control: &Sender<ControlEvent>, event: ControlEvent) {
    if control.send(event).is_err() {
        log::debug!("the control thread has ended");
    }
}
