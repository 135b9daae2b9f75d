//! Rates, bursts and priorities of organisations.

use gentian_core::TokenCount;

use crate::OrganisationSpec;

/// Unit in which requests are charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChargeUnit {
    /// Each request counts as one.
    Requests,
    /// Each request counts as its number of tokens, or as `default_tokens` if it states none.
    Tokens {
        /// Tokens charged for a request that states no token count.
        default_tokens: TokenCount,
    },
}

/// An organisation with its rate over all entries together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingOrganisation {
    /// Name, rate and burst; a rate of zero means no limit.
    pub spec: OrganisationSpec,
    /// Unit in which requests are charged.
    pub unit: ChargeUnit,
    /// Priority of the organisation's requests, 0 is the highest; `None` means that the
    /// route's priority applies.
    pub priority: Option<u8>,
}
