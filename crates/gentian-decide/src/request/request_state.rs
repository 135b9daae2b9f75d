//! State of a request in the filter chain.

use std::sync::Arc;

use gentian_config::{OrganisationSpec, RouteSpec};
use gentian_core::peer::TargetId;
use gentian_core::{KeyId, MonoTime, OrganisationId, RequestId, TokenCount};

use super::{CallerKey, RequestAttributes};

/// Result of the lookup of a request's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyLookup {
    /// The request has no key.
    Absent,
    /// The key is not configured, or not any more.
    Unknown,
    /// The key belongs to this organisation.
    Known(KeyId, OrganisationId),
}

/// A request and the results of the filters.
#[derive(Debug)]
pub struct RequestState {
    /// Identifies the request.
    pub id: RequestId,
    /// When its first byte arrived.
    pub received: MonoTime,
    /// Attributes parsed by the front end.
    pub attributes: RequestAttributes,
    /// Key of the request; removed by the key filter.
    pub key: Option<CallerKey>,
    /// Result of the key filter.
    pub key_lookup: KeyLookup,
    /// Route that serves it.
    pub route: Option<Arc<RouteSpec>>,
    /// Organisation that is charged; `None` on an open route.
    pub organisation: Option<OrganisationSpec>,
    /// Model or adapter that it needs; `None` for a plain call.
    pub target: Option<TargetId>,
    /// Tokens reserved for it.
    pub cost: TokenCount,
    /// Time by which the first byte of the response must arrive.
    pub deadline: MonoTime,
}

impl RequestState {
    /// Creates the state of a request before the first filter.
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

    /// Sets the key of the request.
    pub fn with_key(self, key: impl Into<Option<CallerKey>>) -> Self {
        Self { key: key.into(), ..self }
    }
}
