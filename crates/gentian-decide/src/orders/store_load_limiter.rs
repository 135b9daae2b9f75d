//! Limits the loads from the weight store. Load pattern: more loads at once than the store serves at
//! full speed, which slows all of them down.

use std::collections::VecDeque;

use gentian_core::{FastMap, ModelId, MonoTime, TimeSpan, UpstreamId};

use super::store_schedule::LoadClass;

/// Loads per window that are left unused as a reserve for loads that an earlier holder has started
/// and that this one does not know of.
const RESERVED_LOADS: f64 = 2.0;

/// Concurrent loads that a new holder allows until it has seen how long they take. The weight stores of
/// the users' platform serve two at full speed.
const INITIAL_CONCURRENCY: usize = 2;
/// Duration of a load, in percent of the expected one, up to which the concurrency limit grows.
const FAST_PERCENT: u64 = 110;
/// Duration of a load, in percent of the expected one, from which the concurrency limit shrinks.
const SLOW_PERCENT: u64 = 130;
/// Share of a load by which the mean concurrency during a load may miss the limit that it confirms.
const CONCURRENCY_TOLERANCE: f64 = 0.25;
/// Time for which a concurrency that was too high is not tried again.
const SLOW_MEMORY: TimeSpan = TimeSpan::from_secs(120);

/// A running load from the weight store.
#[derive(Clone, Debug)]
pub(super) struct StoreLoad {
    pub(super) model: ModelId,
    pub(super) class: LoadClass,
    /// Value of `load_seconds` at its start.
    load_seconds: f64,
}

/// Counts the loads from the weight store in a sliding window, and adapts the number of concurrent
/// loads to what the store serves at full speed.
#[derive(Clone, Debug)]
pub struct StoreLoadLimiter {
    /// Bounded by the loads that a window allows.
    started: VecDeque<MonoTime>,
    /// Running loads, by engine.
    open: FastMap<UpstreamId, StoreLoad>,
    /// Sum of the durations of all loads so far, in seconds, up to `updated`.
    load_seconds: f64,
    updated: MonoTime,
    max_concurrent: usize,
    /// A concurrency that was too high, and when that was found.
    too_high: Option<(usize, MonoTime)>,
    last_class: Option<LoadClass>,
}

impl StoreLoadLimiter {
    /// Creates a limiter that has counted no load.
    pub fn new() -> Self {
        Self {
            started: VecDeque::new(),
            open: FastMap::default(),
            load_seconds: 0.0,
            updated: MonoTime::ORIGIN,
            max_concurrent: INITIAL_CONCURRENCY,
            too_high: None,
            last_class: None,
        }
    }

    /// Returns how many loads the store is taken to serve at full speed.
    pub fn max_concurrent(&self) -> usize {
        self.max_concurrent
    }

    /// Returns the number of running loads.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Returns the classes of the running loads.
    pub(super) fn open_classes(&self) -> impl Iterator<Item = LoadClass> {
        self.open.values().map(|load| load.class)
    }

    /// Returns the class of the load that was started last.
    pub(super) fn last_class(&self) -> Option<LoadClass> {
        self.last_class
    }

    /// Returns how many loads may still start in the window that ends now if the store can serve
    /// `rate` loads per second.
    pub fn window_capacity(&mut self, rate: f64, window: TimeSpan, now: MonoTime) -> usize {
        while self.started.front().is_some_and(|time| now.since(*time) > window) {
            self.started.pop_front();
        }
        let limit = (rate * window.as_secs_f64() - RESERVED_LOADS).max(1.0);
        (limit as usize).saturating_sub(self.started.len())
    }

    /// Records the start of a load.
    pub(super) fn record_start(
        &mut self,
        upstream: &UpstreamId,
        model: &ModelId,
        class: LoadClass,
        now: MonoTime,
    ) {
        self.advance(now);
        self.started.push_back(now);
        self.last_class = Some(class);
        let load = StoreLoad { model: model.clone(), class, load_seconds: self.load_seconds };
        self.open.insert(upstream.clone(), load);
    }

    /// Removes the load of an engine that runs no order any more. `duration` is the time that it took
    /// if it is done, and `expected` the time that it takes at full speed.
    pub(super) fn record_end(
        &mut self,
        upstream: &UpstreamId,
        duration: Option<TimeSpan>,
        expected: TimeSpan,
        now: MonoTime,
    ) {
        self.advance(now);
        let Some(load) = self.open.remove(upstream) else { return };
        let Some(duration) = duration else { return };
        let mean = (self.load_seconds - load.load_seconds) / duration.as_secs_f64().max(0.001);
        let percent = duration.as_micros() * 100 / expected.as_micros().max(1);
        let limit = self.max_concurrent as f64;
        if percent >= SLOW_PERCENT {
            // The store's speed is shared, so it serves fewer at full speed by the same proportion.
            let served = (mean * 100.0 / percent as f64).round().max(1.0) as usize;
            self.max_concurrent = self.max_concurrent.min(served);
            self.too_high = Some((self.max_concurrent + 1, now));
        } else if percent <= FAST_PERCENT && mean >= limit - CONCURRENCY_TOLERANCE {
            let next = self.max_concurrent + 1;
            let is_too_high = self
                .too_high
                .is_some_and(|(count, time)| next >= count && now.since(time) < SLOW_MEMORY);
            self.max_concurrent = if is_too_high { self.max_concurrent } else { next };
        }
    }

    /// Returns the model that an engine loads from the store.
    pub(super) fn model(&self, upstream: &UpstreamId) -> Option<&ModelId> {
        self.open.get(upstream).map(|load| &load.model)
    }

    /// Forgets the loads of engines that are gone.
    pub(super) fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool, now: MonoTime) {
        self.advance(now);
        self.open.retain(|upstream, _| is_known(upstream));
    }

    fn advance(&mut self, now: MonoTime) {
        let seconds = now.since(self.updated).as_secs_f64();
        self.load_seconds += seconds * self.open.len() as f64;
        self.updated = self.updated.max(now);
    }
}

impl Default for StoreLoadLimiter {
    fn default() -> Self {
        Self::new()
    }
}
