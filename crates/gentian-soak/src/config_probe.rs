//! Checks that a published configuration takes effect in time at entries that no fault harms.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::call_record::{CallOutcome, CallRecord};
use crate::contact_log::ContactLog;
use crate::fleet_layout::{VERSION_ROUTE_PREFIX, version_route};

/// Time from the acknowledgement of a version until it must be in force.
const CONFIG_TIME: Duration = Duration::from_millis(2_000);
/// Statuses of an entry that does not know the route of a request or its key.
const UNKNOWN_STATUSES: [u16; 3] = [401, 403, 404];

/// Acknowledged versions of the configuration.
#[derive(Debug, Default)]
pub(crate) struct ConfigLog {
    versions: Mutex<Vec<(u64, Instant)>>,
}

impl ConfigLog {
    /// Records that the store has acknowledged a version.
    pub(crate) fn record_version(&self, version: u64, now: Instant) {
        self.lock().push((version, now));
    }

    /// Returns the route of the newest version that must be in force at `now`.
    pub(crate) fn newest_route(&self, now: Instant) -> Option<String> {
        let versions = self.lock();
        let due = versions.iter().rev().find(|(_, acknowledged)| *acknowledged + CONFIG_TIME < now);
        due.map(|(version, _)| version_route(*version))
    }

    /// Returns a description of each request for the route of a version that an undisturbed entry
    /// handled as an older version demands.
    pub(crate) fn check(records: &[CallRecord], contact_log: &ContactLog) -> Vec<String> {
        let is_unknown = |record: &&CallRecord| {
            let path = record.target.trim_start_matches('/');
            let is_probe = path.starts_with(VERSION_ROUTE_PREFIX);
            let CallOutcome::Failed(status) = record.outcome else { return false };
            is_probe && UNKNOWN_STATUSES.contains(&status)
        };
        let in_contact =
            |record: &&CallRecord| contact_log.is_in_contact(record.entry, record.sent);
        let late = records.iter().filter(is_unknown).filter(in_contact);
        late.map(|record| format!("entry {} knows no {} in time", record.entry, record.target))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(u64, Instant)>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
