//! Concurrent calls of an engine.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Counts calls in flight. The capacity grows linearly from `fresh` to `full` during the warm-up.
#[derive(Debug)]
pub(crate) struct EngineSlots {
    fresh: u64,
    full: u64,
    warm_up: Duration,
    started: Instant,
    running: AtomicU64,
}

impl EngineSlots {
    /// Creates the slots of an engine that starts now.
    pub(crate) fn new(fresh: u64, full: u64, warm_up: Duration) -> Self {
        Self { fresh, full, warm_up, started: Instant::now(), running: AtomicU64::new(0) }
    }

    /// Starts a call and returns the number of calls in flight and the current capacity.
    pub(crate) fn start(&self) -> (u64, u64) {
        (self.running.fetch_add(1, Ordering::AcqRel) + 1, self.capacity())
    }

    /// Ends a call.
    pub(crate) fn end(&self) {
        self.running.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns the number of calls in flight.
    pub(crate) fn running(&self) -> u64 {
        self.running.load(Ordering::Acquire)
    }

    fn capacity(&self) -> u64 {
        let fraction = self.started.elapsed().as_secs_f64() / self.warm_up.as_secs_f64().max(0.001);
        let added = self.full.saturating_sub(self.fresh) as f64 * fraction.min(1.0);
        self.fresh + added as u64
    }
}
