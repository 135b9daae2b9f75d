//! Finds work that makes upstreams end, and refuses requests with it.

use std::hash::BuildHasher;

use gentian_core::peer::{
    ClaimNotice, QuarantineNotice, ServedNotice, SuspectReport, SuspicionGrade, TrialNotice,
};
use gentian_core::{FastMap, FastSet, MonoTime, TimeSpan, UpstreamId, VmId, WorkId};
use rustc_hash::FxBuildHasher;

use super::{CrashCount, CrashLog, QuarantineCheck, QuarantinedWork, RequestClaims, ServedWork};

/// Successive crashes under a request after which it is taken to be the cause, if no answer to it ended
/// well since and no other request was there at all of them.
const REQUEST_CRASHES: usize = 3;
/// The same if another request was there each time.
const SHARED_REQUEST_CRASHES: usize = 4;
/// Crashes in the moment of a part's answer after which the part is taken to be the cause, if no
/// answer to it is known to have ended well.
const STRONG_CRASHES: usize = 3;
/// The same for a part of which some answers ended well before the first of the crashes.
const STRONG_CRASHES_OF_SERVED: usize = 5;
/// Crashes that suffice for a part without a view of whose answer had just begun.
const WEAK_CRASHES: usize = 5;
/// Time over which these must be spread. Upstreams that end together have an outer cause.
const MIN_WEAK_SPAN: TimeSpan = TimeSpan::from_secs(2);
/// Crashes under a request after which it is not sent again by itself, only if its caller repeats it.
const CRASHES_TO_STOP_RETRIES: usize = 2;
/// Attempts of a request during which upstreams ended, after which its copies at all entries are sent
/// one after the other.
const ATTEMPTS_TO_CLAIM: usize = 2;
/// Time after a crash in which no further copy is sent: the crash may have shown the cause.
const VERDICT_TIME: TimeSpan = TimeSpan::from_millis(300);
/// Time after a crash in which the other entries state what they have served.
const SETTLE_TIME: TimeSpan = TimeSpan::from_millis(200);
/// Largest number of works in quarantine; the one refused longest ago is released first.
const MAX_QUARANTINED: usize = 256;
/// Time after a release in which a record that still names the work is ignored.
const RELEASE_MEMORY: TimeSpan = TimeSpan::from_secs(60);
/// Time over which the entries of a fleet spread their trials of the same work.
const TRIAL_STAGGER: TimeSpan = TimeSpan::from_secs(20);

/// A crash on which this entry decides, since it reported it.
#[derive(Clone, Debug)]
struct OpenCrash {
    upstream: UpstreamId,
    time: MonoTime,
    grade: SuspicionGrade,
    /// Work that was reported; the other entries state which of it they have served.
    works: Vec<WorkId>,
}

/// Work that is suspected of making upstreams end, and that found to do so: parts of prompts, and
/// requests as a whole.
///
/// Each entry reports crashes under its own requests to all others. The entry that reported a crash
/// decides on it, once the others had time to state which of the work they have served. A request goes
/// before the parts of its prompt: other requests share those.
#[derive(Debug)]
pub struct WorkQuarantine {
    vm: VmId,
    crashes: CrashLog,
    served: ServedWork,
    open_crashes: Vec<OpenCrash>,
    quarantined: FastMap<WorkId, QuarantinedWork>,
    released: FastMap<WorkId, MonoTime>,
    claims: RequestClaims,
    /// Requests whose copies are sent one after the other, with the time of the last crash under each;
    /// `None` if that must be counted again.
    held_requests: Option<FastMap<WorkId, MonoTime>>,
    /// Whether the trace may have changed.
    is_trace_changed: bool,
}

impl WorkQuarantine {
    /// Creates the quarantine of the entry on `vm`, without any work.
    pub fn new(vm: VmId) -> Self {
        Self {
            claims: RequestClaims::new(vm.clone()),
            held_requests: None,
            vm,
            crashes: CrashLog::new(),
            served: ServedWork::new(),
            open_crashes: Vec::new(),
            quarantined: FastMap::default(),
            released: FastMap::default(),
            is_trace_changed: false,
        }
    }

    /// Returns whether crashes are known, or work is quarantined, so that requests must be identified.
    pub fn has_suspects(&self, now: MonoTime) -> bool {
        !self.quarantined.is_empty() || !self.crashes.is_empty(now)
    }

    /// Records that an upstream ended under a request of this entry. The other entries must get the
    /// report too.
    pub fn record_crash(&mut self, report: &SuspectReport, now: MonoTime) {
        self.record_report(report, now);
        self.open_crashes.push(OpenCrash {
            upstream: report.upstream.clone(),
            time: now - report.age,
            grade: report.grade,
            works: report.works.clone(),
        });
    }

    /// Applies a report of another entry. Returns the notice for that entry of the work that this one
    /// has served.
    pub fn handle_report(&mut self, report: &SuspectReport, now: MonoTime) -> Option<ServedNotice> {
        self.record_report(report, now);
        let age = |work: &WorkId| Some((*work, now.since(self.served.last_served(*work)?)));
        let works: Vec<_> = report.works.iter().filter_map(age).collect();
        (!works.is_empty()).then_some(ServedNotice { works })
    }

    fn record_report(&mut self, report: &SuspectReport, now: MonoTime) {
        self.crashes.record(report, now);
        report.works.iter().for_each(|work| self.claims.end(*work));
        self.record_change();
    }

    /// Records that what is suspected may have changed.
    fn record_change(&mut self) {
        self.is_trace_changed = true;
        self.held_requests = None;
    }

    /// Returns the reports that an entry needs that starts anew: those of crashes under one request, or
    /// one part of prompts, that may be its cause.
    pub fn trace(&self, now: MonoTime) -> Vec<SuspectReport> {
        let last_served = |work| self.served.last_served(work);
        self.crashes.trace(last_served, |work| self.is_quarantined(work), now)
    }

    /// Returns whether the trace may have changed since the last call.
    pub fn take_trace_change(&mut self) -> bool {
        std::mem::take(&mut self.is_trace_changed)
    }

    /// Records that an answer to a request with `works` ended well. Returns the notice for the other
    /// entries, of the suspected ones among them.
    pub fn record_served(
        &mut self,
        works: impl IntoIterator<Item = WorkId>,
        now: MonoTime,
    ) -> Option<ServedNotice> {
        let mut suspected = Vec::new();
        for work in works {
            let is_suspected = self.is_quarantined(work)
                || self.crashes.is_suspect(work, self.served.last_served(work));
            if is_suspected {
                suspected.push((work, TimeSpan::ZERO));
            }
            // Most requests come once, so only the suspected ones are kept.
            if is_suspected || !work.is_request() {
                self.served.record(work, now);
            }
        }
        if !suspected.is_empty() {
            suspected.iter().for_each(|(work, _)| self.claims.end(*work));
            self.record_change();
        }
        (!suspected.is_empty()).then_some(ServedNotice { works: suspected })
    }

    /// Applies what another entry states of the work that it has served.
    pub fn handle_served(&mut self, notice: &ServedNotice, now: MonoTime) {
        for (work, age) in &notice.works {
            self.served.record(*work, now - *age);
        }
        self.record_change();
    }

    /// Decides on the crashes that this entry reported, and returns the work that is quarantined by
    /// that.
    pub fn decide(&mut self, now: MonoTime) -> Vec<WorkId> {
        let (due, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.open_crashes)
            .into_iter()
            .partition(|crash| now.since(crash.time) >= SETTLE_TIME);
        self.open_crashes = open;
        let mut found = Vec::new();
        for crash in due {
            if let Some(work) = self.find_cause(&crash, now) {
                self.quarantine(work, now);
                found.push(work);
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
            true => self.quarantine(notice.work, now),
            false => self.release(notice.work, now),
        }
    }

    /// Records that another entry makes a trial.
    pub fn handle_trial(&mut self, notice: TrialNotice, now: MonoTime) {
        if let Some(state) = self.quarantined.get_mut(&notice.work) {
            state.record_trial(now);
        }
    }

    /// Drops the work whose record was deleted, as the hub or an operator does to release it; `works`
    /// are those that the stored records name. Returns the dropped work.
    pub fn drop_deleted(&mut self, works: &FastSet<WorkId>) -> Vec<WorkId> {
        for (work, state) in &mut self.quarantined {
            state.is_stored |= works.contains(work);
        }
        let is_deleted =
            |work: &WorkId, state: &mut QuarantinedWork| state.is_stored && !works.contains(work);
        self.quarantined.extract_if(is_deleted).map(|(work, _)| work).collect()
    }

    /// Forgets what has a record, since the key-value service was restored from a copy that may lack
    /// some.
    pub fn forget_records(&mut self) {
        self.quarantined.values_mut().for_each(|state| state.is_stored = false);
    }

    /// Applies the work that the stored records name; returns that which is new.
    pub fn restore(
        &mut self,
        works: impl IntoIterator<Item = WorkId>,
        now: MonoTime,
    ) -> Vec<WorkId> {
        self.released.retain(|_, time| now.since(*time) < RELEASE_MEMORY);
        let works: Vec<WorkId> =
            works.into_iter().filter(|work| !self.released.contains_key(work)).collect();
        works.into_iter().filter(|work| self.quarantine(*work, now)).collect()
    }

    /// Releases work; returns whether it was quarantined.
    pub fn release(&mut self, work: WorkId, now: MonoTime) -> bool {
        self.released.insert(work, now);
        self.quarantined.remove(&work).is_some()
    }

    /// Returns whether requests with `work` are refused.
    pub fn is_quarantined(&self, work: WorkId) -> bool {
        self.quarantined.contains_key(&work)
    }

    /// Returns the quarantined work.
    pub fn works(&self) -> impl Iterator<Item = WorkId> {
        self.quarantined.keys().copied()
    }

    /// Returns the work because of which a queued request with `works` is refused.
    pub fn find_quarantined(&self, works: impl IntoIterator<Item = WorkId>) -> Option<WorkId> {
        works.into_iter().find(|work| self.is_quarantined(*work))
    }

    /// Returns whether a new request with `works` is refused. One with only one quarantined work is let
    /// through from time to time, to find out whether that still does harm; the other entries must get a
    /// [`TrialNotice`].
    pub fn check(
        &mut self,
        works: impl IntoIterator<Item = WorkId>,
        now: MonoTime,
    ) -> QuarantineCheck {
        let found: FastSet<WorkId> =
            works.into_iter().filter(|work| self.is_quarantined(*work)).collect();
        let Some(work) = found.iter().min().copied() else { return QuarantineCheck::Pass };
        let Some(state) = self.quarantined.get_mut(&work) else { return QuarantineCheck::Pass };
        if found.len() == 1 && state.is_trial_due(now) {
            state.record_trial(now);
            return QuarantineCheck::Trial(work);
        }
        state.last_refused = now;
        QuarantineCheck::Refuse(work)
    }

    /// Returns whether so many upstreams ended under `request` that another attempt is left to its
    /// caller, even if the route allows one.
    pub fn stops_retries(&self, request: WorkId, now: MonoTime) -> bool {
        self.count(request, now).total >= CRASHES_TO_STOP_RETRIES
    }

    /// Returns whether a copy of `request` must wait, since upstreams ended under others and it is not
    /// its turn. The other entries must get the claims that [`Self::take_claims`] returns.
    pub fn holds_back(&mut self, request: WorkId, now: MonoTime) -> bool {
        if self.held_requests.is_none() {
            self.held_requests = Some(self.count_held(now));
        }
        let last_crash = self.held_requests.as_ref().and_then(|held| held.get(&request));
        let Some(last_crash) = last_crash else { return false };
        now.since(*last_crash) < VERDICT_TIME || !self.claims.may_send(request, now)
    }

    fn count_held(&self, now: MonoTime) -> FastMap<WorkId, MonoTime> {
        let counts = self.crashes.requests().into_iter().map(|it| (it, self.count(it, now)));
        let held = counts.filter(|(_, count)| count.attempts >= ATTEMPTS_TO_CLAIM);
        held.map(|(request, count)| (request, count.last)).collect()
    }

    /// Records that a copy of `request` is sent.
    pub fn record_send(&mut self, request: WorkId, now: MonoTime) {
        self.claims.record_send(request, now);
    }

    /// Records that an attempt of `request` ended, neither with an answer nor with its upstream, so that
    /// the next copy may be sent.
    pub fn record_end(&mut self, request: WorkId) {
        self.claims.end_own(request);
    }

    /// Applies the claim of another entry to send a request next.
    pub fn handle_claim(&mut self, notice: &ClaimNotice, now: MonoTime) {
        self.claims.handle_notice(notice, now);
    }

    /// Returns this entry's claims that the others must get, and removes them.
    pub fn take_claims(&mut self) -> Vec<ClaimNotice> {
        self.claims.take_notices()
    }

    /// Returns the work that caused the crash, if several crashes show it: the request itself, or a part
    /// of its prompt.
    fn find_cause(&self, crash: &OpenCrash, now: MonoTime) -> Option<WorkId> {
        // Another entry has the stronger suspect, and decides.
        if self.crashes.grade(&crash.upstream, crash.time) != Some(crash.grade) {
            return None;
        }
        let suspects = self.crashes.suspects(&crash.upstream, crash.time);
        // The order is that of the own prompt: parts of other prompts may stand anywhere among these.
        let reported = crash.works.iter().copied().filter(|work| suspects.contains(work));
        let (requests, parts): (Vec<WorkId>, Vec<WorkId>) =
            reported.partition(|work| work.is_request());
        // Stronger suspects of later crashes may not have been reported yet.
        let until = now - SETTLE_TIME;
        let request = requests.into_iter().find(|request| is_cause(&self.count(*request, until)));
        request.or_else(|| self.find_part(&parts, until))
    }

    /// Returns the part that caused several crashes. Of several candidates it is the one that was not
    /// served, or served longest ago; then the one in most crashes, and then the last in the prompt,
    /// which fewer requests share.
    fn find_part(&self, parts: &[WorkId], until: MonoTime) -> Option<WorkId> {
        let counted = parts.iter().enumerate().map(|(position, part)| {
            (*part, position, self.served.last_served(*part), self.count(*part, until))
        });
        counted
            .filter(|(_, _, served, count)| is_part_cause(served.is_some(), count))
            .max_by_key(|(_, position, served, count)| {
                (std::cmp::Reverse(*served), count.total, *position)
            })
            .map(|(part, ..)| part)
    }

    /// Counts the crashes since `work` was last served, up to `until`, that no quarantined work explains.
    fn count(&self, work: WorkId, until: MonoTime) -> CrashCount {
        let served = self.served.last_served(work);
        self.crashes.count(work, served, until, |other| self.is_quarantined(other))
    }

    fn quarantine(&mut self, work: WorkId, now: MonoTime) -> bool {
        if self.is_quarantined(work) {
            return false;
        }
        if self.quarantined.len() >= MAX_QUARANTINED {
            let oldest = self.quarantined.iter().min_by_key(|(_, state)| state.last_refused);
            if let Some(oldest) = oldest.map(|(work, _)| *work) {
                self.release(oldest, now);
            }
        }
        self.quarantined.insert(work, QuarantinedWork::new(self.trial_stagger(work), now));
        self.record_change();
        true
    }

    /// Returns how much later than the first one this entry makes a trial of `work`.
    fn trial_stagger(&self, work: WorkId) -> TimeSpan {
        let hash = FxBuildHasher.hash_one((&self.vm, work));
        TRIAL_STAGGER * (hash as f64 / u64::MAX as f64)
    }
}

/// Returns whether these crashes under a request show that it is their cause.
fn is_cause(count: &CrashCount) -> bool {
    let needed = match count.has_one_common_request() {
        true => REQUEST_CRASHES,
        false => SHARED_REQUEST_CRASHES,
    };
    count.successive >= needed
}

/// Returns whether these crashes under a part of prompts show that it is their cause. A single request
/// is a cause of its own.
fn is_part_cause(was_served: bool, count: &CrashCount) -> bool {
    let strong_crashes = if was_served { STRONG_CRASHES_OF_SERVED } else { STRONG_CRASHES };
    let is_weak_cause = count.total >= WEAK_CRASHES && count.span >= MIN_WEAK_SPAN;
    count.has_several_requests() && (count.strong >= strong_crashes || is_weak_cause)
}
