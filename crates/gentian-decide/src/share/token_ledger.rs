//! The buckets of all organisations of a share seat.

use gentian_config::{ConfigSet, OrganisationSpec};
use gentian_core::peer::{TokenGrant, TokenRequest};
use gentian_core::{FastMap, FenceNumber, MonoTime, OrganisationId};

use super::TokenBucket;

/// Buckets at the holder of a share seat.
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

    /// Takes the organisations of a configuration over.
    ///
    /// A bucket starts empty, since an earlier holder may have granted all of it; the buckets of
    /// the first holder of all start full.
    pub fn update(&mut self, set: &ConfigSet, now: MonoTime) {
        self.buckets.retain(|id, _| set.organisations.contains_key(id));
        for spec in set.organisations.values() {
            match self.buckets.get_mut(&spec.id) {
                Some(bucket) => bucket.update(spec.rate, spec.burst, now),
                None => {
                    self.buckets.insert(spec.id.clone(), self.start_bucket(spec, now));
                }
            }
        }
    }

    /// Decides an ask; `None` if the organisation is not configured.
    pub fn decide(&mut self, ask: &TokenRequest, now: MonoTime) -> Option<TokenGrant> {
        let bucket = self.buckets.get_mut(&ask.organisation)?;
        if ask.fence == self.fence {
            bucket.refund(ask.unused, ask.oldest_grant, now);
        }
        let granted = bucket.grant(ask.wanted, ask.minimum, now);
        Some(TokenGrant {
            organisation: ask.organisation.clone(),
            granted,
            grant_number: bucket.mark(),
            ttl: bucket.life(),
            retry_after: bucket.time_until(ask.minimum),
        })
    }

    fn start_bucket(&self, spec: &OrganisationSpec, now: MonoTime) -> TokenBucket {
        let bucket = TokenBucket::new(spec.rate, spec.burst, now);
        if self.fence == FenceNumber::new(1) { bucket } else { bucket.with_nothing() }
    }
}
