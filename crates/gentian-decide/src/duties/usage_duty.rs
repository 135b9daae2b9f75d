//! Decisions of the holder of the usage duty: which window is fixed and reported next.
//!
//! Load pattern: one report a window within a fixed time, while holders, the key-value service and the
//! platform's API fail.

use std::collections::BTreeMap;

use gentian_core::peer::{UsageRecord, WindowCounts};
use gentian_core::{FenceNumber, MonoTime, StoreEra, StoreRevision, TimeSpan, VmId, WindowNumber};

use super::usage_rules::MAX_KEPT_WINDOWS;
use super::{
    DutyReply, DutyTask, UsageCall, UsageLedger, UsageRules, UsageStoreReply, UsageStoreTask,
    UsageWrite,
};

/// Fraction of the time until a report is due after which a window is fixed although an entry has not
/// sent all its counts. The rest is left for a successor: one takes over within 6 s.
const FIX_FRACTION: f64 = 0.3;
/// Time that a new hub gives the entries to send their counts again, also if a window is late.
const COLLECT_TIME: TimeSpan = TimeSpan::from_millis(1_500);
/// Addition to the takeover delay before the first call of a new hub. The last call of its
/// predecessor may be sent up to 250 ms after it was decided.
const TAKEOVER_MARGIN: TimeSpan = TimeSpan::from_millis(300);
/// Wait after a failed call, doubled with each further one of the same report.
const FIRST_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(500);
/// Longest wait after a failed call.
const MAX_RETRY_DELAY: TimeSpan = TimeSpan::from_secs(4);
/// Wait after a failed call of the key-value service.
const STORE_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(500);

/// What the duty needs to know of its process and the fleet.
#[derive(Clone, Copy, Debug)]
pub struct DutyContext<'a> {
    /// Fencing number with which the process may act now.
    pub acting_fence: Option<FenceNumber>,
    /// VMs of the entries' records.
    pub vms: &'a [VmId],
    /// When this process noticed that the key-value service had been restored, or its start if the
    /// restoration may be older. Windows that ended before may have been fixed and lost. `None` if
    /// the service names no era.
    pub restored: Option<MonoTime>,
}

/// Something worth a log event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageEvent {
    /// The counts of a window were fixed.
    Fixed(WindowCounts),
    /// The report of a window was confirmed, this long after the end of the window.
    Reported(WindowNumber, TimeSpan),
    /// The report of a window was not confirmed within the time that it is repeated.
    Unconfirmed(WindowNumber),
    /// The windows from the first one up to but not including the second were not fixed in time.
    Missed(WindowNumber, WindowNumber),
    /// The windows from the first one up to but not including the second ended before the key-value
    /// service was restored, so that they may have been reported already.
    LeftOut(WindowNumber, WindowNumber),
    /// The stored reports were read; this many are sent again.
    Adopted(usize),
    /// The platform has seen a higher fencing token.
    Refused(FenceNumber),
    /// A call for a window had this result.
    Failed(WindowNumber, DutyReply),
}

#[derive(Clone, Debug)]
struct FixedReport {
    counts: WindowCounts,
    is_delivered: bool,
    attempts: u32,
    next_call: MonoTime,
}

impl FixedReport {
    const fn new(counts: WindowCounts) -> Self {
        Self { counts, is_delivered: false, attempts: 0, next_call: MonoTime::ORIGIN }
    }
}

/// Decides on the calls of the holder of the usage duty.
#[derive(Debug)]
pub struct UsageDuty {
    rules: UsageRules,
    /// Reports whose content is stored. Bounded by [`MAX_KEPT_WINDOWS`] and the windows that one read
    /// of the key-value service returns.
    reports: BTreeMap<WindowNumber, FixedReport>,
    /// Fencing number for which the stored records were read.
    read_fence: Option<FenceNumber>,
    /// Era of the newest stored record.
    newest_era: Option<StoreEra>,
    /// First window that can still be fixed; windows are fixed in ascending order, so that none is
    /// fixed twice although old records are removed.
    next_window: Option<WindowNumber>,
    /// Stored records, which are removed once they are delivered. Bounded as `reports`.
    stored: Vec<WindowNumber>,
    is_store_pending: bool,
    next_store_call: MonoTime,
    is_call_pending: bool,
    last_call: MonoTime,
    /// Highest fencing number with which a call was refused.
    refused_fence: FenceNumber,
    events: Vec<UsageEvent>,
}

impl UsageDuty {
    /// Creates the duty of a process that has not held it.
    pub fn new(rules: UsageRules) -> Self {
        Self {
            rules,
            reports: BTreeMap::new(),
            read_fence: None,
            newest_era: None,
            next_window: None,
            stored: Vec::new(),
            is_store_pending: false,
            next_store_call: MonoTime::ORIGIN,
            is_call_pending: false,
            last_call: MonoTime::ORIGIN,
            refused_fence: FenceNumber::default(),
            events: Vec::new(),
        }
    }

    /// Returns what happened since the last call.
    pub fn take_events(&mut self) -> Vec<UsageEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the calls that are due.
    pub fn next_tasks(
        &mut self,
        ledger: &mut UsageLedger,
        context: &DutyContext<'_>,
        now: MonoTime,
    ) -> Vec<DutyTask> {
        let fence = ledger.fence();
        if context.acting_fence != Some(fence) || fence <= self.refused_fence {
            return Vec::new();
        }
        if self.read_fence != Some(fence) {
            let is_due = !self.is_store_pending && now >= self.next_store_call;
            self.is_store_pending |= is_due;
            let task = DutyTask::Store(UsageStoreTask::Read(fence));
            return is_due.then_some(task).into_iter().collect();
        }
        let Some(offset) = ledger.offset() else { return Vec::new() };
        let oldest = self.rules.oldest_kept(offset.wall_time(now));
        self.give_up_reports(oldest);
        let write = self.next_write(ledger, context, now).map(DutyTask::Store);
        let call = self.next_call(fence, ledger, now).map(DutyTask::Report);
        write.into_iter().chain(call).collect()
    }

    /// Handles the reply to a call of the key-value service.
    pub fn handle_store_reply(
        &mut self,
        reply: UsageStoreReply,
        ledger: Option<&mut UsageLedger>,
        now: MonoTime,
    ) {
        self.is_store_pending = false;
        match reply {
            UsageStoreReply::Records(fence, records) => {
                if let Some(ledger) = ledger.filter(|ledger| ledger.fence() == fence) {
                    self.adopt(records, ledger);
                    self.read_fence = Some(fence);
                }
            }
            UsageStoreReply::Written(write) => {
                let counts = write.record.counts;
                let window = counts.window;
                self.newest_era = Some(write.record.era);
                self.stored.retain(|stored| !write.removed.contains(stored));
                self.stored.push(window);
                self.events.push(UsageEvent::Fixed(counts.clone()));
                self.reports.entry(window).or_insert_with(|| FixedReport::new(counts));
                self.next_window = self.next_window.max(Some(window.next()));
                if let Some(ledger) = ledger {
                    ledger.close_before(window.next());
                }
            }
            // What is stored tells whether an earlier write of this process was executed, whose reply
            // was lost.
            UsageStoreReply::Conflict(fence) | UsageStoreReply::Unknown(fence) => {
                self.next_store_call = now + STORE_RETRY_DELAY;
                self.read_fence.take_if(|read| *read == fence);
            }
        }
    }

    /// Handles the result of a call to the platform.
    pub fn handle_call_reply(
        &mut self,
        call: &UsageCall,
        reply: DutyReply,
        ledger: Option<&UsageLedger>,
        now: MonoTime,
    ) {
        self.is_call_pending = false;
        let window = call.counts.window;
        if reply == DutyReply::Fenced {
            self.refused_fence = self.refused_fence.max(call.fence);
            self.events.push(UsageEvent::Refused(call.fence));
        }
        let Some(report) = self.reports.get_mut(&window) else { return };
        if reply == DutyReply::Done {
            report.is_delivered = true;
            let offset = ledger.and_then(|ledger| ledger.offset());
            let elapsed = offset.map_or(0, |offset| {
                let end = self.rules.end(window).as_micros();
                offset.wall_time(now).as_micros().saturating_sub(end)
            });
            self.events.push(UsageEvent::Reported(window, TimeSpan::from_micros(elapsed)));
            return;
        }
        let delay = FIRST_RETRY_DELAY * (1 << report.attempts.min(8)) as u64;
        report.next_call = now + delay.min(MAX_RETRY_DELAY);
        report.attempts += 1;
        self.events.push(UsageEvent::Failed(window, reply));
    }

    /// Takes over the stored records. Those of this process that a restored service has lost are kept.
    fn adopt(&mut self, mut records: Vec<UsageRecord>, ledger: &mut UsageLedger) {
        records.sort_by_key(|record| record.counts.window);
        let delivered_before = records.last().map(|record| record.delivered_before);
        self.newest_era = records.last().map(|record| record.era);
        self.stored = records.iter().map(|record| record.counts.window).collect();
        for record in records {
            let window = record.counts.window;
            let report = FixedReport {
                is_delivered: delivered_before.is_some_and(|before| window < before),
                ..FixedReport::new(record.counts)
            };
            // What this process knows already was stored when it may have sent it.
            let is_delivered = report.is_delivered;
            let known = self.reports.entry(window).or_insert(report);
            known.is_delivered |= is_delivered;
        }
        let newest = self.reports.last_key_value().map(|(window, _)| window.next());
        self.next_window = self.next_window.max(newest);
        if let Some(next) = self.next_window {
            ledger.close_before(next);
        }
        let open = self.reports.values().filter(|report| !report.is_delivered).count();
        self.events.push(UsageEvent::Adopted(open));
    }

    /// Returns the write that fixes the next window, if all its counts are there or can't be waited
    /// for any longer.
    fn next_write(
        &mut self,
        ledger: &mut UsageLedger,
        context: &DutyContext<'_>,
        now: MonoTime,
    ) -> Option<UsageStoreTask> {
        let time = ledger.offset()?.wall_time(now);
        if self.is_store_pending || now < self.next_store_call {
            return None;
        }
        let counted = ledger.counting_since()?;
        let first = self.next_window.map_or(counted, |next| next.max(counted));
        let first_fixable = self.skip_lost(first, ledger, context)?;
        let mut window = first_fixable.max(self.rules.oldest_kept(time));
        while time > self.rules.due(window) {
            window = window.next();
        }
        if window > first_fixable {
            self.events.push(UsageEvent::Missed(first_fixable, window));
        }
        self.next_window = Some(window);
        ledger.close_before(window);
        let end = self.rules.end(window);
        if time < end {
            return None;
        }
        let is_collected = now.since(ledger.started()) >= COLLECT_TIME
            && time >= end.plus(self.rules.report_delay * FIX_FRACTION);
        if !is_collected && !ledger.is_complete(window, context.vms.iter(), now) {
            return None;
        }
        self.is_store_pending = true;
        let fence = ledger.fence();
        let undelivered = self.reports.iter().find(|(_, report)| !report.is_delivered);
        let delivered_before = undelivered.map_or(window, |(open, _)| *open);
        let removed =
            self.stored.iter().copied().filter(|stored| *stored < delivered_before).collect();
        let record = UsageRecord {
            era: StoreRevision::of_fence(fence).era(),
            delivered_before,
            counts: ledger.sum(window),
        };
        Some(UsageStoreTask::Write(UsageWrite { fence, record, removed }))
    }

    /// Returns the first window from `first` on that certainly was not fixed before.
    fn skip_lost(
        &mut self,
        first: WindowNumber,
        ledger: &UsageLedger,
        context: &DutyContext<'_>,
    ) -> Option<WindowNumber> {
        let era = StoreRevision::of_fence(ledger.fence()).era();
        // Windows are fixed in ascending order, so that a record of this era shows that no later window
        // was fixed before.
        let restored = context.restored.filter(|_| self.newest_era != Some(era));
        let Some(restored) = restored else { return Some(first) };
        let offset = ledger.offset()?;
        let safe = self.rules.window_at(offset.wall_time(restored));
        if safe > first {
            self.events.push(UsageEvent::LeftOut(first, safe));
            self.next_window = Some(safe);
        }
        Some(safe.max(first))
    }

    fn next_call(
        &mut self,
        fence: FenceNumber,
        ledger: &UsageLedger,
        now: MonoTime,
    ) -> Option<UsageCall> {
        let delay = self.rules.takeover_delay + TAKEOVER_MARGIN;
        let is_due = !self.is_call_pending
            && now.since(ledger.started()) >= delay
            && now.since(self.last_call) >= self.rules.call_interval;
        let open = self.reports.values().filter(|it| !it.is_delivered && now >= it.next_call);
        let report = open.filter(|_| is_due).min_by_key(|report| report.attempts)?;
        self.is_call_pending = true;
        self.last_call = now;
        Some(UsageCall { fence, counts: report.counts.clone(), decided: now })
    }

    /// Gives up reports that were repeated for long, and forgets old ones.
    fn give_up_reports(&mut self, oldest: WindowNumber) {
        let kept = self.reports.split_off(&oldest);
        let old = std::mem::replace(&mut self.reports, kept);
        let open = old.into_iter().filter(|(_, report)| !report.is_delivered);
        self.events.extend(open.map(|(window, _)| UsageEvent::Unconfirmed(window)));
    }
}

const _: () = assert!(MAX_KEPT_WINDOWS > 4);
