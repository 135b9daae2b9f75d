//! Weighted fair queue over flows.

use std::collections::BTreeMap;
use std::hash::Hash;

use gentian_core::FastMap;

/// Virtual time per unit of cost of a flow with weight 1.
const VIRTUAL_TIME_SCALE: u64 = 1_000;

/// Position in the queue: virtual finish time, then order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FairTag {
    finish: u64,
    arrival: u64,
}

/// Queue ordered by virtual finish time: items of a busy flow wait behind earlier items of that
/// flow and do not delay other flows.
#[derive(Debug)]
pub struct FairQueue<K, T> {
    items: BTreeMap<FairTag, T>,
    last_finish: FastMap<K, u64>,
    virtual_time: u64,
    arrivals: u64,
}

impl<K: Clone + Eq + Hash, T> FairQueue<K, T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        let (items, last_finish) = (BTreeMap::new(), FastMap::default());
        Self { items, last_finish, virtual_time: 0, arrivals: 0 }
    }

    /// Adds an item of `flow` with cost `cost`; a flow of weight 2 gets twice the share of one of
    /// weight 1.
    pub fn push(&mut self, flow: &K, weight: u32, cost: u64, item: T) {
        let start = self.last_finish.get(flow).copied().unwrap_or(0).max(self.virtual_time);
        let virtual_duration =
            cost.max(1).saturating_mul(VIRTUAL_TIME_SCALE) / u64::from(weight.max(1));
        let finish = start.saturating_add(virtual_duration);
        self.last_finish.insert(flow.clone(), finish);
        self.arrivals += 1;
        self.items.insert(FairTag { finish, arrival: self.arrivals }, item);
    }

    /// Returns the items in the order in which they should be served.
    pub fn iter(&self) -> impl Iterator<Item = (FairTag, &T)> {
        self.items.iter().map(|(tag, item)| (*tag, item))
    }

    /// Removes the item at `tag` as served, which advances the virtual time.
    pub fn serve(&mut self, tag: FairTag) -> Option<T> {
        let item = self.items.remove(&tag)?;
        self.virtual_time = self.virtual_time.max(tag.finish);
        if self.items.is_empty() {
            self.last_finish.clear();
        }
        Some(item)
    }

    /// Removes the items for which `should_remove` holds, without counting them as served.
    pub fn remove_where(&mut self, mut should_remove: impl FnMut(&T) -> bool) -> Vec<T> {
        let tags = self.items.iter().filter(|(_, item)| should_remove(item)).map(|(tag, _)| *tag);
        let tags: Vec<FairTag> = tags.collect();
        tags.into_iter().filter_map(|tag| self.items.remove(&tag)).collect()
    }

    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no item is queued.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}

impl<K: Clone + Eq + Hash, T> Default for FairQueue<K, T> {
    fn default() -> Self {
        Self::new()
    }
}
