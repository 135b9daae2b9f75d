//! Recent crashes of upstreams, with the work that may have caused them.

use std::collections::VecDeque;

use gentian_core::peer::{SuspectReport, SuspicionGrade};
use gentian_core::{FastMap, FastSet, MonoTime, TimeSpan, UpstreamId, VmId, WorkId};

use super::CrashCount;

/// Largest number of crashes that are kept.
const MAX_CRASHES: usize = 256;
/// Largest number of requests that are kept of one crash, and of ids of their work.
const MAX_SUSPICIONS: usize = 64;
const MAX_WORKS: usize = 256;
/// Time for which a crash is kept.
const CRASH_RETENTION: TimeSpan = TimeSpan::from_secs(600);
/// Reports on one upstream within this time are about the same crash.
const SAME_CRASH_TIME: TimeSpan = TimeSpan::from_millis(1_500);
/// Crashes of which the same work must be suspected to be told to entries that start anew.
const MIN_TRACED_CRASHES: usize = 2;
/// Largest number of reports that are told to such an entry; the latest go first.
const MAX_TRACED_REPORTS: usize = 32;

/// A request that an upstream had when it ended.
#[derive(Clone, Debug)]
struct Suspicion {
    /// Entry that reported it first.
    vm: VmId,
    /// When the upstream got the request.
    began: MonoTime,
    works: Vec<WorkId>,
}

/// The end of an upstream.
#[derive(Clone, Debug)]
struct CrashRecord {
    upstream: UpstreamId,
    time: MonoTime,
    /// Highest grade in the reports; those of a lower one are not kept. An upstream that ends as it
    /// begins an answer rarely begins another one in the same moment, so the other requests are not
    /// suspects then.
    grade: SuspicionGrade,
    suspicions: Vec<Suspicion>,
}

/// Recent crashes of upstreams, in the order of their times.
#[derive(Debug, Default)]
pub(super) struct CrashLog {
    crashes: VecDeque<CrashRecord>,
}

impl CrashLog {
    /// Creates a log without crashes.
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Adds a report; several reports may be about the same crash.
    pub(super) fn record(&mut self, report: &SuspectReport, now: MonoTime) {
        let time = now - report.age;
        self.crashes.retain(|crash| now.since(crash.time) < CRASH_RETENTION);
        let known = self.crashes.iter_mut().rev().find(|it| it.is_near(&report.upstream, time));
        if let Some(crash) = known {
            crash.add(report, time);
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        let upstream = report.upstream.clone();
        let mut crash = CrashRecord { upstream, time, grade: report.grade, suspicions: Vec::new() };
        crash.add(report, time);
        let position = self.crashes.partition_point(|other| other.time <= time);
        self.crashes.insert(position, crash);
    }

    /// Returns whether no crash is known.
    pub(super) fn is_empty(&self, now: MonoTime) -> bool {
        !self.crashes.iter().any(|crash| now.since(crash.time) < CRASH_RETENTION)
    }

    /// Returns the possible causes of the crash of `upstream` at `time`, each once, in the order of
    /// the reports.
    pub(super) fn suspects(&self, upstream: &UpstreamId, time: MonoTime) -> Vec<WorkId> {
        let mut known = FastSet::default();
        let works = self.find(upstream, time).into_iter().flat_map(CrashRecord::works);
        works.filter(|work| known.insert(*work)).collect()
    }

    /// Returns the highest grade of suspicion in the reports on the crash of `upstream` at `time`.
    pub(super) fn grade(&self, upstream: &UpstreamId, time: MonoTime) -> Option<SuspicionGrade> {
        self.find(upstream, time).map(|crash| crash.grade)
    }

    fn find(&self, upstream: &UpstreamId, time: MonoTime) -> Option<&CrashRecord> {
        self.crashes.iter().rev().find(|crash| crash.is_near(upstream, time))
    }

    /// Counts the crashes for which `work` is a possible cause and that no work explains for which
    /// `is_quarantined` returns `true`. Only those after `since` count.
    pub(super) fn count(
        &self,
        work: WorkId,
        since: Option<MonoTime>,
        is_quarantined: impl Fn(WorkId) -> bool,
    ) -> CrashCount {
        let mut count = CrashCount::default();
        for crash in self.crashes.iter().filter(|crash| crash.is_after(since)) {
            let suspicions = crash.suspicions.iter().filter(|it| it.works.contains(&work));
            let Some(began) = suspicions.map(|it| it.began).max() else { continue };
            if !crash.works().any(&is_quarantined) {
                count.add(crash.time, began, crash.grade, crash.requests());
            }
        }
        count
    }

    /// Returns whether `work` is a possible cause of a crash after `since`.
    pub(super) fn is_suspect(&self, work: WorkId, since: Option<MonoTime>) -> bool {
        let mut crashes = self.crashes.iter().filter(|crash| crash.is_after(since));
        crashes.any(|crash| crash.works().any(|other| other == work))
    }

    /// Returns reports on the crashes that have a request in common, or a part of prompts whose
    /// answers had just begun, if it was not served since and no work explains the crash for which
    /// `is_quarantined` returns `true`.
    pub(super) fn trace(
        &self,
        last_served: impl Fn(WorkId) -> Option<MonoTime>,
        is_quarantined: impl Fn(WorkId) -> bool,
        now: MonoTime,
    ) -> Vec<SuspectReport> {
        let open: Vec<&CrashRecord> = self
            .crashes
            .iter()
            .filter(|crash| now.since(crash.time) < CRASH_RETENTION)
            .filter(|crash| !crash.works().any(&is_quarantined))
            .collect();
        let mut counts: FastMap<WorkId, usize> = FastMap::default();
        for crash in &open {
            let is_strong = crash.grade == SuspicionGrade::Strong;
            let works: FastSet<WorkId> =
                crash.works().filter(|work| is_strong || work.is_request()).collect();
            for work in works.into_iter().filter(|work| crash.is_after(last_served(*work))) {
                *counts.entry(work).or_default() += 1;
            }
        }
        let is_traced = |work: &WorkId| counts.get(work) >= Some(&MIN_TRACED_CRASHES);
        let reports = open.iter().rev().flat_map(|crash| {
            let traced = crash.suspicions.iter().filter(|it| it.works.iter().any(is_traced));
            traced.map(|suspicion| {
                // The request tells whether the crashes of a part are those of one request.
                let is_told = |work: &WorkId| is_traced(work) || work.is_request();
                let works = suspicion.works.iter().copied().filter(is_told).collect();
                crash.report(suspicion, works, now)
            })
        });
        reports.take(MAX_TRACED_REPORTS).collect()
    }
}

impl CrashRecord {
    fn add(&mut self, report: &SuspectReport, time: MonoTime) {
        if report.grade > self.grade {
            self.grade = report.grade;
            self.suspicions.clear();
        }
        let is_known = self.suspicions.iter().any(|it| it.works == report.works);
        if report.grade < self.grade || is_known || self.suspicions.len() >= MAX_SUSPICIONS {
            return;
        }
        let room = MAX_WORKS.saturating_sub(self.works().count());
        let works = report.works.iter().take(room).copied().collect();
        let began = time - report.running;
        self.suspicions.push(Suspicion { vm: report.vm.clone(), began, works });
    }

    fn is_near(&self, upstream: &UpstreamId, time: MonoTime) -> bool {
        let distance = self.time.since(time).max(time.since(self.time));
        self.upstream == *upstream && distance < SAME_CRASH_TIME
    }

    fn is_after(&self, since: Option<MonoTime>) -> bool {
        since.is_none_or(|since| self.time > since)
    }

    fn works(&self) -> impl Iterator<Item = WorkId> {
        self.suspicions.iter().flat_map(|suspicion| suspicion.works.iter().copied())
    }

    /// Returns the requests; an entry of an earlier version reports only their parts.
    fn requests(&self) -> FastSet<Option<WorkId>> {
        let request = |suspicion: &Suspicion| {
            suspicion.works.last().copied().filter(|work| work.is_request())
        };
        self.suspicions.iter().map(request).collect()
    }

    fn report(&self, suspicion: &Suspicion, works: Vec<WorkId>, now: MonoTime) -> SuspectReport {
        SuspectReport {
            vm: suspicion.vm.clone(),
            upstream: self.upstream.clone(),
            age: now.since(self.time),
            running: self.time.since(suspicion.began),
            grade: self.grade,
            works,
        }
    }
}
