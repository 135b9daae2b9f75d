//! Filters that decide whether a request is served at all.

use gentian_core::{MonoTime, TimeSpan};
use gentian_decide::request::{FilterOutcome, Refusal, RefusalCode};

use super::CallContext;
use crate::control::FrontView;

/// Wait that a refusal before the first configuration names.
const START_WAIT: TimeSpan = TimeSpan::from_millis(500);

/// Takes the configuration in force over; without one nothing is known of any route or key.
pub(super) fn take_config(view: &FrontView, call: &mut CallContext) -> FilterOutcome {
    let Some(config) = &view.config else {
        let message = "no configuration is known yet";
        let refusal = Refusal::new(RefusalCode::ConfigStale, message).with_retry_after(START_WAIT);
        return FilterOutcome::Refuse(refusal);
    };
    call.config = config.clone();
    FilterOutcome::Continue
}

/// Finds the route by host and path.
pub(super) fn find_route(call: &mut CallContext) -> FilterOutcome {
    let route = call.config.find_route(&call.marks.host, call.head.path());
    let Some(route) = route.cloned() else {
        let message = format!("no route of '{}' serves this path", call.marks.host);
        return FilterOutcome::Refuse(Refusal::new(RefusalCode::NotFound, message));
    };
    call.route = Some(route);
    FilterOutcome::Continue
}

/// Finds the organisation that holds the caller's key.
pub(super) fn check_key(call: &mut CallContext) -> FilterOutcome {
    let is_open = call.route.as_ref().is_some_and(|route| route.allows_anonymous);
    let digest = call.marks.key.take().map(|key| key.digest());
    let config = call.config.clone();
    call.organisation = digest.and_then(|digest| config.find_organisation(&digest).cloned());
    if call.organisation.is_none() && config.requires_keys() && !is_open {
        let message = "the key is not known; ask the operators for one";
        return FilterOutcome::Refuse(Refusal::new(RefusalCode::InvalidKey, message));
    }
    FilterOutcome::Continue
}

/// Sets the latest end of the answer: the caller's patience or the route's timeout.
pub(super) fn set_deadline(call: &mut CallContext, now: MonoTime) -> FilterOutcome {
    let timeout = call.route.as_ref().map_or(TimeSpan::ZERO, |route| route.timeout);
    let patience = call.marks.timeout.unwrap_or(timeout);
    call.deadline = call.received + timeout.min(patience);
    if now >= call.deadline {
        let message = "the time was up while the request was read";
        return FilterOutcome::Refuse(Refusal::new(RefusalCode::DeadlineExceeded, message));
    }
    FilterOutcome::Continue
}
