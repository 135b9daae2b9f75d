//! Hashes that are the same at every entry.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

/// Returns a hash that is the same at every entry.
pub(crate) fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns a number from 0 to 1 that is the same at every entry.
pub(crate) fn hash_fraction(value: &impl Hash) -> f64 {
    hash_of(value) as f64 / u64::MAX as f64
}

/// Returns a number from 0 to 1 that is the same at every entry. Those of two values differ by an amount
/// that depends on all parts of both: the plain hash is nearly linear, so that of two upstreams the same
/// one would come first for most requests.
pub(crate) fn mixed_fraction(value: &impl Hash) -> f64 {
    // The finalizer of SplitMix64.
    let mut hash = hash_of(value);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (hash ^ (hash >> 31)) as f64 / u64::MAX as f64
}
