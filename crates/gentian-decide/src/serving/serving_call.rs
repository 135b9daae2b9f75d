//! A request of a serving fleet that waits for an upstream.

use std::sync::Arc;

use gentian_config::serving::{OrganisationShare, ServingRoute};
use gentian_core::peer::TargetId;
use gentian_core::{MonoTime, RequestId, ServiceId, TimeSpan, TokenCount, UpstreamId};

/// What the call desk keeps of a request.
#[derive(Clone, Debug)]
pub struct ServingCall {
    /// Identifies the request within the process.
    pub id: RequestId,
    /// Route that serves the request.
    pub route: Arc<ServingRoute>,
    /// Service of the route that serves this request.
    pub service: ServiceId,
    /// Organisation that is charged; `None` on an open route.
    pub organisation: Option<Arc<OrganisationShare>>,
    /// What the request needs loaded; `None` for a plain service.
    pub target: Option<TargetId>,
    /// What the request is charged.
    pub cost: TokenCount,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that other requests share, and a digest of these parts.
    pub shared_prefix: Option<(u32, u64)>,
    /// When the request arrived.
    pub received: MonoTime,
    /// Latest time of the end of the answer.
    pub deadline: MonoTime,
    /// Upstreams that were tried already.
    pub tried: Vec<UpstreamId>,
    /// Attempts that may have run.
    pub runs: u32,
    /// Whether the organisation was charged.
    pub is_charged: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream answered well; the time to the first byte of its answer is given.
    Served(TimeSpan),
    /// The upstream answered with a failure of its own.
    Failed,
    /// The upstream said that it did not run the request.
    Rejected,
    /// No connection came about.
    Unreachable,
    /// The connection broke, or the answer was not one.
    Broken,
    /// The caller left, or the time was up.
    Abandoned,
}
