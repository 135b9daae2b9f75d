//! Finds parts of prompts that make upstreams end, and refuses requests with them.

use gentian_core::peer::{CrashReport, QuarantineNotice, ServedNotice, SuspicionGrade};
use gentian_core::{FastMap, FastSet, MonoTime, TimeSpan, UpstreamId, VmId, WorkId};

use super::{CrashLog, QuarantinedWork, ServedWork};

/// Crashes in the moment of a part's answer after which the part is taken to be the cause, if no
/// answer to it is known to have ended well.
const STRONG_CRASHES: usize = 3;
/// The same for a part of which some answers ended well before the first of the crashes.
const STRONG_CRASHES_OF_SERVED: usize = 5;
/// Crashes that suffice without a view of whose answer had just begun.
const WEAK_CRASHES: usize = 5;
/// Time over which these must be spread. Upstreams that end together have an outer cause.
const MIN_WEAK_SPAN: TimeSpan = TimeSpan::from_secs(2);
/// Time after a crash in which the other entries state which parts they have served.
const SETTLE_TIME: TimeSpan = TimeSpan::from_millis(200);
/// Largest number of quarantined parts; the part refused longest ago is released first.
const MAX_QUARANTINED: usize = 256;
/// Time after a release in which a record that still names the part is ignored.
const RELEASE_MEMORY: TimeSpan = TimeSpan::from_secs(60);

/// A crash on which this entry decides, since it reported it.
#[derive(Clone, Debug)]
struct OpenCrash {
    upstream: UpstreamId,
    time: MonoTime,
    grade: SuspicionGrade,
    /// Parts that were reported; the other entries state which of them they have served.
    parts: Vec<WorkId>,
}

/// Parts of prompts that are suspected of making upstreams end, and those found to do so.
///
/// Each entry reports crashes under its own requests to all others. The entry that reported a crash
/// decides on it, once the others had time to state which of the parts they have served.
#[derive(Debug)]
pub struct WorkQuarantine {
    vm: VmId,
    crashes: CrashLog,
    served: ServedWork,
    open_crashes: Vec<OpenCrash>,
    quarantined: FastMap<WorkId, QuarantinedWork>,
    released: FastMap<WorkId, MonoTime>,
}

impl WorkQuarantine {
    /// Creates the quarantine of the entry on `vm`, without any parts.
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            crashes: CrashLog::new(),
            served: ServedWork::new(),
            open_crashes: Vec::new(),
            quarantined: FastMap::default(),
            released: FastMap::default(),
        }
    }

    /// Records that an upstream ended under a request of this entry. Returns the report for the
    /// other entries.
    pub fn record_crash(
        &mut self,
        upstream: UpstreamId,
        grade: SuspicionGrade,
        parts: &[WorkId],
        now: MonoTime,
    ) -> CrashReport {
        let vm = self.vm.clone();
        let parts = parts.to_vec();
        let report = CrashReport { vm, upstream, age: TimeSpan::ZERO, grade, parts };
        self.crashes.record(&report, now);
        self.open_crashes.push(OpenCrash {
            upstream: report.upstream.clone(),
            time: now,
            grade,
            parts: report.parts.clone(),
        });
        report
    }

    /// Applies the report of another entry. Returns the notice for that entry of the parts that
    /// this one has served.
    pub fn handle_crash(&mut self, report: &CrashReport, now: MonoTime) -> Option<ServedNotice> {
        self.crashes.record(report, now);
        let age = |part: &WorkId| Some((*part, now.since(self.served.last_served(*part)?)));
        let parts: Vec<_> = report.parts.iter().filter_map(age).collect();
        (!parts.is_empty()).then_some(ServedNotice { parts })
    }

    /// Records that an answer to a prompt with `parts` ended well. Returns the notice for the
    /// other entries, of the suspected ones among the parts.
    pub fn record_served(&mut self, parts: &[WorkId], now: MonoTime) -> Option<ServedNotice> {
        let is_suspected = |part: &&WorkId| {
            self.is_quarantined(**part)
                || self.crashes.is_suspect(**part, self.served.last_served(**part))
        };
        let suspected: Vec<_> =
            parts.iter().filter(is_suspected).map(|part| (*part, TimeSpan::ZERO)).collect();
        for part in parts {
            self.served.record(*part, now);
        }
        (!suspected.is_empty()).then_some(ServedNotice { parts: suspected })
    }

    /// Applies what another entry states of the parts that it has served.
    pub fn handle_served(&mut self, notice: &ServedNotice, now: MonoTime) {
        for (part, age) in &notice.parts {
            self.served.record(*part, now - *age);
        }
    }

    /// Decides on the crashes that this entry reported, and returns the parts that are quarantined
    /// by that.
    pub fn decide(&mut self, now: MonoTime) -> Vec<WorkId> {
        let (due, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.open_crashes)
            .into_iter()
            .partition(|crash| now.since(crash.time) >= SETTLE_TIME);
        self.open_crashes = open;
        let mut found = Vec::new();
        for crash in due {
            if let Some(part) = self.find_cause(&crash) {
                self.quarantine(part, now);
                found.push(part);
            }
        }
        found
    }

    /// Returns when [`Self::decide`] is next due.
    pub fn due(&self) -> Option<MonoTime> {
        self.open_crashes.iter().map(|crash| crash.time + SETTLE_TIME).min()
    }

    /// Applies a notice of another entry; returns whether it changed anything.
    pub fn handle_notice(&mut self, notice: QuarantineNotice, now: MonoTime) -> bool {
        match notice.is_quarantined {
            true => self.quarantine(notice.part, now),
            false => self.release(notice.part, now),
        }
    }

    /// Drops the parts whose record was deleted, as the hub or an operator does to release them;
    /// `parts` are those that the stored records name. Returns the dropped parts.
    pub fn drop_deleted(&mut self, parts: &FastSet<WorkId>) -> Vec<WorkId> {
        for (part, state) in &mut self.quarantined {
            state.is_stored |= parts.contains(part);
        }
        let is_deleted =
            |part: &WorkId, state: &mut QuarantinedWork| state.is_stored && !parts.contains(part);
        self.quarantined.extract_if(is_deleted).map(|(part, _)| part).collect()
    }

    /// Forgets which parts have a record, since the key-value service was restored from a copy that
    /// may lack some.
    pub fn forget_records(&mut self) {
        self.quarantined.values_mut().for_each(|state| state.is_stored = false);
    }

    /// Applies the parts that the stored records name; returns those that are new.
    pub fn restore(
        &mut self,
        parts: impl IntoIterator<Item = WorkId>,
        now: MonoTime,
    ) -> Vec<WorkId> {
        self.released.retain(|_, time| now.since(*time) < RELEASE_MEMORY);
        let parts: Vec<WorkId> =
            parts.into_iter().filter(|part| !self.released.contains_key(part)).collect();
        parts.into_iter().filter(|part| self.quarantine(*part, now)).collect()
    }

    /// Releases a part; returns whether it was quarantined.
    pub fn release(&mut self, part: WorkId, now: MonoTime) -> bool {
        self.released.insert(part, now);
        self.quarantined.remove(&part).is_some()
    }

    /// Returns whether requests with `part` are refused.
    pub fn is_quarantined(&self, part: WorkId) -> bool {
        self.quarantined.contains_key(&part)
    }

    /// Returns the quarantined parts.
    pub fn parts(&self) -> impl Iterator<Item = WorkId> {
        self.quarantined.keys().copied()
    }

    /// Returns the part because of which a queued request with `parts` is refused.
    pub fn find_quarantined(&self, parts: &[WorkId]) -> Option<WorkId> {
        parts.iter().find(|part| self.is_quarantined(**part)).copied()
    }

    /// Returns the part because of which a new request with `parts` is refused. With `may_try`, a
    /// request with only one such part is let through from time to time, to find out whether the
    /// part still does harm; only one entry of the fleet may do so.
    pub fn check(&mut self, parts: &[WorkId], may_try: bool, now: MonoTime) -> Option<WorkId> {
        let found: FastSet<WorkId> =
            parts.iter().filter(|part| self.is_quarantined(**part)).copied().collect();
        let part = *found.iter().min()?;
        let quarantined = self.quarantined.get_mut(&part)?;
        if may_try && found.len() == 1 && quarantined.is_trial_due(now) {
            quarantined.record_trial(now);
            return None;
        }
        quarantined.last_refused = now;
        Some(part)
    }

    /// Returns the part that caused the crash, if several crashes show it. Of several candidates it
    /// is the one that was not served, or served longest ago; then the one in most crashes, and
    /// then the last in the prompt, which fewer requests share.
    fn find_cause(&self, crash: &OpenCrash) -> Option<WorkId> {
        // Another entry has the stronger suspect, and decides.
        if self.crashes.grade(&crash.upstream, crash.time) != Some(crash.grade) {
            return None;
        }
        let suspects = self.crashes.suspects(&crash.upstream, crash.time);
        let reported = suspects.iter().enumerate().filter(|(_, part)| crash.parts.contains(part));
        let counts = reported.map(|(position, part)| {
            let served = self.served.last_served(*part);
            let count = self.crashes.count(*part, served, |other| self.is_quarantined(other));
            (*part, position, served, count)
        });
        let is_cause = |served: Option<MonoTime>, strong: usize, total: usize, span: TimeSpan| {
            let needed = served.map_or(STRONG_CRASHES, |_| STRONG_CRASHES_OF_SERVED);
            strong >= needed || (total >= WEAK_CRASHES && span >= MIN_WEAK_SPAN)
        };
        counts
            .filter(|(_, _, served, count)| {
                is_cause(*served, count.strong, count.total, count.span)
            })
            .max_by_key(|(_, position, served, count)| {
                (std::cmp::Reverse(*served), count.total, *position)
            })
            .map(|(part, ..)| part)
    }

    fn quarantine(&mut self, part: WorkId, now: MonoTime) -> bool {
        if self.is_quarantined(part) {
            return false;
        }
        if self.quarantined.len() >= MAX_QUARANTINED {
            let oldest = self.quarantined.iter().min_by_key(|(_, state)| state.last_refused);
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.release(oldest, now);
            }
        }
        self.quarantined.insert(part, QuarantinedWork::new(now));
        true
    }
}
