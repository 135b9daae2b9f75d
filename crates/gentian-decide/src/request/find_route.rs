//! Filter: finds the route of the request.

use std::sync::Arc;

use gentian_config::ConfigSet;
use gentian_core::MonoTime;

use super::{FilterOutcome, Refusal, RefusalCode, RequestState};

/// Finds the route and the deadline of a request.
pub fn find_route(set: &ConfigSet, request: &mut RequestState, now: MonoTime) -> FilterOutcome {
    let Some(route) = set.find_route(&request.attributes.path) else {
        let message = format!("no route serves the path '{}'", request.attributes.path);
        return FilterOutcome::Refuse(Refusal::new(RefusalCode::NotFound, message));
    };
    request.deadline = request.received + route.timeout;
    request.route = Some(Arc::new(route.clone()));
    if now >= request.deadline {
        let message = "the deadline passed while the request was read";
        return FilterOutcome::Refuse(Refusal::new(RefusalCode::DeadlineExceeded, message));
    }
    FilterOutcome::Continue
}
