//! Filter: how many tokens a request reserves.

use gentian_config::RouteKind;
use gentian_core::TokenCount;

use super::{FilterOutcome, Refusal, RefusalCode, RequestState};
use crate::share::TokenBucket;

/// Answer tokens reserved when the caller sets no limit.
const DEFAULT_MAX_TOKENS: TokenCount = TokenCount::new(256);

/// Sets the tokens that a request reserves: prompt and limit, or the cost of a plain call.
pub fn set_cost(request: &mut RequestState) -> FilterOutcome {
    let Some(route) = &request.route else { return FilterOutcome::Continue };
    request.cost = match route.kind {
        RouteKind::Service => route.call_cost,
        RouteKind::Engine => {
            request.attributes.prompt_tokens
                + request.attributes.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
        }
    };
    let Some(organisation) = &request.organisation else { return FilterOutcome::Continue };
    let most = TokenBucket::capacity_of(organisation.rate, organisation.burst);
    if request.cost > most {
        let message = format!(
            "the request reserves {} tokens, organisation {} has at most {most} at once; \
             set a lower max_tokens",
            request.cost, organisation.id
        );
        return FilterOutcome::Refuse(Refusal::new(RefusalCode::ExceedsBurst, message));
    }
    FilterOutcome::Continue
}
