//! Expected delay at an upstream, by which the selection ranks them.
//!
//! Load pattern: many requests to few upstreams that are unevenly loaded or unevenly fast.

use gentian_core::{DomainId, MonoTime, TokenCount, UpstreamId};

use super::{ServingCall, UpstreamRow};
use crate::selection::{
    CacheState, ExpectedTime, expected_engine_time, expected_plain_time, hash_fraction,
    mixed_fraction,
};

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

/// Delay for each token of a shared prefix that is to be read at an engine which doesn't come first for
/// it at every entry. Reading it delays the other prompts there, and other entries don't know then that
/// the engine holds it.
const OTHER_ENGINE_DELAY: f64 = 1.5;

/// What the delays at all upstreams depend on.
#[derive(Clone, Copy, Debug)]
pub(super) struct SelectionView<'a> {
    /// Failure domain of the entry.
    pub(super) domain: &'a DomainId,
    /// Whether the work of the other entries is known too inaccurately to follow it strictly.
    pub(super) is_large_fleet: bool,
    /// Fraction of the requests that other entries send.
    pub(super) unseen_fraction: f64,
    /// Engine that comes first for the shared prefix of the request at every entry.
    pub(super) home: Option<&'a UpstreamId>,
    /// Size of the cache of each engine; `None` if it is not known.
    pub(super) cache: Option<TokenCount>,
    /// Current time.
    pub(super) now: MonoTime,
}

/// Delay at an upstream, as the number of prompt tokens whose prefill would take as long.
#[derive(Clone, Copy, Debug)]
pub(super) struct SelectionCost {
    /// Expected time to the first event.
    pub(super) expected_tokens: f64,
    /// Prompt tokens that are likely held there.
    pub(super) held_tokens: f64,
    /// Whether it comes first for the shared prefix of the request at every entry.
    pub(super) is_home: bool,
    /// Expected time with the preferences among upstreams, by which they are ranked.
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
    let held_tokens = held_tokens(row, call, view);
    let is_plain = call.target.is_none();
    let figures = ExpectedTime {
        requests: match is_plain {
            true => row.expected_plain_requests(now),
            false => row.expected_engine_requests(now),
        },
        slots: row.slots(now),
        pace: row.pace(now),
        pending_tokens: f64::from(row.work().pending_prefill_tokens),
        prompt_tokens: f64::from(call.prompt_tokens) - held_tokens,
    };
    if is_plain {
        if view.is_large_fleet && row.load(now).is_some() {
            let fraction = mixed_fraction(&(call.received, call.id, &row.registration.id));
            preference += -fraction.max(f64::MIN_POSITIVE).ln() * LOAD_SPREAD_TOKENS;
        }
        let expected_tokens = expected_plain_time(&figures);
        let total = expected_tokens + preference;
        return SelectionCost { expected_tokens, held_tokens, is_home: false, total };
    }
    let is_home = view.home == Some(&row.registration.id);
    if let Some(prefix) = &call.shared_prefix {
        let id = &row.registration.id;
        let tokens = f64::from(prefix.tokens);
        preference += match view.cache {
            Some(_) if is_home => 0.0,
            Some(_) => {
                let unread = (tokens - held_tokens).max(0.0);
                unread * OTHER_ENGINE_DELAY * view.unseen_fraction
            }
            // Every entry prefers the same upstream for a prefix, which thus stays in its cache.
            None => tokens * hash_fraction(&(prefix.digest, id)),
        };
    }
    let expected_tokens = expected_engine_time(&figures);
    SelectionCost { expected_tokens, held_tokens, is_home, total: expected_tokens + preference }
}

/// Returns the prompt tokens of a request that are likely held at an engine.
fn held_tokens(row: &UpstreamRow, call: &ServingCall, view: &SelectionView<'_>) -> f64 {
    let (Some(cache), Some(prefix), Some(target)) = (view.cache, &call.shared_prefix, &call.target)
    else {
        return 0.0;
    };
    let state = CacheState {
        cache,
        model: &target.model,
        requests: row.expected_engine_requests(view.now),
        is_home: view.home == Some(&row.registration.id),
        unseen_fraction: view.unseen_fraction,
        now: view.now,
    };
    row.held_prompts.held_tokens(prefix, &state).min(f64::from(call.prompt_tokens))
}

/// Returns the upstream that comes first for the shared prefix of a request at every entry.
pub(super) fn find_home<'a>(
    ids: impl Iterator<Item = &'a UpstreamId>,
    call: &ServingCall,
) -> Option<&'a UpstreamId> {
    let digest = call.shared_prefix.as_ref()?.digest;
    let ranked = ids.map(|id| (mixed_fraction(&(digest, id)), id));
    ranked.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
}
