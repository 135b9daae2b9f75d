//! Filter: finds the model or adapter that an engine call needs.

use gentian_config::{ConfigSet, RouteKind};
use gentian_core::peer::TargetId;

use super::{FilterOutcome, Refusal, RefusalCode, RequestState};

/// Finds the model or adapter requested on an engine route.
pub fn check_model(set: &ConfigSet, request: &mut RequestState) -> FilterOutcome {
    let Some(route) = &request.route else { return FilterOutcome::Continue };
    if route.kind == RouteKind::Service {
        return FilterOutcome::Continue;
    }
    let Some(name) = &request.attributes.model else {
        let message = "the request names no model";
        return FilterOutcome::Refuse(Refusal::new(RefusalCode::BadRequest, message));
    };
    let Some(found) = set.find_model(route, name) else {
        let message = format!("route {} offers no model '{name}'", route.id);
        return FilterOutcome::Refuse(Refusal::new(RefusalCode::NotFound, message));
    };
    request.target = Some(TargetId::new(found.model).with_adapter(found.adapter));
    FilterOutcome::Continue
}
