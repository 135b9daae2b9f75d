//! State of a request on its way through the filter chain.

use std::hash::BuildHasher;
use std::sync::Arc;

use arc_swap::ArcSwap;
use flume::Sender;
use gentian_config::serving::{ServingConfig, ServingOrganisation, ServingRoute};
use gentian_core::{
    MonoTime, RequestId, ServiceId, StreamId, TimeSpan, TokenCount, UpstreamId, WorkId,
};
use gentian_decide::quarantine::RequestIdentity;
use gentian_decide::selection::SharedPrefix;
use gentian_decide::serving::{AttemptProgress, ServingCall};
use gentian_http::ProcessClock;
use gentian_http::forward::{
    BodyBuffer, BufferBudget, BufferedStream, ConnectionPool, EventSplitter, RequestHead,
    ResponseHead,
};
use rustc_hash::FxBuildHasher;

use crate::control::{ControlEvent, TrafficView};
use crate::gateway_metrics::GatewayMetrics;
use crate::{PlatformCodec, RequestMetadata};

/// Largest number of parts of a prompt that are looked at.
const MAX_SHARED_PARTS: usize = 64;

/// Handles that all filters share.
#[derive(Clone)]
pub(crate) struct CallHandles {
    /// Queue of the control thread.
    pub(crate) control: Sender<ControlEvent>,
    /// State that the control thread publishes.
    pub(crate) view: Arc<ArcSwap<TrafficView>>,
    /// Encodes and decodes the platform's heads.
    pub(crate) codec: Arc<PlatformCodec>,
    /// Open connections to upstreams.
    pub(crate) connections: ConnectionPool,
    /// Memory for bodies of requests and responses and for queued events.
    pub(crate) buffers: BufferBudget,
    /// Whether requests that begin to run are counted for the report of usage.
    pub(crate) counts_runs: bool,
    /// Metrics.
    pub(crate) metrics: GatewayMetrics,
    /// Clock of the process.
    pub(crate) clock: ProcessClock,
}

impl CallHandles {
    /// Sends an event to the control thread.
    pub(crate) fn send_event(&self, event: ControlEvent) {
        if self.control.send(event).is_err() {
            log::error!("event dropped: the control thread ended before the traffic threads");
        }
    }
}

/// Counts a request that has begun to run at an upstream, if it belongs to an organisation. One that
/// runs at two upstreams counts twice.
pub(super) fn record_run(handles: &CallHandles, call: &CallContext) {
    if let Some(organisation) = call.organisation.as_ref().filter(|_| handles.counts_runs) {
        let (id, began) = (organisation.spec.id.clone(), handles.clock.now());
        handles.send_event(ControlEvent::RunBegan(id, began));
    }
}

/// A failed upstream's response, which is kept while the request is retried.
#[derive(Debug)]
pub(crate) struct SavedResponse {
    /// Head of the response.
    pub(crate) head: ResponseHead,
    /// Body of the response.
    pub(crate) body: BodyBuffer,
}

/// A request and its connection on their way through the filter chain.
pub(crate) struct CallContext {
    /// Identifies the request within this process.
    pub(crate) id: RequestId,
    /// Head of the request as it arrived.
    pub(crate) head: RequestHead,
    /// Body of the request.
    pub(crate) body: BodyBuffer,
    /// Metadata from the head.
    pub(crate) metadata: RequestMetadata,
    /// Connection to the caller.
    pub(crate) caller_stream: BufferedStream,
    /// When the request arrived.
    pub(crate) received: MonoTime,
    /// Whether the caller's connection is closed after the response.
    pub(crate) closes_connection: bool,
    /// Configuration that the filters use.
    pub(crate) config: Arc<ServingConfig>,
    /// Route that serves the request.
    pub(crate) route: Option<Arc<ServingRoute>>,
    /// Organisation that is charged.
    pub(crate) organisation: Option<Arc<ServingOrganisation>>,
    /// Time by which the response must be complete.
    pub(crate) deadline: MonoTime,
    /// Upstreams that have been tried.
    pub(crate) tried: Vec<UpstreamId>,
    /// Number of attempts that an upstream may have executed; it is logged as `runs`.
    pub(crate) possible_executions: u32,
    /// The request as a whole, once it had to be identified.
    pub(crate) work: Option<WorkId>,
    /// Whether the organisation has been charged.
    pub(crate) is_charged: bool,
    /// How far the latest attempt got.
    pub(crate) progress: AttemptProgress,
    /// Time from the start of the latest attempt to the head of its response.
    pub(crate) time_to_head: TimeSpan,
    /// Response that the caller gets if no retry succeeds.
    pub(crate) saved_response: Option<SavedResponse>,
    /// Splits the streamed response into events; `Some` once the response has begun.
    pub(crate) event_splitter: Option<EventSplitter>,
    /// Whether the caller's connection is no longer usable.
    pub(crate) is_connection_broken: bool,
}

impl CallContext {
    /// Creates the context of a request before any filter has run.
    pub(crate) fn new(
        id: RequestId,
        head: RequestHead,
        body: BodyBuffer,
        metadata: RequestMetadata,
        caller_stream: BufferedStream,
        received: MonoTime,
    ) -> Self {
        let closes_connection = !head.keeps_connection();
        Self {
            id,
            head,
            body,
            metadata,
            caller_stream,
            received,
            closes_connection,
            config: Arc::default(),
            route: None,
            organisation: None,
            deadline: received,
            tried: Vec::new(),
            possible_executions: 0,
            work: None,
            is_charged: false,
            progress: AttemptProgress::Unsent,
            time_to_head: TimeSpan::ZERO,
            saved_response: None,
            event_splitter: None,
            is_connection_broken: false,
        }
    }

    /// Returns the pieces of the body that follow the first one.
    pub(crate) fn further_pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.body.pieces().skip(1)
    }

    /// Returns what the control thread needs to choose an upstream; `None` if the request has no
    /// route, or its route no service.
    pub(crate) fn serving_call(&self, now: MonoTime) -> Option<ServingCall> {
        let route = self.route.clone()?;
        let service: ServiceId = route.choose_service(self.id.get())?.clone();
        let has_engine =
            self.config.services.get(&service).is_some_and(|service| service.engine.is_some());
        Some(ServingCall {
            id: self.id,
            route,
            service,
            organisation: self.organisation.clone(),
            target: self.metadata.target.clone().filter(|_| has_engine),
            cost: self.cost(),
            prompt_tokens: self.metadata.tokens.map_or(0, |(prompt, _)| prompt),
            shared_prefix: self.shared_prefix(),
            shared_parts: self.shared_parts(),
            request: self.work,
            stream: self.stream(),
            is_resuming: self.is_resuming(),
            origin: None,
            received: self.received,
            queued: now,
            deadline: self.deadline,
            tried: self.tried.clone(),
            possible_executions: self.possible_executions,
            is_charged: self.is_charged,
        })
    }

    /// Returns the id that all repeats of the request share.
    pub(crate) fn identify(&mut self) -> WorkId {
        let work = self.work.unwrap_or_else(|| self.identity_digest());
        self.work = Some(work);
        work
    }

    fn identity_digest(&self) -> WorkId {
        let parts = self.metadata.prompt_prefix.iter().map(|(digest, _)| *digest);
        let identity = RequestIdentity {
            method: &self.head.method,
            host: &self.metadata.host,
            path: &self.head.target,
            organisation: self.organisation.as_ref().map(|organisation| &organisation.spec.id),
            target: self.metadata.target.as_ref(),
            parts: &parts.collect::<Vec<u64>>(),
            body: &self.body.pieces().collect::<Vec<&[u8]>>(),
        };
        identity.work_id()
    }

    /// Returns whether the caller has some events of the stream, or may have.
    pub(crate) fn is_resuming(&self) -> bool {
        let is_resumable = self.route.as_ref().is_some_and(|route| route.kind.is_resumable());
        is_resumable && (self.event_splitter.is_some() || self.metadata.resume_after.is_some())
    }

    /// Returns the stream of which the caller wants the whole or the rest; `None` if it doesn't name the
    /// request that brought its first event.
    fn stream(&self) -> Option<StreamId> {
        let request = match self.metadata.resume_after {
            Some(_) => self.metadata.resumed_request.as_deref()?,
            None => &self.metadata.request_id,
        };
        Some(StreamId::new(FxBuildHasher.hash_one(request)))
    }

    /// Returns the event after which the stream resumes, the caller's own or that of an earlier attempt.
    pub(crate) fn resume_event(&self) -> Option<u64> {
        let own = self.event_splitter.as_ref().and_then(EventSplitter::last_id);
        own.or(self.metadata.resume_after)
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self, now: MonoTime) -> TimeSpan {
        self.deadline.since(now)
    }

    /// Returns what the organisation is charged for the request, in tokens or requests.
    pub(crate) fn cost(&self) -> TokenCount {
        use gentian_config::serving::ChargeUnit;
        match self.organisation.as_ref().map(|organisation| organisation.unit) {
            Some(ChargeUnit::Tokens { default_tokens }) => match self.metadata.tokens {
                Some((prompt, response)) => {
                    TokenCount::new(u64::from(prompt) + u64::from(response))
                }
                None => default_tokens,
            },
            _ => TokenCount::new(1),
        }
    }

    /// Returns the parts of the prompt that other requests may share, in their order.
    pub(crate) fn shared_parts(&self) -> Vec<WorkId> {
        let shared = self.metadata.prompt_prefix.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().take(MAX_SHARED_PARTS).map(|(digest, _)| WorkId::of_part(*digest)).collect()
    }

    /// Returns the parts of the prompt that other requests may share with their tokens; `None` if there
    /// are none.
    fn shared_prefix(&self) -> Option<SharedPrefix> {
        let (_, shared) = self.metadata.prompt_prefix.split_last()?;
        SharedPrefix::new(self.metadata.target.as_ref(), shared)
    }
}
