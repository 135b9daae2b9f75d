//! Events that the control thread handles.

use flume::Sender;
use gentian_core::peer::FleetMessage;
use gentian_core::{MonoTime, OrganisationId, RequestId, RequestRate, StoreRevision, UpstreamId};
use gentian_decide::duties::{DutyReply, UsageCall, UsageStoreReply};
use gentian_decide::orders::{EngineOrder, EngineStateReport, LeaseReply, OrderReply};
use gentian_decide::request::Refusal;
use gentian_decide::selection::LoadReading;
use gentian_decide::serving::{AttemptEnd, ServingCall, UpstreamNotice, UpstreamPick};
use gentian_process::StoredValue;

/// Reply of the control thread to a traffic thread that needs an upstream for a request.
#[derive(Clone, Debug)]
pub(crate) enum CallAssignment {
    /// Send the request to this upstream.
    Send(UpstreamPick),
    /// Refuse the request.
    Refuse(Refusal),
}

/// Records that a store thread read from the key-value service.
#[derive(Clone, Debug)]
pub(crate) enum StoreRecords {
    /// Records of the operators.
    Operator {
        /// The records.
        values: Vec<StoredValue>,
        /// Revision at which all records of the operators were read; `None` if these are only those
        /// that changed.
        snapshot: Option<StoreRevision>,
    },
    /// All upstream registrations.
    Upstreams {
        /// The registrations.
        values: Vec<StoredValue>,
        /// Revision of the list.
        revision: StoreRevision,
        /// When the read was sent, if it was a fresh one.
        fresh_since: Option<MonoTime>,
    },
    /// All records that the entries of the fleet write, at the given revision.
    Fleet(Vec<StoredValue>, StoreRevision),
}

/// An event for the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// A traffic thread needs an upstream for a request, for the first time or for a retry.
    Admit {
        /// The request.
        call: Box<ServingCall>,
        /// Receives the assignment.
        reply: Sender<CallAssignment>,
    },
    /// The head of a request's response has arrived.
    Head {
        /// The request.
        id: RequestId,
        /// Limit that the response names.
        request_limit: Option<RequestRate>,
        /// Whether it is a success; the response of an overloaded upstream may lack the limit.
        is_success: bool,
        /// Load of the upstream that the response reports.
        load: Option<LoadReading>,
        /// What else the response says about its upstream.
        notices: Vec<UpstreamNotice>,
    },
    /// A request of an organisation began to run at an upstream at this time.
    RunBegan(OrganisationId, MonoTime),
    /// The report of an upstream names another start than its registration, or none.
    StartReported {
        /// The upstream.
        upstream: UpstreamId,
        /// Start of which it was listed when it was selected.
        incarnation: u64,
        /// Start that the report names.
        start: Option<u64>,
    },
    /// An attempt of a request ended.
    EndAttempt(AttemptEnd),
    /// A traffic thread no longer waits for an assignment.
    Cancel(RequestId),
    /// A datagram of another process arrived.
    Peer(FleetMessage),
    /// Records of the key-value service were read.
    Store(StoreRecords),
    /// A lease call that was sent at the given time ended with this result.
    LeaseCallEnded(LeaseReply, MonoTime),
    /// The call that sent an order to an engine ended with this reply.
    OrderEnded(EngineOrder, OrderReply),
    /// Report of an engine; `None` if the call failed.
    EngineReport(UpstreamId, Option<EngineStateReport>),
    /// A call of the key-value service for the report of usage ended.
    UsageStored(UsageStoreReply),
    /// The call that reported usage to the platform ended with this reply.
    UsageReported(UsageCall, DutyReply),
    /// A stop signal arrived; open requests are still served.
    StopRequested,
    /// No event arrived before the next due time or within the longest wait.
    Tick,
    /// The control thread must end.
    Stop,
}
