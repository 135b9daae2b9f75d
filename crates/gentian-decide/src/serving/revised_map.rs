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

    /// Returns the values that changed after `known`, up to `last`.
    pub(super) fn changed_within(&self, known: SequenceNumber, last: SequenceNumber) -> Vec<V> {
        let changed = self.values.values().filter(|it| it.revision > known && it.revision <= last);
        changed.map(|revised| revised.value.clone()).collect()
    }

    /// Returns the revision up to which the values that changed after `known` are at most `count`;
    /// `None` if all of them are.
    pub(super) fn page_end(&self, known: SequenceNumber, count: usize) -> Option<SequenceNumber> {
        let changed = self.values.values().map(|it| it.revision).filter(|it| *it > known);
        let mut revisions: Vec<SequenceNumber> = changed.collect();
        if revisions.len() <= count {
            return None;
        }
        let (_, last, _) = revisions.select_nth_unstable(count.saturating_sub(1));
        Some(*last)
    }

    /// Keeps the values for whose keys `is_wanted` returns `true`.
    pub(super) fn retain(&mut self, is_wanted: impl Fn(&K) -> bool) {
        self.values.retain(|key, _| is_wanted(key));
    }
}
