//! Expected delay at an upstream, by which the selection ranks them.
//!
//! Load pattern: many requests to few upstreams that are unevenly loaded or unevenly fast.

use std::hash::{Hash, Hasher};

use gentian_core::{DomainId, MonoTime};
use rustc_hash::FxHasher;

use super::{ServingCall, UpstreamRow};
use crate::selection::{ExpectedTime, expected_engine_time, expected_plain_time};

/// Delays that the selection assumes for another failure domain, for a failure rate of one and for an
/// upstream that was already tried. The unit is the number of prompt tokens whose prefill would take
/// as long.
const OTHER_DOMAIN_DELAY_TOKENS: f64 = 40.0;
const FAILURE_DELAY_TOKENS: f64 = 20_000.0;
const TRIED_DELAY_TOKENS: f64 = 1e9;
/// Mean of the random delay, distributed exponentially, that is added for an upstream of a plain service
/// that reports its load, in the same unit. Entries that see one idle upstream at the same time then
/// don't all choose it.
const LOAD_SPREAD_TOKENS: f64 = 600.0;

/// What the delays at all upstreams depend on.
#[derive(Clone, Copy, Debug)]
pub(super) struct SelectionView<'a> {
    /// Failure domain of the entry.
    pub(super) domain: &'a DomainId,
    /// Whether the work of the other entries is known too inaccurately to follow it strictly.
    pub(super) is_large_fleet: bool,
    /// Current time.
    pub(super) now: MonoTime,
}

/// Delay at an upstream, as the number of prompt tokens whose prefill would take as long.
#[derive(Clone, Copy, Debug)]
pub(super) struct SelectionCost {
    /// Expected time to the first event.
    pub(super) expected_tokens: f64,
    /// The same with the preferences among upstreams, by which they are ranked.
    pub(super) total: f64,
}

/// Returns the delay of `call` at an upstream.
pub(super) fn selection_cost(
    row: &UpstreamRow,
    call: &ServingCall,
    view: &SelectionView<'_>,
) -> SelectionCost {
    let now = view.now;
    let mut preference = row.failure_rate(now) * FAILURE_DELAY_TOKENS;
    if row.registration.domain != *view.domain {
        preference += OTHER_DOMAIN_DELAY_TOKENS;
    }
    if call.tried.contains(&row.registration.id) {
        preference += TRIED_DELAY_TOKENS;
    }
    let is_plain = call.target.is_none();
    let figures = ExpectedTime {
        requests: match is_plain {
            true => row.expected_plain_requests(now),
            false => row.expected_engine_requests(now),
        },
        slots: row.slots(now),
        pace: row.pace(now),
        pending_tokens: f64::from(row.work().pending_prefill_tokens),
        prompt_tokens: f64::from(call.prompt_tokens),
    };
    if is_plain {
        if view.is_large_fleet && row.load(now).is_some() {
            let fraction = mixed_fraction(&(call.received, call.id, &row.registration.id));
            preference += -fraction.max(f64::MIN_POSITIVE).ln() * LOAD_SPREAD_TOKENS;
        }
        return SelectionCost::new(expected_plain_time(&figures), preference);
    }
    if let Some((tokens, digest)) = call.shared_prefix {
        // Every entry prefers the same upstream for a prefix, which thus stays in its cache.
        preference += f64::from(tokens) * hash_fraction(&(digest, &row.registration.id));
    }
    SelectionCost::new(expected_engine_time(&figures), preference)
}

impl SelectionCost {
    fn new(expected_tokens: f64, preference: f64) -> Self {
        Self { expected_tokens, total: expected_tokens + preference }
    }
}

/// Returns a number from 0 to 1 that is the same at every entry.
fn hash_fraction(value: &impl Hash) -> f64 {
    hash_of(value) as f64 / u64::MAX as f64
}

/// Returns a number from 0 to 1 that is the same at every entry. Those of two values differ by an amount
/// that depends on all parts of both: the plain hash is nearly linear, so that of two upstreams the same
/// one would come first for most requests.
fn mixed_fraction(value: &impl Hash) -> f64 {
    // The finalizer of SplitMix64.
    let mut hash = hash_of(value);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (hash ^ (hash >> 31)) as f64 / u64::MAX as f64
}

/// Returns a hash that is the same at every entry.
pub(super) fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    value.hash(&mut hasher);
    hasher.finish()
}
