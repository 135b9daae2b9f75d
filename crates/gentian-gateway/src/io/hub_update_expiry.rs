//! Point in time until which the hub's summaries are recent enough to read records less often.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use gentian_core::MonoTime;

/// Point in time until which the hub's summaries are recent enough for this entry to read records
/// less often. The control thread sets it for the threads that read records.
#[derive(Clone, Debug, Default)]
pub(crate) struct HubUpdateExpiry {
    until_micros: Arc<AtomicU64>,
}

impl HubUpdateExpiry {
    /// Sets the point in time until which summaries are recent enough.
    pub(crate) fn set(&self, until: MonoTime) {
        self.until_micros.store(until.as_micros(), Ordering::Release);
    }

    /// Returns whether summaries are still recent enough at `now`.
    pub(crate) fn is_before_expiry(&self, now: MonoTime) -> bool {
        now.as_micros() < self.until_micros.load(Ordering::Acquire)
    }
}
