//! Checks that a published configuration takes effect in time at entries that no fault harms.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::call_record::{CallOutcome, CallRecord};
use crate::fleet_layout::{VERSION_ROUTE_PREFIX, version_route};

/// Time from the acknowledgement of a version until it must be in force.
const CONFIG_TIME: Duration = Duration::from_millis(2_000);
/// Time without a fault of the entry and of the store after which this is due.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// Statuses of an entry that does not know the route of a request or its key.
const UNKNOWN_STATUSES: [u16; 3] = [401, 403, 404];

/// Time during which a fault harms one entry, or all of them if it harms the store.
#[derive(Clone, Copy, Debug)]
struct Disturbance {
    entry: Option<usize>,
    from: Instant,
    until: Instant,
}

/// Acknowledged versions of the configuration and disturbances of a run.
#[derive(Debug, Default)]
pub(crate) struct ConfigLog {
    versions: Mutex<Vec<(u64, Instant)>>,
    disturbances: Mutex<Vec<Disturbance>>,
}

impl ConfigLog {
    /// Records that the store has acknowledged a version.
    pub(crate) fn record_version(&self, version: u64, now: Instant) {
        lock(&self.versions).push((version, now));
    }

    /// Records a fault of an entry, or of the store if `entry` is `None`.
    pub(crate) fn record_disturbance(&self, entry: Option<usize>, from: Instant, span: Duration) {
        lock(&self.disturbances).push(Disturbance { entry, from, until: from + span });
    }

    /// Returns the route of the newest version that must be in force at `now`.
    pub(crate) fn newest_route(&self, now: Instant) -> Option<String> {
        let versions = lock(&self.versions);
        let due = versions.iter().rev().find(|(_, acknowledged)| *acknowledged + CONFIG_TIME < now);
        due.map(|(version, _)| version_route(*version))
    }

    /// Returns a description of each request for the route of a version that an undisturbed entry
    /// handled as an older version demands.
    pub(crate) fn check(&self, records: &[CallRecord]) -> Vec<String> {
        let is_unknown = |record: &&CallRecord| {
            let path = record.target.trim_start_matches('/');
            let is_probe = path.starts_with(VERSION_ROUTE_PREFIX);
            is_probe
                && matches!(record.outcome, CallOutcome::Failed(status) if UNKNOWN_STATUSES.contains(&status))
        };
        let late = records.iter().filter(is_unknown).filter(|record| self.is_in_contact(record));
        late.map(|record| format!("entry {} knows no {} in time", record.entry, record.target))
            .collect()
    }

    fn is_in_contact(&self, record: &CallRecord) -> bool {
        let harms = |disturbance: &Disturbance| {
            disturbance.entry.is_none_or(|entry| entry == record.entry)
                && disturbance.from <= record.sent
                && disturbance.until + CONTACT_TIME > record.sent
        };
        !lock(&self.disturbances).iter().any(harms)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
