//! Recent crashes of upstreams, with the parts of prompts that may have caused them.

use std::collections::VecDeque;

use gentian_core::peer::{CrashReport, SuspicionGrade};
use gentian_core::{MonoTime, TimeSpan, UpstreamId, WorkId};

/// Largest number of crashes that are kept.
const MAX_CRASHES: usize = 256;
/// Largest number of parts that are kept of one crash, for each grade of suspicion.
const MAX_PARTS: usize = 256;
/// Time for which a crash is kept.
const CRASH_RETENTION: TimeSpan = TimeSpan::from_secs(600);
/// Reports on one upstream within this time are about the same crash.
const SAME_CRASH_TIME: TimeSpan = TimeSpan::from_millis(1_500);

/// The end of an upstream.
#[derive(Clone, Debug)]
struct CrashRecord {
    upstream: UpstreamId,
    time: MonoTime,
    strong: Vec<WorkId>,
    weak: Vec<WorkId>,
}

/// Crashes for which a part is a possible cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CrashCount {
    /// Crashes at which an answer to a prompt with the part had just begun.
    pub(super) strong: usize,
    /// All of these crashes.
    pub(super) total: usize,
    /// Time from the first to the last of them.
    pub(super) span: TimeSpan,
}

/// Recent crashes of upstreams.
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
    pub(super) fn record(&mut self, report: &CrashReport, now: MonoTime) {
        let time = now - report.age;
        self.crashes.retain(|crash| now.since(crash.time) < CRASH_RETENTION);
        let known = self.crashes.iter_mut().rev().find(|it| it.is_near(&report.upstream, time));
        if let Some(crash) = known {
            crash.add(report);
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        let upstream = report.upstream.clone();
        let mut crash = CrashRecord { upstream, time, strong: Vec::new(), weak: Vec::new() };
        crash.add(report);
        self.crashes.push_back(crash);
    }

    /// Returns the possible causes of the crash of `upstream` at `time`, in the order of the
    /// prompts.
    pub(super) fn suspects(&self, upstream: &UpstreamId, time: MonoTime) -> &[WorkId] {
        self.find(upstream, time).map_or(&[], CrashRecord::suspects)
    }

    /// Returns the highest grade of suspicion in the reports on the crash of `upstream` at `time`.
    pub(super) fn grade(&self, upstream: &UpstreamId, time: MonoTime) -> Option<SuspicionGrade> {
        self.find(upstream, time).map(|crash| match crash.strong.is_empty() {
            true => SuspicionGrade::Weak,
            false => SuspicionGrade::Strong,
        })
    }

    fn find(&self, upstream: &UpstreamId, time: MonoTime) -> Option<&CrashRecord> {
        self.crashes.iter().rev().find(|crash| crash.is_near(upstream, time))
    }

    /// Counts the crashes for which `part` is a possible cause and that no part explains for which
    /// `is_quarantined` returns `true`. Only those after `since` count.
    pub(super) fn count(
        &self,
        part: WorkId,
        since: Option<MonoTime>,
        is_quarantined: impl Fn(WorkId) -> bool,
    ) -> CrashCount {
        let counted = self.crashes.iter().filter(|crash| {
            since.is_none_or(|since| crash.time > since)
                && crash.suspects().contains(&part)
                && !crash.suspects().iter().any(|other| is_quarantined(*other))
        });
        let mut count = CrashCount::default();
        let mut first = None;
        for crash in counted {
            count.strong += usize::from(!crash.strong.is_empty());
            count.total += 1;
            let first = *first.get_or_insert(crash.time);
            count.span = count.span.max(crash.time.since(first));
        }
        count
    }

    /// Returns whether `part` is a possible cause of a crash after `since`.
    pub(super) fn is_suspect(&self, part: WorkId, since: Option<MonoTime>) -> bool {
        self.count(part, since, |_| false).total > 0
    }
}

impl CrashRecord {
    fn add(&mut self, report: &CrashReport) {
        let parts = match report.grade {
            SuspicionGrade::Strong => &mut self.strong,
            SuspicionGrade::Weak => &mut self.weak,
        };
        for part in &report.parts {
            if parts.len() < MAX_PARTS && !parts.contains(part) {
                parts.push(*part);
            }
        }
    }

    fn is_near(&self, upstream: &UpstreamId, time: MonoTime) -> bool {
        let distance = self.time.since(time).max(time.since(self.time));
        self.upstream == *upstream && distance < SAME_CRASH_TIME
    }

    /// Returns the possible causes: an upstream that ends as it begins an answer rarely begins
    /// another one in the same moment, so the other requests are not suspects then.
    fn suspects(&self) -> &[WorkId] {
        if self.strong.is_empty() { &self.weak } else { &self.strong }
    }
}
