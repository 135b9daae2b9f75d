//! Events of the control thread.

use std::net::SocketAddr;

use flume::Sender;
use gentian_core::peer::PeerMessage;
use gentian_core::{RequestId, UpstreamId};
use gentian_decide::entry::{CallOutcome, WaitingCall};
use gentian_decide::request::Refusal;
use gentian_process::StateChange;

/// What the control thread answers to a traffic thread.
#[derive(Clone, Debug)]
pub(crate) enum CallAssignment {
    /// The request goes to this upstream.
    Send {
        /// The upstream.
        upstream: UpstreamId,
        /// Its address.
        address: SocketAddr,
    },
    /// The request is refused.
    Refuse(Refusal),
}

/// An event of the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// A traffic thread has a request that passed the filters.
    Admit {
        /// The request.
        call: Box<WaitingCall>,
        /// Where the assignment goes.
        reply: Sender<CallAssignment>,
    },
    /// An attempt ended.
    EndCall {
        /// The request.
        id: RequestId,
        /// How it ended.
        end: CallOutcome,
    },
    /// A traffic thread no longer waits for an assignment.
    Cancel(RequestId),
    /// A datagram of another process.
    Peer(PeerMessage, SocketAddr),
    /// A change of the configuration, a seat or a member.
    State(StateChange),
    /// Nothing happened for a while.
    Tick,
    /// The process stops; no request is open any more.
    Stop,
}
