//! Filter: looks up the key of the request.

use gentian_config::ConfigSet;

use super::{FilterOutcome, KeyLookup, RequestState};

/// Replaces the key of a request by the result of its lookup in the configuration. It refuses no
/// request; `check_access` does.
pub fn check_key(set: &ConfigSet, request: &mut RequestState) -> FilterOutcome {
    let Some(key) = request.key.take() else { return FilterOutcome::Continue };
    request.key_lookup = match set.find_key(&key.digest()) {
        Some(spec) => KeyLookup::Known(spec.id.clone(), spec.organisation.clone()),
        None => KeyLookup::Unknown,
    };
    FilterOutcome::Continue
}
