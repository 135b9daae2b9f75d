//! What an organisation may use.

use gentian_core::TokenCount;

use crate::OrganisationSpec;

/// What a request is charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChargeUnit {
    /// Each request counts as one.
    Requests,
    /// Each request counts by its tokens; one that names none counts as `default_tokens`.
    Tokens {
        /// Tokens of a request that names none.
        default_tokens: TokenCount,
    },
}

/// An organisation with its rate over all entries together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationShare {
    /// Name, rate and burst; a rate of zero means no limit.
    pub spec: OrganisationSpec,
    /// What a request is charged.
    pub unit: ChargeUnit,
    /// Rank of the organisation's requests, 0 first; `None` leaves the route's.
    pub priority: Option<u8>,
}
