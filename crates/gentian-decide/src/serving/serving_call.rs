//! A request to a serving fleet, and the outcome of an attempt to forward it.

use std::sync::Arc;

use gentian_config::serving::{ServingOrganisation, ServingRoute};
use gentian_core::peer::{ServiceVersion, TargetId};
use gentian_core::{
    MonoTime, RequestId, ServiceId, StreamId, TimeSpan, TokenCount, UpstreamId, WorkId,
};

use super::UpstreamRow;
use crate::selection::SharedPrefix;

/// State of a request that the call scheduler needs.
#[derive(Clone, Debug)]
pub struct ServingCall {
    /// Identifies the request within the process.
    pub id: RequestId,
    /// Route that matches the request.
    pub route: Arc<ServingRoute>,
    /// Service chosen among those of the route.
    pub service: ServiceId,
    /// Organisation that is charged; `None` on an open route.
    pub organisation: Option<Arc<ServingOrganisation>>,
    /// Model or adapter that the request needs; `None` for a plain service.
    pub target: Option<TargetId>,
    /// Tokens charged for the request.
    pub cost: TokenCount,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Parts of the prompt that other requests may share, with their tokens.
    pub shared_prefix: Option<SharedPrefix>,
    /// Parts of the prompt that other requests may share, in their order.
    pub shared_parts: Vec<WorkId>,
    /// The request as a whole; only known while upstreams have ended lately.
    pub request: Option<WorkId>,
    /// The stream of a request on a route with resumable streams; `None` if the caller has some events
    /// of it and doesn't name it.
    pub stream: Option<StreamId>,
    /// Whether the caller has some events of the stream, or may have.
    pub is_resuming: bool,
    /// Version that began the stream, once it is known; only its upstreams may go on.
    pub origin: Option<ServiceVersion>,
    /// When the request arrived.
    pub received: MonoTime,
    /// When it was last queued for an upstream: for a stream that goes on within its response, when that
    /// broke off.
    pub queued: MonoTime,
    /// Time by which the response must be complete.
    pub deadline: MonoTime,
    /// Upstreams to which the request was already sent.
    pub tried: Vec<UpstreamId>,
    /// Number of attempts that an upstream may have executed.
    pub possible_executions: u32,
    /// Whether the organisation has been charged.
    pub is_charged: bool,
}

impl ServingCall {
    /// Returns the priority, 0 is the highest: that of the organisation, or else of the route.
    pub fn priority(&self) -> u8 {
        let organisation = self.organisation.as_ref();
        organisation.and_then(|organisation| organisation.priority).unwrap_or(self.route.priority)
    }

    /// Returns from when on its wait for an upstream counts. A stream that goes on may have been received
    /// long before.
    pub fn wait_start(&self) -> MonoTime {
        if self.origin.is_some() { self.queued } else { self.received }
    }

    /// Returns whether the upstream may go on with the stream, as far as its version is concerned.
    pub fn may_go_on_at(&self, row: &UpstreamRow) -> bool {
        let version = row.registration.version.as_ref();
        self.origin.as_ref().is_none_or(|origin| version == Some(&origin.software))
    }

    /// Returns the work in the request that may make upstreams end: the parts of its prompt, then the
    /// request itself.
    pub fn works(&self) -> impl Iterator<Item = WorkId> {
        self.shared_parts.iter().copied().chain(self.request)
    }
}

/// Outcome of an attempt to forward a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream served the request, with this time to the first byte of its response.
    Served(TimeSpan),
    /// The upstream responded with an error status.
    Failed,
    /// The upstream responded that it did not execute the request.
    Rejected,
    /// No connection could be established.
    Unreachable,
    /// The connection broke before the end of the response.
    Broken,
    /// The response is invalid, and not because the connection broke.
    Invalid,
    /// The caller disconnected, or the deadline passed.
    Abandoned,
}
