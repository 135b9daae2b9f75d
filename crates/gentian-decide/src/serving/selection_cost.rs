//! Expected delay at an upstream, by which the selection ranks them.

use std::hash::{Hash, Hasher};

use gentian_core::{DomainId, MonoTime};
use rustc_hash::FxHasher;

use super::{ServingCall, UpstreamRow};

/// Delays that the selection assumes for each running request, for another failure domain, for a
/// failure rate of one and for an upstream that was already tried. The unit is the number of prompt
/// tokens whose prefill would take as long.
const RUNNING_DELAY_TOKENS: f64 = 60.0;
const OTHER_DOMAIN_DELAY_TOKENS: f64 = 40.0;
const FAILURE_DELAY_TOKENS: f64 = 20_000.0;
const TRIED_DELAY_TOKENS: f64 = 1e9;
/// Delay at an upstream of a plain service whose slots are all in use, in the same unit.
const FULL_SLOTS_DELAY_TOKENS: f64 = 2_000.0;

/// Returns the expected delay of `call` at an upstream for an entry in `domain`, as the number of
/// prompt tokens whose prefill would take as long.
pub(super) fn selection_cost(
    row: &UpstreamRow,
    call: &ServingCall,
    domain: &DomainId,
    now: MonoTime,
) -> f64 {
    let work = row.work();
    let mut delay = row.failure_rate(now) * FAILURE_DELAY_TOKENS;
    if row.registration.domain != *domain {
        delay += OTHER_DOMAIN_DELAY_TOKENS;
    }
    if call.tried.contains(&row.registration.id) {
        delay += TRIED_DELAY_TOKENS;
    }
    if call.target.is_none() {
        let slots = row.registration.slots.get().max(1) as f64;
        return delay + f64::from(work.running) / slots * FULL_SLOTS_DELAY_TOKENS;
    }
    delay +=
        f64::from(work.pending_prefill_tokens) + f64::from(work.running) * RUNNING_DELAY_TOKENS;
    if let Some((tokens, digest)) = call.shared_prefix {
        // Every entry prefers the same upstream for a prefix, which thus stays in its cache.
        let preference = hash_of(&(digest, &row.registration.id)) as f64 / u64::MAX as f64;
        delay += f64::from(tokens) * preference;
    }
    delay
}

/// Returns a hash that is the same at every entry.
pub(super) fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    value.hash(&mut hasher);
    hasher.finish()
}
