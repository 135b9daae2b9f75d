//! Limit on the bytes that all open responses together hold in memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Limits the bytes that are buffered at the same time.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    used: Arc<AtomicUsize>,
    limit: usize,
}

/// Bytes that are reserved until this value is dropped.
#[derive(Debug)]
pub struct BufferReservation {
    budget: BufferBudget,
    bytes: usize,
}

impl BufferBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { used: Arc::default(), limit }
    }

    /// Creates a reservation of zero bytes.
    pub fn reserve(&self) -> BufferReservation {
        BufferReservation { budget: self.clone(), bytes: 0 }
    }
}

impl BufferReservation {
    /// Grows the reservation to `bytes`; returns `false`, and changes nothing, if that exceeds the
    /// budget.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        let used = self.budget.used.fetch_add(added, Ordering::AcqRel) + added;
        if used > self.budget.limit {
            self.budget.used.fetch_sub(added, Ordering::AcqRel);
            return false;
        }
        self.bytes += added;
        true
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
