//! Filter: determines how many tokens a request reserves.

use gentian_config::RouteKind;
use gentian_core::TokenCount;

use super::{FilterOutcome, Refusal, RefusalCode, RequestState};
use crate::share::TokenBucket;

/// Response tokens reserved if the caller sets no limit.
const DEFAULT_MAX_TOKENS: TokenCount = TokenCount::new(256);

/// Sets the tokens that a request reserves: those of the prompt and the response limit, or the
/// fixed cost of a plain call.
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
    let capacity = TokenBucket::capacity_of(organisation.rate, organisation.burst);
    if request.cost > capacity {
        let message = format!(
            "the request reserves {} tokens, organisation {} has at most {capacity} at once; set a \
             lower max_tokens",
            request.cost, organisation.id
        );
        return FilterOutcome::Refuse(Refusal::new(RefusalCode::ExceedsBurst, message));
    }
    FilterOutcome::Continue
}
