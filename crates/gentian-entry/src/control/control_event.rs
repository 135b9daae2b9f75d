//! Events that the control thread handles.

use std::net::SocketAddr;

use flume::Sender;
use gentian_core::peer::PeerMessage;
use gentian_core::{RequestId, UpstreamId};
use gentian_decide::entry::{CallOutcome, WaitingCall};
use gentian_decide::request::Refusal;
use gentian_process::StateChange;

/// Reply of the control thread to a traffic thread that waits for an upstream.
#[derive(Clone, Debug)]
pub(crate) enum CallAssignment {
    /// Send the request to this upstream.
    Send {
        /// The upstream.
        upstream: UpstreamId,
        /// Address of the upstream.
        address: SocketAddr,
    },
    /// Refuse the request.
    Refuse(Refusal),
}

/// An event for the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// A traffic thread needs an upstream for a request.
    RequestUpstream {
        /// The request.
        call: Box<WaitingCall>,
        /// Receives the assignments, one for each attempt.
        reply: Sender<CallAssignment>,
    },
    /// An attempt of a request ended.
    EndCall {
        /// The request.
        id: RequestId,
        /// How the attempt ended.
        outcome: CallOutcome,
    },
    /// A traffic thread no longer waits for an assignment.
    Cancel(RequestId),
    /// A datagram from another process arrived.
    Peer(PeerMessage, SocketAddr),
    /// The configuration, the holder of a seat, a member or the contact with the key-value service
    /// changed.
    State(StateChange),
    /// No event arrived for a while.
    Tick,
    /// The control thread must end; no request is open any more.
    Stop,
}
