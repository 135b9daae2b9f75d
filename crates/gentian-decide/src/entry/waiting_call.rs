//! A request that waits for tokens or for an upstream.

use std::sync::Arc;

use gentian_config::{OrganisationSpec, RouteSpec};
use gentian_core::peer::TargetId;
use gentian_core::{MonoTime, RequestId, TokenCount, UpstreamId};

use crate::request::RequestState;
use crate::share::TokenReservation;

/// What the dispatcher keeps of a request.
#[derive(Clone, Debug)]
pub struct WaitingCall {
    /// Identifies the request.
    pub id: RequestId,
    /// Organisation that is charged; `None` on an open route.
    pub organisation: Option<OrganisationSpec>,
    /// Route that serves the request.
    pub route: Arc<RouteSpec>,
    /// What the request needs loaded.
    pub target: Option<TargetId>,
    /// Tokens to reserve.
    pub cost: TokenCount,
    /// Latest time of the first byte of the answer.
    pub deadline: MonoTime,
    /// When the request began to wait.
    pub queued: MonoTime,
    /// Upstreams that were tried already.
    pub tried: Vec<UpstreamId>,
    /// Tokens reserved for the request.
    pub receipt: Option<TokenReservation>,
}

impl WaitingCall {
    /// Creates the call of a request that has passed the filters; `None` if it has no route.
    pub fn new(request: &RequestState, now: MonoTime) -> Option<Self> {
        Some(Self {
            id: request.id,
            organisation: request.organisation.clone(),
            route: request.route.clone()?,
            target: request.target.clone(),
            cost: request.cost,
            deadline: request.deadline,
            queued: now,
            tried: Vec::new(),
            receipt: None,
        })
    }
}
