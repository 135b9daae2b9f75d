//! Filters that decide whether a request is admitted.

use gentian_core::{MonoTime, TimeSpan};
use gentian_decide::request::{FilterOutcome, Refusal, RefusalCode};

use super::CallContext;
use crate::control::TrafficView;

/// Retry delay in refusals before the first configuration.
const STARTUP_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(500);

/// Attaches the configuration in force; refuses the request if there is none, since no route or key
/// is known yet. The refusal code for a stale configuration covers this case as well.
pub(super) fn attach_config(view: &TrafficView, call: &mut CallContext) -> FilterOutcome {
    let Some(config) = &view.config else {
        let message = "no configuration is known yet";
        let refusal =
            Refusal::new(RefusalCode::ConfigStale, message).with_retry_after(STARTUP_RETRY_DELAY);
        return FilterOutcome::Refuse(refusal);
    };
    call.config = config.clone();
    FilterOutcome::Continue
}

/// Finds the route of the request by host and path.
pub(super) fn find_route(call: &mut CallContext) -> FilterOutcome {
    let route = call.config.find_route(&call.metadata.host, call.head.path());
    let Some(route) = route.cloned() else {
        let message = format!("no route of '{}' serves this path", call.metadata.host);
        return FilterOutcome::Refuse(Refusal::new(RefusalCode::NotFound, message));
    };
    call.route = Some(route);
    FilterOutcome::Continue
}

/// Finds the organisation that owns the caller's key.
pub(super) fn check_key(call: &mut CallContext) -> FilterOutcome {
    let allows_anonymous = call.route.as_ref().is_some_and(|route| route.allows_anonymous);
    let digest = call.metadata.key.take().map(|key| key.digest());
    let config = call.config.clone();
    call.organisation = digest.and_then(|digest| config.find_organisation(&digest).cloned());
    if call.organisation.is_none() && config.requires_keys() && !allows_anonymous {
        let message = "the key is not known; ask the operators for one";
        return FilterOutcome::Refuse(Refusal::new(RefusalCode::InvalidKey, message));
    }
    FilterOutcome::Continue
}

/// Sets the deadline of the response from the route's timeout or the caller's, whichever is
/// shorter.
pub(super) fn set_deadline(call: &mut CallContext, now: MonoTime) -> FilterOutcome {
    let route_timeout = call.route.as_ref().map_or(TimeSpan::ZERO, |route| route.timeout);
    let caller_timeout = call.metadata.timeout.unwrap_or(route_timeout);
    call.deadline = call.received + route_timeout.min(caller_timeout);
    if now >= call.deadline {
        let message = "the time was up while the request was read";
        return FilterOutcome::Refuse(Refusal::new(RefusalCode::DeadlineExceeded, message));
    }
    FilterOutcome::Continue
}
