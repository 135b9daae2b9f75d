//! Filter: checks that the configuration is recent enough to trust keys.

use gentian_config::RouteAccess;

use super::{FilterOutcome, Refusal, RefusalCode, RequestState};

/// Refuses requests to routes that need a key while the configuration may be out of date, since the
/// key may have been withdrawn.
pub fn check_freshness(is_stale: bool, request: &RequestState) -> FilterOutcome {
    let is_open = request.route.as_ref().is_some_and(|route| route.access == RouteAccess::Open);
    if !is_stale || is_open {
        return FilterOutcome::Continue;
    }
    let message = "this entry cannot confirm its configuration; repeat at another one";
    FilterOutcome::Refuse(Refusal::new(RefusalCode::ConfigStale, message))
}
