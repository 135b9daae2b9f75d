//! Bound of the queries that an entry sends to all others.

use gentian_core::MonoTime;

/// Queries a second that an entry may send to others than those that are told of a stream, and those that
/// it may send at once: 24 KB and 48 KB with all headers.
const QUERIES_PER_SECOND: f64 = 200.0;
const MAX_QUERIES: f64 = 400.0;

/// What is left of the queries that an entry may send to all others. Many streams may break off at once in
/// a large fleet.
#[derive(Debug)]
pub(super) struct QueryBudget {
    left: f64,
    updated: MonoTime,
}

impl QueryBudget {
    /// Creates a budget that is not used.
    pub(super) fn new() -> Self {
        Self { left: MAX_QUERIES, updated: MonoTime::ORIGIN }
    }

    /// Takes `count` queries from the budget; returns whether it allows them.
    pub(super) fn acquire(&mut self, count: usize, now: MonoTime) -> bool {
        let gained = now.since(self.updated).as_secs_f64() * QUERIES_PER_SECOND;
        self.left = (self.left + gained).min(MAX_QUERIES);
        self.updated = now;
        let is_allowed = count as f64 <= self.left;
        if is_allowed {
            self.left -= count as f64;
        }
        is_allowed
    }
}
