//! What travels through the chain with a request.

use std::sync::Arc;

use arc_swap::ArcSwap;
use attohttpc::Response;
use flume::Sender;
use gentian_core::{RequestId, TokenCount, UpstreamId};
use gentian_decide::request::RequestState;
use gentian_http::HttpRequest;
use gentian_process::ProcessClock;

use super::IntentStore;
use super::intent_store::IntentTicket;
use crate::control::{ConfigSnapshot, ControlEvent};
use crate::entry_metrics::EntryMetrics;

/// What every filter can reach.
#[derive(Clone)]
pub(crate) struct CallHandles {
    /// The control thread.
    pub(crate) control: Sender<ControlEvent>,
    /// The configuration in force.
    pub(crate) snapshot: Arc<ArcSwap<ConfigSnapshot>>,
    /// Records of non-idempotent calls.
    pub(crate) intents: IntentStore,
    /// Metrics.
    pub(crate) metrics: EntryMetrics,
    /// The clock.
    pub(crate) clock: ProcessClock,
}

/// A request with its connection, on its way through the chain.
pub(crate) struct CallContext {
    /// What the filters decide on.
    pub(crate) request: RequestState,
    /// The caller's connection; taken by whoever answers.
    pub(crate) http: Option<HttpRequest>,
    /// Body of the request.
    pub(crate) body: Vec<u8>,
    /// Whether the caller wants a stream.
    pub(crate) is_stream: bool,
    /// The record of a non-idempotent call.
    pub(crate) ticket: Option<IntentTicket>,
    /// The answer of the upstream.
    pub(crate) response: Option<Response>,
    /// The upstream that answers.
    pub(crate) upstream: Option<UpstreamId>,
    /// Tokens really used.
    pub(crate) used: TokenCount,
}

impl CallContext {
    /// Creates the context of a request that no filter has seen.
    pub(crate) fn new(request: RequestState, http: HttpRequest) -> Self {
        Self {
            request,
            http: Some(http),
            body: Vec::new(),
            is_stream: false,
            ticket: None,
            response: None,
            upstream: None,
            used: TokenCount::ZERO,
        }
    }

    /// Returns the id of the request.
    pub(crate) fn id(&self) -> RequestId {
        self.request.id
    }

    /// Returns the path and query behind the prefix of the route.
    pub(crate) fn upstream_path(&self) -> String {
        let url = self.http.as_ref().map_or("", HttpRequest::url);
        let prefix = self.request.route.as_ref().map_or("", |route| route.path.as_str());
        let rest = url.strip_prefix(prefix).unwrap_or(url);
        if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") }
    }
}
