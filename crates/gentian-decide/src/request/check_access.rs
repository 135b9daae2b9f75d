//! Filter: checks that the caller may use the route.

use gentian_config::{ConfigSet, RouteAccess};

use super::{FilterOutcome, KeyLookup, Refusal, RefusalCode, RequestState};

/// Finds the organisation of a request and checks that it may use the route.
pub fn check_access(set: &ConfigSet, request: &mut RequestState) -> FilterOutcome {
    let Some(route) = &request.route else {
        return refuse(RefusalCode::NotFound, "the request has no route");
    };
    let RouteAccess::Organisations(allowed) = &route.access else {
        return FilterOutcome::Continue;
    };
    let organisation = match &request.key_lookup {
        KeyLookup::Absent => {
            let message = "this route needs a key in the header 'Authorization: Bearer KEY'";
            return refuse(RefusalCode::InvalidKey, message);
        }
        KeyLookup::Unknown => {
            return refuse(RefusalCode::InvalidKey, "the key is unknown or withdrawn");
        }
        KeyLookup::Known(_, organisation) => organisation,
    };
    if !allowed.contains(organisation) {
        let message = format!("organisation {organisation} may not use route {}", route.id);
        return refuse(RefusalCode::Forbidden, message);
    }
    request.organisation = set.organisations.get(organisation).cloned();
    if request.organisation.is_none() {
        return refuse(RefusalCode::Forbidden, "the key's organisation is not configured");
    }
    FilterOutcome::Continue
}

fn refuse(code: RefusalCode, message: impl Into<String>) -> FilterOutcome {
    FilterOutcome::Refuse(Refusal::new(code, message))
}
