//! Filter: whose key came with the request.

use gentian_config::ConfigSet;

use super::{FilterOutcome, KeyLookup, RequestState};

/// Replaces the key of a request by what the configuration knows of it.
pub fn check_key(set: &ConfigSet, request: &mut RequestState) -> FilterOutcome {
    let Some(key) = request.key.take() else { return FilterOutcome::Continue };
    request.key_lookup = match set.find_key(&key.digest()) {
        Some(spec) => KeyLookup::Known(spec.id.clone(), spec.organisation.clone()),
        None => KeyLookup::Unknown,
    };
    FilterOutcome::Continue
}
