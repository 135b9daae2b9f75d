//! A request on its way through the filter chain.

use std::sync::Arc;

use gentian_config::{OrganisationSpec, RouteSpec};
use gentian_core::peer::TargetId;
use gentian_core::{KeyId, MonoTime, OrganisationId, RequestId, TokenCount};

use super::{CallerKey, RequestAttributes};

/// What is known of the key of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyLookup {
    /// No key came with the request.
    Absent,
    /// The key is not configured, or no longer.
    Unknown,
    /// The key is that of an organisation.
    Known(KeyId, OrganisationId),
}

/// A request and what the filters found out about it.
#[derive(Debug)]
pub struct RequestState {
    /// Identifies the request.
    pub id: RequestId,
    /// When its first byte arrived.
    pub received: MonoTime,
    /// What the front end found in it.
    pub attributes: RequestAttributes,
    /// The key that came with it; taken by the key filter.
    pub key: Option<CallerKey>,
    /// What the key filter found.
    pub key_lookup: KeyLookup,
    /// Route that serves it.
    pub route: Option<Arc<RouteSpec>>,
    /// Organisation that is charged; `None` on an open route.
    pub organisation: Option<OrganisationSpec>,
    /// What it needs loaded; `None` for a plain call.
    pub target: Option<TargetId>,
    /// Tokens reserved for it.
    pub cost: TokenCount,
    /// Latest time of the first byte of its answer.
    pub deadline: MonoTime,
}

impl RequestState {
    /// Creates a request that no filter has seen.
    pub fn new(id: RequestId, received: MonoTime, attributes: RequestAttributes) -> Self {
        Self {
            id,
            received,
            attributes,
            key: None,
            key_lookup: KeyLookup::Absent,
            route: None,
            organisation: None,
            target: None,
            cost: TokenCount::ZERO,
            deadline: received,
        }
    }

    /// Adds the key that came with the request.
    pub fn with_key(self, key: impl Into<Option<CallerKey>>) -> Self {
        Self { key: key.into(), ..self }
    }
}
