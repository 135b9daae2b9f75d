//! A map that tracks the revision at which each value last changed.

use std::hash::Hash;

use gentian_core::{FastMap, SequenceNumber};

#[derive(Clone, Debug)]
struct RevisedValue<V> {
    revision: SequenceNumber,
    value: V,
}

/// A map that can return the values that changed after a given revision.
#[derive(Clone, Debug)]
pub(super) struct RevisedMap<K, V> {
    values: FastMap<K, RevisedValue<V>>,
}

impl<K: Eq + Hash, V: Clone + PartialEq> RevisedMap<K, V> {
    /// Creates an empty map.
    pub(super) fn new() -> Self {
        Self { values: FastMap::default() }
    }

    /// Sets a value and returns whether it changed. A changed value gets the revision after `last`,
    /// which is advanced to it.
    pub(super) fn set(&mut self, key: K, value: V, last: &mut SequenceNumber) -> bool {
        if self.values.get(&key).is_some_and(|revised| revised.value == value) {
            return false;
        }
        *last = last.next();
        self.values.insert(key, RevisedValue { revision: *last, value });
        true
    }

    /// Returns a value.
    pub(super) fn get(&self, key: &K) -> Option<&V> {
        self.values.get(key).map(|revised| &revised.value)
    }

    /// Returns the keys.
    pub(super) fn keys(&self) -> impl Iterator<Item = &K> {
        self.values.keys()
    }

    /// Returns the values.
    pub(super) fn values(&self) -> impl Iterator<Item = &V> {
        self.values.values().map(|revised| &revised.value)
    }

    /// Returns the number of values.
    pub(super) fn len(&self) -> usize {
        self.values.len()
    }

    /// Returns the values that changed after `known`, with their revisions.
    pub(super) fn changed_since(
        &self,
        known: SequenceNumber,
    ) -> impl Iterator<Item = (SequenceNumber, &V)> {
        let revised = self.values.values().filter(move |revised| revised.revision > known);
        revised.map(|revised| (revised.revision, &revised.value))
    }

    /// Keeps the values for whose keys `is_wanted` returns `true`.
    pub(super) fn retain(&mut self, is_wanted: impl Fn(&K) -> bool) {
        self.values.retain(|key, _| is_wanted(key));
    }
}
