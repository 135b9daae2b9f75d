//! Checks that entries heed what replicas say about themselves in their answers.

use std::path::Path;

use gentian_core::FastMap;

use crate::call_record::CallRecord;
use crate::contact_log::ContactLog;
use crate::soak_check::{DRAIN_TIME, JournalLine, read_journals};

/// For how long a replica that turns a request away wants no other one from the same entry, in
/// milliseconds, and from when on the entry must keep to it.
const PAUSE_MILLIS: u64 = 2_000;
const PAUSE_START_MILLIS: u64 = 500;
/// Requests that may reach it even so.
const MAX_PAUSE_REQUESTS: usize = 2;

/// Checks that no replica gets a call that was sent to an entry later than [`DRAIN_TIME`] after that
/// entry had passed on that the replica is leaving, unless a fault harmed the entry meanwhile.
pub(crate) fn check_departures(
    records: &[CallRecord],
    folder: &Path,
    contact_log: &ContactLog,
) -> eyre::Result<Vec<String>> {
    let calls: FastMap<&str, &CallRecord> =
        records.iter().map(|record| (record.id.as_str(), record)).collect();
    let mut late: FastMap<String, usize> = FastMap::default();
    for line in read_journals(folder)?.iter().filter(|line| line.event == "arrival") {
        let Some(call) = calls.get(line.id.as_str()) else { continue };
        let is_late = records.iter().any(|record| {
            let leaving = record.leaving.as_ref();
            leaving.is_some_and(|(replica, time)| {
                record.entry == call.entry
                    && *replica == line.instance
                    && call.sent > *time + DRAIN_TIME
                    && contact_log.is_undisturbed(call.entry, *time, call.sent)
            })
        });
        if is_late {
            *late.entry(line.instance.clone()).or_default() += 1;
        }
    }
    let describe =
        |(replica, count)| format!("{replica} got {count} calls after it announced to leave");
    Ok(late.into_iter().map(describe).collect())
}

/// Checks that replicas get no more requests for the time that they name when they turn one away. All
/// requests must come from one entry.
pub(crate) fn check_pauses(folder: &Path) -> eyre::Result<Vec<String>> {
    let journal = read_journals(folder)?;
    let millis_of = |event: &'static str, instance: &str| -> Vec<u64> {
        let lines = journal.iter().filter(|line| line.event == event && line.instance == instance);
        lines.filter_map(JournalLine::millis).collect()
    };
    let mut violations = Vec::new();
    for line in journal.iter().filter(|line| line.event == "turned-away") {
        let Some(time) = line.millis() else { continue };
        let pause = time + PAUSE_START_MILLIS..time + PAUSE_MILLIS;
        let arrivals = millis_of("arrival", &line.instance);
        let count = arrivals.iter().filter(|time| pause.contains(time)).count();
        if count > MAX_PAUSE_REQUESTS {
            violations.push(format!("{} got {count} requests in a pause", line.instance));
        }
    }
    Ok(violations)
}
