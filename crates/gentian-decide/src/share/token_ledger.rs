//! Token buckets of the organisations of a share seat.

use gentian_config::{ConfigSet, OrganisationSpec};
use gentian_core::peer::{TokenGrant, TokenRequest};
use gentian_core::{FastMap, FenceNumber, MonoTime, OrganisationId};

use super::TokenBucket;

/// Token buckets kept by the holder of a share seat.
#[derive(Debug)]
pub struct TokenLedger {
    fence: FenceNumber,
    buckets: FastMap<OrganisationId, TokenBucket>,
}

impl TokenLedger {
    /// Creates the ledger of a holder with fencing number `fence`.
    pub fn new(fence: FenceNumber) -> Self {
        Self { fence, buckets: FastMap::default() }
    }

    /// Applies the organisations of a configuration.
    ///
    /// A new bucket starts empty, since an earlier holder may have granted all of its tokens. Only
    /// the very first holder of the seat starts with full buckets.
    pub fn update(&mut self, set: &ConfigSet, now: MonoTime) {
        self.buckets.retain(|id, _| set.organisations.contains_key(id));
        for spec in set.organisations.values() {
            match self.buckets.get_mut(&spec.id) {
                Some(bucket) => bucket.update(spec.rate, spec.burst, now),
                None => {
                    self.buckets.insert(spec.id.clone(), self.new_bucket(spec, now));
                }
            }
        }
    }

    /// Grants tokens for a request, or returns `None` if the organisation is not configured.
    pub fn decide(&mut self, request: &TokenRequest, now: MonoTime) -> Option<TokenGrant> {
        let bucket = self.buckets.get_mut(&request.organisation)?;
        if request.fence == self.fence {
            bucket.refund(request.unused, request.oldest_grant, now);
        }
        let granted = bucket.grant(request.wanted, request.minimum, now);
        Some(TokenGrant {
            organisation: request.organisation.clone(),
            granted,
            grant_number: bucket.last_grant(),
            ttl: bucket.ttl(),
            retry_after: bucket.time_until(request.minimum),
        })
    }

    fn new_bucket(&self, spec: &OrganisationSpec, now: MonoTime) -> TokenBucket {
        let bucket = TokenBucket::new(spec.rate, spec.burst, now);
        if self.fence == FenceNumber::new(1) { bucket } else { bucket.emptied() }
    }
}
