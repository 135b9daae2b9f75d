//! Recent crashes of upstreams, with the work that may have caused them.

use std::collections::VecDeque;

use gentian_core::peer::{SuspectReport, SuspicionGrade};
use gentian_core::{FastMap, FastSet, MonoTime, RequestId, TimeSpan, UpstreamId, VmId, WorkId};

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
/// Attempts of a request under which upstreams must have ended, or crashes of which a part must be
/// suspected, to be told to entries that start anew.
const MIN_TRACED: usize = 2;
/// Largest number of reports that are told to such an entry, of all crashes and of one of them; the latest
/// go first.
const MAX_TRACED_REPORTS: usize = 32;
const MAX_TRACED_REPORTS_OF_CRASH: usize = 4;

/// A request that an upstream had when it ended.
#[derive(Clone, Debug)]
struct Suspicion {
    /// Entry that reported it, and the request's id there.
    vm: VmId,
    request: RequestId,
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
    /// `is_quarantined` returns `true`. Only those after `since` count, up to `until`.
    pub(super) fn count(
        &self,
        work: WorkId,
        since: Option<MonoTime>,
        until: MonoTime,
        is_quarantined: impl Fn(WorkId) -> bool,
    ) -> CrashCount {
        let mut count = CrashCount::default();
        let counted = |crash: &&CrashRecord| crash.is_after(since) && crash.time <= until;
        for crash in self.crashes.iter().filter(counted) {
            let suspicions = crash.suspicions.iter().filter(|it| it.works.contains(&work));
            let Some(began) = suspicions.clone().map(|it| it.began).max() else { continue };
            if !crash.works().any(&is_quarantined) {
                count.add(crash.time, began, crash.grade, crash.requests());
                count.attempts += suspicions.count();
            }
        }
        count
    }

    /// Returns whether `work` is a possible cause of a crash after `since`.
    pub(super) fn is_suspect(&self, work: WorkId, since: Option<MonoTime>) -> bool {
        let mut crashes = self.crashes.iter().filter(|crash| crash.is_after(since));
        crashes.any(|crash| crash.works().any(|other| other == work))
    }

    /// Returns all requests that are a possible cause of a crash.
    pub(super) fn requests(&self) -> FastSet<WorkId> {
        let works = self.crashes.iter().flat_map(CrashRecord::works);
        works.filter(|work| work.is_request()).collect()
    }

    /// Returns reports on the crashes of several attempts of one request, or at which several answers to
    /// prompts with one part had just begun, if that was not served since and no work explains the crash
    /// for which `is_quarantined` returns `true`.
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
            let requests = crash.works().filter(|work| work.is_request());
            let parts: FastSet<WorkId> =
                crash.works().filter(|work| is_strong && !work.is_request()).collect();
            let works = requests.chain(parts);
            for work in works.filter(|work| crash.is_after(last_served(*work))) {
                *counts.entry(work).or_default() += 1;
            }
        }
        let is_traced = |work: &WorkId| counts.get(work) >= Some(&MIN_TRACED);
        let reports = open.iter().rev().flat_map(|crash| {
            let traced = crash.suspicions.iter().filter(|it| it.works.iter().any(is_traced));
            traced.take(MAX_TRACED_REPORTS_OF_CRASH).map(|suspicion| {
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
        // Reports of earlier versions all have the same request id, and are known by their works.
        let is_unnamed = report.request == RequestId::default();
        let is_same = |it: &Suspicion| {
            let is_same_request = it.vm == report.vm && it.request == report.request;
            is_same_request && (!is_unnamed || it.works == report.works)
        };
        let is_known = self.suspicions.iter().any(is_same);
        if report.grade < self.grade || is_known || self.suspicions.len() >= MAX_SUSPICIONS {
            return;
        }
        let room = MAX_WORKS.saturating_sub(self.works().count());
        let works = report.works.iter().take(room).copied().collect();
        let began = time - report.running;
        let (vm, request) = (report.vm.clone(), report.request);
        self.suspicions.push(Suspicion { vm, request, began, works });
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
            request: suspicion.request,
            upstream: self.upstream.clone(),
            age: now.since(self.time),
            running: self.time.since(suspicion.began),
            grade: self.grade,
            works,
        }
    }
}
