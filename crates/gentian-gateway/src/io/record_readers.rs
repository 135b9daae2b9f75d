//! Threads that read and watch the records in the key-value service.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use flume::Sender;
use gentian_core::{EventCode, MonoTime, StoreEra, StoreRevision, TimeSpan};
use gentian_decide::serving::PendingWatch;
use gentian_http::ProcessClock;
use gentian_process::{KeyValueError, KeyValueService, ReadFreshness, WatchRequest};

use super::{EntryRecord, HubUpdates, write_entry};
use crate::control::{ControlEvent, StoreRecords};
use crate::gateway_metrics::GatewayMetrics;

/// Interval between reads of the upstream registrations.
const UPSTREAM_READ_INTERVAL: TimeSpan = TimeSpan::from_millis(600);
/// Interval between reads of the fleet's records.
const FLEET_READ_INTERVAL: TimeSpan = TimeSpan::from_millis(700);
/// Number of reads of the upstream registrations that are skipped in a row while the hub sends
/// updates.
const UPSTREAM_SKIPPED_READS: u64 = 8;
/// Time between two reads for each registration while the hub sends updates. It keeps what an entry reads of a large
/// fleet at about 20 KB a second.
const READ_SPACING: TimeSpan = TimeSpan::from_millis(20);
/// Number of reads of the fleet's records that are skipped in a row while the hub sends updates.
const FLEET_SKIPPED_READS: u64 = 4;
/// Interval between checks whether the hub still sends updates.
const FRESHNESS_CHECK_INTERVAL: TimeSpan = TimeSpan::from_millis(150);
/// Factor by which the interval without updates grows after a failed read.
const FAILURE_INTERVAL_FACTOR: u64 = 2;
/// Pause before the first retry of a failed call; it doubles with each failure in a row.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest pause between retries, well within the time limit for a configuration change.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Interval between writes of this entry's record, well within its time to live.
const ENTRY_WRITE_INTERVAL: TimeSpan = TimeSpan::from_secs(240);

/// State that the threads that read records share.
#[derive(Clone)]
pub(crate) struct RecordReader {
    /// The key-value service.
    pub(crate) service: Arc<KeyValueService>,
    /// Queue of the control thread.
    pub(crate) events: Sender<ControlEvent>,
    /// Set when the threads must end.
    pub(crate) threads_must_end: Arc<AtomicBool>,
    /// How recent the hub's messages are; while they are, reads are seldom needed.
    pub(crate) hub_updates: HubUpdates,
    /// Pause of the watch after a change.
    pub(crate) watch_pause: Duration,
    /// Clock of the process.
    pub(crate) clock: ProcessClock,
    /// Metrics.
    pub(crate) metrics: GatewayMetrics,
}

/// Intervals between two reads.
#[derive(Clone, Copy)]
struct ReadIntervals {
    /// Interval while the hub sends updates.
    with_updates: TimeSpan,
    /// Interval while the hub sends none.
    without_updates: TimeSpan,
}

/// Counts the results of one kind of call, and logs when the service stops or resumes replying to
/// it.
struct CallMonitor {
    call: &'static str,
    is_failing: bool,
}

impl RecordReader {
    fn must_end(&self) -> bool {
        self.threads_must_end.load(Ordering::Acquire)
    }

    /// Returns how fresh a read must be. A stale read can lag by seconds, so an entry that gets no
    /// updates from the hub, and the hub itself, must read fresh.
    fn freshness(&self) -> ReadFreshness {
        match self.has_hub_updates() {
            true => ReadFreshness::MayBeStale,
            false => ReadFreshness::Fresh,
        }
    }

    fn has_hub_updates(&self) -> bool {
        self.hub_updates.are_fresh(self.clock.now())
    }

    /// Returns whether the answer to a watch from `revision` on is still waited for.
    fn is_watch_wanted(&self, watch: PendingWatch, revision: StoreRevision) -> bool {
        let newer_known_at = self.hub_updates.time_of_newer_operators(revision);
        let now = self.clock.now();
        !self.must_end() && watch.is_wanted(self.has_hub_updates(), newer_known_at, now)
    }

    /// Waits until the next read is due or the thread must end.
    fn wait_for_next_read(&self, intervals: ReadIntervals) {
        let started = self.clock.now();
        while !self.must_end() {
            let interval = if self.has_hub_updates() {
                intervals.with_updates
            } else {
                intervals.without_updates
            };
            let left = interval.saturating_sub(self.clock.now().since(started));
            if left == TimeSpan::ZERO {
                return;
            }
            std::thread::sleep(left.min(FRESHNESS_CHECK_INTERVAL).into());
        }
    }

    fn send(&self, records: StoreRecords) {
        if self.events.send(ControlEvent::Store(records)).is_err() {
            log::debug!("event dropped: the control thread has ended");
        }
    }

    fn spawn(
        self,
        name: &str,
        work: impl FnOnce(Self) + Send + 'static,
    ) -> eyre::Result<JoinHandle<()>> {
        Ok(std::thread::Builder::new().name(name.to_owned()).spawn(move || work(self))?)
    }
}

impl ReadIntervals {
    /// Returns the intervals after a read. After a failed one the interval without updates is
    /// longer, since the service counts every call towards its rate limit, even those that it
    /// refuses.
    fn after_read(is_ok: bool, interval: TimeSpan, skipped_reads: u64) -> Self {
        let factor = if is_ok { 1 } else { FAILURE_INTERVAL_FACTOR };
        Self { with_updates: interval * (1 + skipped_reads), without_updates: interval * factor }
    }
}

impl ReadIntervals {
    /// Returns the intervals with a smallest one while the hub sends updates.
    fn with_spacing(self, spacing: TimeSpan) -> Self {
        Self { with_updates: self.with_updates.max(spacing), ..self }
    }
}

impl CallMonitor {
    const fn new(call: &'static str) -> Self {
        Self { call, is_failing: false }
    }

    /// Returns whether a read at `revision` is at least as recent as the `newest` one, and updates
    /// that.
    fn is_current(&self, revision: StoreRevision, newest: &mut StoreRevision) -> bool {
        if revision < *newest {
            let code = EventCode::READ_IGNORED;
            log::info!("{code} call={} revision={revision} newest={newest}", self.call);
            return false;
        }
        *newest = revision;
        true
    }

    /// Records the result of a call that was sent at `sent`.
    fn record_result<T>(
        &mut self,
        reader: &RecordReader,
        sent: MonoTime,
        result: Result<T, KeyValueError>,
    ) -> Option<T> {
        let label = if result.is_ok() { "answered" } else { "failed" };
        reader.metrics.store_calls.with_label_values(&[self.call, label]).inc();
        let waited = reader.clock.now().since(sent);
        match result {
            Ok(value) => {
                if std::mem::take(&mut self.is_failing) {
                    log::info!("{} call={} waited={waited}", EventCode::PLATFORM_BACK, self.call);
                }
                Some(value)
            }
            Err(error) => {
                if !std::mem::replace(&mut self.is_failing, true) {
                    let code = EventCode::PLATFORM_LOST;
                    log::warn!("{code} call={} waited={waited} cause={error}", self.call);
                }
                None
            }
        }
    }
}

/// Starts a thread that keeps up with the records of the operators. It reads all of them, then
/// watches for changes; whenever the watch fails it reads all of them again, since changes may have
/// been missed.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub(crate) fn start_operator_watch(
    reader: RecordReader,
    prefix: String,
) -> eyre::Result<JoinHandle<()>> {
    reader.spawn("operators", move |reader| {
        let mut monitor = CallMonitor::new("watch");
        let mut watched_revision: Option<StoreRevision> = None;
        let mut retry_delay = MIN_RETRY_DELAY;
        while !reader.must_end() {
            let sent = reader.clock.now();
            let step = match watched_revision {
                None => read_operators(&reader, &prefix),
                Some(revision) => watch_operators(&reader, &prefix, revision),
            };
            watched_revision = monitor.record_result(&reader, sent, step);
            if watched_revision.is_some() {
                retry_delay = MIN_RETRY_DELAY;
                continue;
            }
            std::thread::sleep(retry_delay);
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    })
}

fn read_operators(reader: &RecordReader, prefix: &str) -> Result<StoreRevision, KeyValueError> {
    let sent = reader.clock.now();
    let (values, revision) = reader.service.read_prefix(prefix)?;
    log_operators_read(reader, sent, revision, "read");
    reader.send(StoreRecords::Operator { values, snapshot: Some(revision) });
    Ok(revision)
}

fn watch_operators(
    reader: &RecordReader,
    prefix: &str,
    mut revision: StoreRevision,
) -> Result<StoreRevision, KeyValueError> {
    let (sent, after) = (reader.clock.now(), revision);
    let watch = PendingWatch::new(sent);
    let wait = PendingWatch::wait(reader.has_hub_updates());
    let is_wanted = || reader.is_watch_wanted(watch, after);
    let request = WatchRequest { prefix, after, wait, is_wanted: &is_wanted };
    reader.service.watch(request, &mut |batch| {
        revision = revision.max(batch.revision);
        if !batch.changes.is_empty() {
            log_operators_read(reader, sent, revision, "watch");
            reader.send(StoreRecords::Operator { values: batch.changes, snapshot: None });
            // Changes in quick succession then arrive in one batch.
            std::thread::sleep(reader.watch_pause);
        }
        !reader.must_end()
    })?;
    Ok(revision)
}

/// Logs that records of the operators arrived in the response to a call that was sent at `sent`.
fn log_operators_read(reader: &RecordReader, sent: MonoTime, revision: StoreRevision, call: &str) {
    let waited = reader.clock.now().since(sent);
    log::info!("{} call={call} revision={revision} waited={waited}", EventCode::OPERATORS_READ);
}

/// Starts a thread that reads the upstream registrations at regular intervals. It doesn't watch
/// them: each upstream writes its registration again at every heartbeat, so a watch would cost a
/// call per heartbeat. While the hub sends updates, only the hub itself reads often.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub(crate) fn start_upstream_reader(
    reader: RecordReader,
    prefix: String,
) -> eyre::Result<JoinHandle<()>> {
    reader.spawn("upstreams", move |reader| {
        let mut monitor = CallMonitor::new("read-upstreams");
        let mut newest = StoreRevision::default();
        while !reader.must_end() {
            let (sent, freshness) = (reader.clock.now(), reader.freshness());
            let read = reader.service.read_prefix_with(&prefix, freshness);
            let intervals = ReadIntervals::after_read(
                read.is_ok(),
                UPSTREAM_READ_INTERVAL,
                UPSTREAM_SKIPPED_READS,
            );
            let count = read.as_ref().map_or(0, |(values, _)| values.len());
            let intervals = intervals.with_spacing(READ_SPACING * count as u64);
            if let Some((values, revision)) = monitor.record_result(&reader, sent, read)
                && monitor.is_current(revision, &mut newest)
            {
                let fresh_since = (freshness == ReadFreshness::Fresh).then_some(sent);
                reader.send(StoreRecords::Upstreams { values, revision, fresh_since });
            }
            reader.wait_for_next_read(intervals);
        }
    })
}

/// Starts a thread that writes this entry's record and reads the fleet's records at regular
/// intervals.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub(crate) fn start_fleet_reader(
    reader: RecordReader,
    prefix: String,
    entry: EntryRecord,
) -> eyre::Result<JoinHandle<()>> {
    reader.spawn("own-records", move |reader| {
        let mut write_monitor = CallMonitor::new("write-member");
        let mut read_monitor = CallMonitor::new("read-own");
        let mut written: Option<(MonoTime, StoreEra)> = None;
        let mut newest = StoreRevision::default();
        while !reader.must_end() {
            let now = reader.clock.now();
            if written.is_none_or(|(time, _)| now.since(time) > ENTRY_WRITE_INTERVAL) {
                let write = write_entry(&reader.service, &prefix, &entry);
                let revision = write_monitor.record_result(&reader, now, write);
                written = revision.map(|revision| (now, revision.era())).or(written);
            }
            let sent = reader.clock.now();
            let read = reader.service.read_prefix_with(&prefix, reader.freshness());
            let intervals =
                ReadIntervals::after_read(read.is_ok(), FLEET_READ_INTERVAL, FLEET_SKIPPED_READS);
            if let Some((values, revision)) = read_monitor.record_result(&reader, sent, read)
                && read_monitor.is_current(revision, &mut newest)
            {
                reader.send(StoreRecords::Fleet(values, revision));
                // The copy from which the service was restored may lack the record.
                if written.take_if(|(_, era)| *era < revision.era()).is_some() {
                    continue;
                }
            }
            reader.wait_for_next_read(intervals);
        }
    })
}
