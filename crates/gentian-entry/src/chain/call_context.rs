//! State of a request on its way through the filter chain.

use std::sync::Arc;

use arc_swap::ArcSwap;
use flume::Sender;
use gentian_core::{RequestId, TokenCount, UpstreamId};
use gentian_decide::request::RequestState;
use gentian_http::forward::{BodyBuffer, BufferBudget};
use gentian_http::{CallResponse, HttpRequest};
use gentian_process::ProcessClock;

use super::IntentStore;
use super::intent_store::IntentClaim;
use crate::control::{ConfigSnapshot, ControlEvent};
use crate::entry_metrics::EntryMetrics;

/// Handles that all filters share.
#[derive(Clone)]
pub(crate) struct CallHandles {
    /// Queue of the control thread.
    pub(crate) control: Sender<ControlEvent>,
    /// Configuration in force.
    pub(crate) snapshot: Arc<ArcSwap<ConfigSnapshot>>,
    /// Records of non-idempotent calls.
    pub(crate) intents: IntentStore,
    /// Memory for bodies of requests and for what is read of responses before it can be sent.
    pub(crate) buffers: BufferBudget,
    /// Metrics.
    pub(crate) metrics: EntryMetrics,
    /// Clock of the process.
    pub(crate) clock: ProcessClock,
}

/// A request and its connection on their way through the filter chain.
pub(crate) struct CallContext {
    /// State of the request on which the filters decide.
    pub(crate) request: RequestState,
    /// The caller's connection; `None` once a response has been sent or begun.
    pub(crate) http: Option<HttpRequest>,
    /// Body of the request.
    pub(crate) body: BodyBuffer,
    /// Whether the caller requested a streamed response.
    pub(crate) is_stream: bool,
    /// Claim on the record of a non-idempotent call.
    pub(crate) claim: Option<IntentClaim>,
    /// Response of the upstream.
    pub(crate) response: Option<CallResponse>,
    /// Upstream of the latest attempt.
    pub(crate) upstream: Option<UpstreamId>,
    /// Tokens that the request has used.
    pub(crate) used: TokenCount,
}

impl CallContext {
    /// Creates the context of a request before any filter has run.
    pub(crate) fn new(request: RequestState, http: HttpRequest, budget: &BufferBudget) -> Self {
        Self {
            request,
            http: Some(http),
            body: BodyBuffer::for_request(budget.reserve()),
            is_stream: false,
            claim: None,
            response: None,
            upstream: None,
            used: TokenCount::ZERO,
        }
    }

    /// Returns the id of the request.
    pub(crate) fn id(&self) -> RequestId {
        self.request.id
    }

    /// Returns the path and query without the route's prefix, as the upstream gets them.
    pub(crate) fn upstream_path(&self) -> String {
        let url = self.http.as_ref().map_or("", HttpRequest::url);
        let prefix = self.request.route.as_ref().map_or("", |route| route.path_prefix.as_str());
        let rest = url.strip_prefix(prefix).unwrap_or(url);
        if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") }
    }
}
