//! Events that the control thread handles.

use std::net::SocketAddr;

use flume::Sender;
use gentian_core::peer::{PeerMessage, SeatId};
use gentian_core::{MonoTime, OrderId, UpstreamId};
use gentian_decide::placement::{EngineReport, OrderOutcome};
use gentian_decide::seat::{StoredSeat, WriteOutcome};
use gentian_process::{StateChange, VmList};

/// An event for the control thread.
#[derive(Clone, Debug)]
pub(crate) enum ControlEvent {
    /// A datagram from another process arrived.
    Peer(PeerMessage, SocketAddr),
    /// The configuration, the holder of a seat, a member or the contact with the key-value service
    /// changed.
    State(StateChange),
    /// A read of a seat's record ended: the outer `None` means no response, the inner `None` no
    /// record.
    SeatRead(SeatId, Option<Option<StoredSeat>>),
    /// A write of a seat's record ended.
    SeatWrite(SeatId, WriteOutcome),
    /// A status call that was sent at the given time ended; `None` if the call failed.
    Report(UpstreamId, Option<EngineReport>, MonoTime),
    /// An order to an engine ended.
    OrderFinished(UpstreamId, OrderId, OrderOutcome),
    /// The platform's list of VMs was read.
    VmList(VmList),
    /// No event arrived for a while.
    Tick,
    /// The process received a stop signal.
    Stop,
}

/// Sends an event to the control thread; drops it if the thread has ended.
pub(crate) fn send_event(control: &Sender<ControlEvent>, event: ControlEvent) {
    if control.send(event).is_err() {
        log::debug!("event dropped: the control thread has ended");
    }
}
