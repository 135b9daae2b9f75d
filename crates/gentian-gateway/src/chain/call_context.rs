//! What travels through the chain with a request.

use std::sync::Arc;

use arc_swap::ArcSwap;
use flume::Sender;
use gentian_config::serving::{OrganisationShare, ServingConfig, ServingRoute};
use gentian_core::{MonoTime, RequestId, ServiceId, TimeSpan, TokenCount, UpstreamId};
use gentian_decide::serving::ServingCall;
use gentian_http::ProcessClock;
use gentian_http::forward::{ConnectionPool, EventSplitter, RequestHead, ResponseHead, WireStream};

use crate::control::{ControlEvent, FrontView};
use crate::gateway_metrics::GatewayMetrics;
use crate::{PlatformCodec, RequestMetadata};

/// What every filter can reach.
#[derive(Clone)]
pub(crate) struct CallHandles {
    /// The control thread.
    pub(crate) control: Sender<ControlEvent>,
    /// What the control thread shows.
    pub(crate) view: Arc<ArcSwap<FrontView>>,
    /// Encodes and decodes heads.
    pub(crate) dialect: Arc<PlatformCodec>,
    /// Kept connections to upstreams.
    pub(crate) connections: ConnectionPool,
    /// Metrics.
    pub(crate) metrics: GatewayMetrics,
    /// The clock.
    pub(crate) clock: ProcessClock,
}

impl CallHandles {
    /// Tells the control thread.
    pub(crate) fn tell(&self, event: ControlEvent) {
        if self.control.send(event).is_err() {
            log::error!("the control thread ended before the traffic threads");
        }
    }
}

/// An answer of an upstream that is kept while another attempt is made.
#[derive(Debug)]
pub(crate) struct HeldAnswer {
    /// Its head.
    pub(crate) head: ResponseHead,
    /// Its body.
    pub(crate) body: Vec<u8>,
}

/// A request with its connection, on its way through the chain.
pub(crate) struct CallContext {
    /// Identifies the request within the process.
    pub(crate) id: RequestId,
    /// Head as it arrived.
    pub(crate) head: RequestHead,
    /// Body.
    pub(crate) body: Vec<u8>,
    /// What the head says.
    pub(crate) marks: RequestMetadata,
    /// The caller's connection.
    pub(crate) client: WireStream,
    /// When the request arrived.
    pub(crate) received: MonoTime,
    /// Whether the caller's connection is closed behind the answer.
    pub(crate) closes: bool,
    /// Configuration that the filters go by.
    pub(crate) config: Arc<ServingConfig>,
    /// Route that serves the request.
    pub(crate) route: Option<Arc<ServingRoute>>,
    /// Organisation that is charged.
    pub(crate) organisation: Option<Arc<OrganisationShare>>,
    /// Latest time of the end of the answer.
    pub(crate) deadline: MonoTime,
    /// Upstreams that were tried.
    pub(crate) tried: Vec<UpstreamId>,
    /// Attempts that may have run.
    pub(crate) runs: u32,
    /// Whether the organisation was charged.
    pub(crate) is_charged: bool,
    /// Answer that is sent if no better one comes.
    pub(crate) held: Option<HeldAnswer>,
    /// Events handed on so far, once the answer has begun.
    pub(crate) events: Option<EventSplitter>,
    /// Whether the caller's connection can be used no more.
    pub(crate) is_broken: bool,
}

impl CallContext {
    /// Creates the context of a request that no filter has seen.
    pub(crate) fn new(
        id: RequestId,
        head: RequestHead,
        marks: RequestMetadata,
        client: WireStream,
        received: MonoTime,
    ) -> Self {
        let closes = !head.keeps_connection();
        Self {
            id,
            head,
            body: Vec::new(),
            marks,
            client,
            received,
            closes,
            config: Arc::default(),
            route: None,
            organisation: None,
            deadline: received,
            tried: Vec::new(),
            runs: 0,
            is_charged: false,
            held: None,
            events: None,
            is_broken: false,
        }
    }

    /// Adds the body.
    pub(crate) fn with_body(self, body: Vec<u8>) -> Self {
        Self { body, ..self }
    }

    /// Returns what the control thread needs to choose an upstream; `None` without a route.
    pub(crate) fn serving_call(&self) -> Option<ServingCall> {
        let route = self.route.clone()?;
        let service: ServiceId = route.choose_service(self.id.get())?.clone();
        let has_engine =
            self.config.services.get(&service).is_some_and(|service| service.engine.is_some());
        Some(ServingCall {
            id: self.id,
            route,
            service,
            organisation: self.organisation.clone(),
            target: self.marks.target.clone().filter(|_| has_engine),
            cost: self.cost(),
            prompt_tokens: self.marks.tokens.map_or(0, |(prompt, _)| prompt),
            shared_prefix: self.shared_prefix(),
            received: self.received,
            deadline: self.deadline,
            tried: self.tried.clone(),
            runs: self.runs,
            is_charged: self.is_charged,
        })
    }

    /// Returns the time that is left.
    pub(crate) fn time_left(&self, now: MonoTime) -> TimeSpan {
        self.deadline.since(now)
    }

    /// Returns what the request is charged.
    pub(crate) fn cost(&self) -> TokenCount {
        use gentian_config::serving::ChargeUnit;
        match self.organisation.as_ref().map(|share| share.unit) {
            Some(ChargeUnit::Tokens { default_tokens }) => match self.marks.tokens {
                Some((prompt, answer)) => TokenCount::new(u64::from(prompt) + u64::from(answer)),
                None => default_tokens,
            },
            _ => TokenCount::new(1),
        }
    }

    fn shared_prefix(&self) -> Option<(u32, u64)> {
        let (_, shared) = self.marks.prompt_prefix.split_last()?;
        let (last, _) = shared.last()?;
        let tokens = shared.iter().map(|(_, tokens)| *tokens).sum();
        let digest = shared.iter().fold(*last, |sum, (digest, _)| sum.rotate_left(7) ^ digest);
        Some((tokens, digest))
    }
}
