//! Events of the control thread.

use flume::Sender;
use gentian_core::peer::FleetMessage;
use gentian_core::{MonoTime, RequestId, SequenceNumber, UpstreamId};
use gentian_decide::orders::{EngineOrder, EngineStateReport, LeaseReply, OrderReply};
use gentian_decide::request::Refusal;
use gentian_decide::serving::{AttemptOutcome, ServingCall, UpstreamPick};
use gentian_process::StoredValue;

/// What the control thread answers to a traffic thread.
#[derive(Clone, Debug)]
pub(crate) enum CallAssignment {
    /// The request goes to this upstream.
    Send(UpstreamPick),
    /// The request is refused.
    Refuse(Refusal),
}

/// Records as a store thread read them.
#[derive(Clone, Debug)]
pub(crate) enum StoreChange {
    /// All records of the operators, or those that changed.
    Operator {
        /// The records.
        values: Vec<StoredValue>,
        /// Whether these are all records.
        is_whole: bool,
    },
    /// All registrations of upstreams, as they were at this revision.
    Upstreams(Vec<StoredValue>, SequenceNumber),
    /// All records of the system itself.
    Own(Vec<StoredValue>),
}

/// An event of the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// A traffic thread has a request that passed the filters, or one that comes back.
    Admit {
        /// The request.
        call: Box<ServingCall>,
        /// Where the assignment goes.
        reply: Sender<CallAssignment>,
    },
    /// The answer of a request has begun.
    Answer(RequestId),
    /// An attempt ended.
    EndAttempt(RequestId, AttemptOutcome),
    /// A traffic thread no longer waits for an assignment.
    Cancel(RequestId),
    /// A datagram of another process.
    Peer(FleetMessage),
    /// Records of the key-value service.
    Store(StoreChange),
    /// Result of a lease call that was sent at the given time.
    Lease(LeaseReply, MonoTime),
    /// Answer to an order.
    Order(EngineOrder, OrderReply),
    /// Report of an engine, or `None` if it gave none.
    Report(UpstreamId, Option<EngineStateReport>),
    /// The process was asked to stop.
    Stopping,
    /// Nothing happened for a while.
    Tick,
    /// The process stops; no request is open any more.
    Stop,
}
