//! Which versions of replicas served when, and whether streams were taken up where they could be.

use std::time::{Duration, Instant};

use crate::call_record::{CallOutcome, CallRecord};
use crate::contact_log::ContactLog;

/// Time from the start of a replica until entries must know it.
const START_TIME: Duration = Duration::from_millis(2_500);
/// Time for which a replica must go on serving after a stream was taken up.
const SERVING_TIME: Duration = Duration::from_millis(1_000);
/// Number of streams from which on it is checked how many were taken up.
const MIN_CHECKED: usize = 10;

/// A time in which a replica served.
#[derive(Clone, Debug)]
struct ServingTime {
    replica: usize,
    version: String,
    start: Instant,
    end: Option<Instant>,
}

/// When engines of each version served.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionLog {
    times: Vec<ServingTime>,
}

impl VersionLog {
    /// Records that a replica with this version starts to serve at `start`.
    pub(crate) fn record_start(&mut self, replica: usize, version: String, start: Instant) {
        self.record_end(replica, start);
        self.times.push(ServingTime { replica, version, start, end: None });
    }

    /// Records that a replica leaves or ends.
    pub(crate) fn record_end(&mut self, replica: usize, end: Instant) {
        let open = self.times.iter_mut().filter(|it| it.replica == replica && it.end.is_none());
        open.for_each(|it| it.end = Some(end));
    }

    /// Checks that at least half of the streams were taken up that were asked for while replicas of
    /// their version served, at entries that no fault had harmed shortly before: if all have just ended
    /// or stood still, nobody may know what began the stream.
    pub(crate) fn check(&self, records: &[CallRecord], contact: &ContactLog) -> Option<String> {
        let checked: Vec<&CallRecord> = records
            .iter()
            .filter(|record| contact.is_in_contact(record.entry, record.sent))
            .filter(|record| self.could_be_taken_up(record))
            .collect();
        let served = checked.iter().filter(|it| it.outcome == CallOutcome::Served).count();
        let count = checked.len();
        log::info!("{served} of {count} streams were taken up whose version served");
        (count >= MIN_CHECKED && served * 2 < count)
            .then(|| format!("only {served} of {count} streams were taken up whose version served"))
    }

    /// Returns whether this is the last call for the rest of a stream, and replicas of its version served.
    fn could_be_taken_up(&self, record: &CallRecord) -> bool {
        let Some(version) = record.resumed_version.as_ref().filter(|_| record.is_last_take_up)
        else {
            return false;
        };
        self.times.iter().any(|time| {
            time.version == *version
                && time.start + START_TIME <= record.sent
                && time.end.is_none_or(|end| end >= record.sent + SERVING_TIME)
        })
    }
}
