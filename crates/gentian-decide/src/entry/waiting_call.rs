//! Request that waits for tokens or for an upstream, or runs there.

use std::sync::Arc;

use gentian_config::{OrganisationSpec, RouteSpec};
use gentian_core::peer::TargetId;
use gentian_core::{MonoTime, RequestId, TokenCount, UpstreamId};

use crate::request::RequestState;
use crate::share::TokenReservation;

/// State of a request in the dispatcher, whether it waits or runs.
#[derive(Clone, Debug)]
pub struct WaitingCall {
    /// Identifies the request.
    pub id: RequestId,
    /// Organisation that is charged; `None` on a route that is open to anonymous callers.
    pub organisation: Option<OrganisationSpec>,
    /// Matched route.
    pub route: Arc<RouteSpec>,
    /// Model or adapter that the upstream must have loaded.
    pub target: Option<TargetId>,
    /// Tokens to reserve.
    pub cost: TokenCount,
    /// Latest time for the first byte of the response.
    pub deadline: MonoTime,
    /// When the request was queued.
    pub queued_at: MonoTime,
    /// Upstreams of earlier attempts.
    pub tried: Vec<UpstreamId>,
    /// Tokens reserved for the request.
    pub reservation: Option<TokenReservation>,
}

impl WaitingCall {
    /// Creates the call for a request that has passed the filter chain; `None` if no route was
    /// found.
    pub fn new(request: &RequestState, now: MonoTime) -> Option<Self> {
        Some(Self {
            id: request.id,
            organisation: request.organisation.clone(),
            route: request.route.clone()?,
            target: request.target.clone(),
            cost: request.cost,
            deadline: request.deadline,
            queued_at: now,
            tried: Vec::new(),
            reservation: None,
        })
    }
}
