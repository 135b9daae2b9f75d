//! Crashes for which some work is a possible cause.

use gentian_core::peer::SuspicionGrade;
use gentian_core::{FastSet, MonoTime, TimeSpan, WorkId};

/// Crashes for which some work is a possible cause.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashCount {
    /// Crashes at which an answer to a request with the work had just begun.
    pub(super) strong: usize,
    /// All of these crashes.
    pub(super) total: usize,
    /// Time from the first to the last of them.
    pub(super) span: TimeSpan,
    /// Those of them that upstreams suffered after they got the request, which they did after the one
    /// before. Upstreams that end together, by an outer cause, count once.
    pub(super) successive: usize,
    /// Requests with the work that upstreams had then; several of them may have had one crash.
    pub(super) attempts: usize,
    /// When the last of them was.
    pub(super) last: MonoTime,
    first: MonoTime,
    last_successive: MonoTime,
    requests: FastSet<Option<WorkId>>,
    common_requests: FastSet<Option<WorkId>>,
}

impl CrashCount {
    /// Adds a crash that is later than those before it. At `began` its upstream got a request with the
    /// work; `requests` are all suspected ones that it had.
    pub(super) fn add(
        &mut self,
        time: MonoTime,
        began: MonoTime,
        grade: SuspicionGrade,
        requests: FastSet<Option<WorkId>>,
    ) {
        if self.total == 0 {
            self.first = time;
            self.common_requests.clone_from(&requests);
        }
        let is_strong = grade == SuspicionGrade::Strong;
        self.strong += usize::from(is_strong);
        if self.successive == 0 || is_strong || began > self.last_successive {
            self.successive += 1;
            self.last_successive = time;
        }
        self.total += 1;
        self.last = time;
        self.span = time.since(self.first);
        self.common_requests.retain(|request| requests.contains(request));
        self.requests.extend(requests);
    }

    /// Returns whether more than one request is suspected of these crashes.
    pub(super) fn has_several_requests(&self) -> bool {
        self.requests.len() > 1 || self.requests.contains(&None)
    }

    /// Returns whether at most one request is suspected of all of these crashes.
    pub(super) fn has_one_common_request(&self) -> bool {
        self.common_requests.len() <= 1
    }
}
