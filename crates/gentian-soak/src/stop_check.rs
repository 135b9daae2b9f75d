//! Checks until when entries that are stopping accept calls on connections that callers keep open.

use std::time::{Duration, Instant};

use crate::call_record::{CallOutcome, CallRecord};

/// Time after a stop signal until which an entry may accept calls on open connections. A later call
/// may not end within the grace time.
const LAST_CALL_TIME: Duration = Duration::from_millis(3_000);
/// Time after a stop signal by which the process has ended.
const GRACE_TIME: Duration = Duration::from_secs(8);

/// Stop signals that entries received, except those close to a pause of the process.
#[derive(Debug, Default)]
pub(crate) struct StopLog {
    /// Entries, and when each received a signal.
    stops: Vec<(usize, Instant)>,
    /// Entries, and until when each is suspended.
    pauses: Vec<(usize, Instant)>,
}

impl StopLog {
    /// Records that an entry received a stop signal.
    pub(crate) fn record_stop(&mut self, entry: usize, now: Instant) {
        if !self.pauses.iter().any(|(paused, end)| *paused == entry && *end > now) {
            self.stops.push((entry, now));
        }
    }

    /// Records that an entry is suspended for `span`.
    pub(crate) fn record_pause(&mut self, entry: usize, span: Duration, now: Instant) {
        self.stops.retain(|(stopped, time)| *stopped != entry || now > *time + GRACE_TIME);
        self.pauses.push((entry, now + span));
    }

    /// Returns a description of each call that an entry accepted too late on an open connection.
    pub(crate) fn check(&self, records: &[CallRecord]) -> Vec<String> {
        let delay = |record: &CallRecord| {
            let stops = self.stops.iter().filter(|(entry, time)| {
                *entry == record.entry && record.connected < *time && *time < record.sent
            });
            stops.map(|(_, time)| record.sent - *time).max()
        };
        let accepted = records.iter().filter(|it| it.outcome != CallOutcome::ConnectionLost);
        let late = accepted.filter_map(|record| Some((record, delay(record)?)));
        late.filter(|(_, delay)| *delay > LAST_CALL_TIME)
            .map(|(record, delay)| {
                format!("entry {} accepted a call {delay:?} after its stop signal", record.entry)
            })
            .collect()
    }
}
