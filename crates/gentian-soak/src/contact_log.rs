//! Times in which faults harm entries or the store.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time without a fault of the entry and of the store after which the guarantees with a time limit
/// hold again.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);

/// Time in which a fault harms one entry, or all of them if it harms the store.
#[derive(Clone, Copy, Debug)]
struct Disturbance {
    entry: Option<usize>,
    from: Instant,
    until: Instant,
}

/// Times of a run in which faults harm entries or the store.
#[derive(Debug, Default)]
pub(crate) struct ContactLog {
    disturbances: Mutex<Vec<Disturbance>>,
}

impl ContactLog {
    /// Records a fault of an entry, or of the store if `entry` is `None`.
    pub(crate) fn record(&self, entry: Option<usize>, from: Instant, span: Duration) {
        let disturbance = Disturbance { entry, from, until: from + span };
        self.disturbances.lock().unwrap_or_else(PoisonError::into_inner).push(disturbance);
    }

    /// Returns whether neither an entry nor the store was harmed shortly before `time`.
    pub(crate) fn is_in_contact(&self, entry: usize, time: Instant) -> bool {
        self.is_calm(time, time, |harmed| harmed.is_none_or(|harmed| harmed == entry))
    }

    /// Returns whether no fault harmed an entry from `from` until `until`.
    pub(crate) fn is_undisturbed(&self, entry: usize, from: Instant, until: Instant) -> bool {
        let disturbances = self.disturbances.lock().unwrap_or_else(PoisonError::into_inner);
        !disturbances.iter().any(|disturbance| {
            disturbance.entry == Some(entry)
                && disturbance.from <= until
                && disturbance.until >= from
        })
    }

    /// Returns whether no entry and not the store was harmed from shortly before `from` until
    /// `until`.
    pub(crate) fn is_fleet_calm(&self, from: Instant, until: Instant) -> bool {
        self.is_calm(from, until, |_| true)
    }

    fn is_calm(
        &self,
        from: Instant,
        until: Instant,
        harms: impl Fn(Option<usize>) -> bool,
    ) -> bool {
        let disturbances = self.disturbances.lock().unwrap_or_else(PoisonError::into_inner);
        !disturbances.iter().any(|disturbance| {
            harms(disturbance.entry)
                && disturbance.from <= until
                && disturbance.until + CONTACT_TIME > from
        })
    }
}
