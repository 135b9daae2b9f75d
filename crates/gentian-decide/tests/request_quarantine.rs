//! Entries that find out which request makes upstreams end.

#![allow(clippy::unwrap_used)]

mod crash_fleet;

use crash_fleet::{CRASH_REQUEST, CrashCause, Fleet, FleetSize, HUGE, LARGE, MAX_LATER, SMALL};
use gentian_core::peer::{CrashReport, QuarantineNotice, SuspectReport, SuspicionGrade, TargetId};
use gentian_core::{MonoTime, RequestId, TimeSpan, UpstreamId, VmId, WorkId};
use gentian_decide::quarantine::{CrashTracer, QuarantineCheck, RequestIdentity, WorkQuarantine};
use rstest::rstest;

/// Crashes after which the request must be known.
const CRASHES: usize = 3;
/// Time after a crash in which it is decided on.
const SETTLE_TIME: TimeSpan = TimeSpan::from_millis(200);
const RUNNING: TimeSpan = TimeSpan::from_millis(60);

#[rstest]
fn repeats_of_a_request_that_crashes_upstreams_stop_soon(
    #[values(SMALL, LARGE)] size: FleetSize,
    #[values(CrashCause::Stream, CrashCause::Plain)] cause: CrashCause,
    #[values(0.5, 5.0, 30.0)] crash_percent: f64,
    #[values(0.0, 0.3)] outages: f64,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    check_fleet(size, cause, crash_percent, outages, seed);
}

#[rstest]
fn repeats_stop_soon_in_a_fleet_of_hundreds_of_entries(
    #[values(CrashCause::Stream, CrashCause::Plain)] cause: CrashCause,
    #[values(1, 2)] seed: u64,
) {
    check_fleet(HUGE, cause, 5.0, 0.5, seed);
}

fn check_fleet(size: FleetSize, cause: CrashCause, crash_percent: f64, outages: f64, seed: u64) {
    let mut fleet = Fleet::new(size, cause, seed);
    fleet.run(TimeSpan::from_secs(4), 0.0, outages);
    fleet.run(TimeSpan::from_secs(30), crash_percent, outages);
    let (crashes, later) = (fleet.crashes.len(), fleet.later_requests(CRASHES));
    assert!(later <= MAX_LATER, "{later} requests too late, {crashes} crashes");
    for works in &fleet.quarantined() {
        let may_be_open = crashes < 2 * CRASHES && works.is_empty();
        assert!(*works == [CRASH_REQUEST] || may_be_open, "{crashes} crashes, {works:?}");
    }
    assert_eq!(fleet.refused_sound, 0);
}

/// The copies of the request wait at many entries until their model is loaded somewhere, and could all
/// be sent in that moment.
#[rstest]
fn copies_that_wait_for_a_model_are_not_sent_all_at_once(
    #[values(SMALL, LARGE)] size: FleetSize,
    #[values(CrashCause::Stream, CrashCause::Plain)] cause: CrashCause,
    #[values(5.0, 20.0)] crash_percent: f64,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut fleet = Fleet::new(size, cause, seed).with_rare_model(TimeSpan::from_millis(5_300));
    fleet.run(TimeSpan::from_secs(40), crash_percent, 0.3);
    let (crashes, later) = (fleet.crashes.len(), fleet.later_requests(2));
    assert!(later <= MAX_LATER, "{later} requests too late, {crashes} crashes");
    assert_eq!((fleet.refused_sound, fleet.refused_held), (0, 0));
}

/// Every entry ends after each crash or two; all that is known then is what is stored.
#[rstest]
fn a_request_is_found_although_all_entries_end_again_and_again(
    #[values(CrashCause::Stream, CrashCause::Plain)] cause: CrashCause,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let mut fleet = Fleet::new(SMALL, cause, seed);
    for _ in 0..12 {
        fleet.run(TimeSpan::from_secs(4), 2.5, 0.0);
        fleet.restart_entries();
    }
    let (crashes, later) = (fleet.crashes.len(), fleet.later_requests(CRASHES));
    assert!(later <= MAX_LATER, "{later} requests too late, {crashes} crashes");
    assert_eq!(fleet.refused_sound, 0);
}

/// The entry that reports a crash has often just started.
#[rstest]
fn a_request_is_found_by_entries_that_have_just_started(
    #[values(CrashCause::Stream, CrashCause::Plain)] cause: CrashCause,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let mut fleet = Fleet::new(SMALL, cause, seed);
    for _ in 0..120 {
        fleet.run(TimeSpan::from_millis(250), 5.0, 0.0);
        fleet.restart_random_entry();
    }
    let (crashes, later) = (fleet.crashes.len(), fleet.later_requests(CRASHES));
    assert!(later <= MAX_LATER, "{later} requests too late, {crashes} crashes");
    assert_eq!(fleet.refused_sound, 0);
}

/// A rack fails, and a request that is asked for all the time is at each of its upstreams.
#[rstest]
fn upstreams_that_end_together_show_nothing(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut fleet = Fleet::new(LARGE, CrashCause::Plain, seed);
    for _ in 0..4 {
        fleet.run(TimeSpan::from_secs(8), 0.0, 0.5);
        fleet.end_upstreams(0.7);
    }
    fleet.run(TimeSpan::from_secs(2), 0.0, 0.0);
    assert!(fleet.quarantined().iter().all(Vec::is_empty));
    assert_eq!(fleet.refused_sound, 0);
}

fn report(
    upstream: UpstreamId,
    number: u64,
    grade: SuspicionGrade,
    works: &[WorkId],
) -> SuspectReport {
    SuspectReport {
        vm: "vm-0".parse().unwrap(),
        request: RequestId::new(number),
        upstream,
        age: TimeSpan::ZERO,
        running: RUNNING,
        grade,
        works: works.to_vec(),
    }
}

struct Crashes {
    quarantine: WorkQuarantine,
    now: MonoTime,
    upstream: u32,
}

impl Crashes {
    fn new() -> Self {
        let quarantine = WorkQuarantine::new("vm-0".parse().unwrap());
        Self { quarantine, now: MonoTime::from_millis(10_000), upstream: 0 }
    }

    /// Lets a second pass, in which an upstream ends under these requests.
    fn end_upstream(&mut self, grade: SuspicionGrade, requests: &[&[WorkId]]) -> Vec<WorkId> {
        self.now = self.now + TimeSpan::from_secs(1);
        self.upstream += 1;
        let upstream: UpstreamId = format!("i-{}", self.upstream).parse().unwrap();
        for (number, works) in requests.iter().enumerate() {
            let report = report(upstream.clone(), number as u64, grade, works);
            self.quarantine.record_crash(&report, self.now);
        }
        self.quarantine.decide(self.now + SETTLE_TIME)
    }
}

/// A popular request is at several upstreams that lose power within some milliseconds.
#[test]
fn a_request_at_upstreams_that_end_together_is_not_refused() {
    let mut crashes = Crashes::new();
    for number in 0..8 {
        let upstream: UpstreamId = format!("i-{number}").parse().unwrap();
        let now = crashes.now + TimeSpan::from_millis(5) * number;
        let report = report(upstream, number, SuspicionGrade::Weak, &[CRASH_REQUEST]);
        crashes.quarantine.record_crash(&report, now);
    }
    assert_eq!(crashes.quarantine.decide(crashes.now + TimeSpan::from_secs(1)), []);
}

/// Both are refused only after one more crash, since one of them is sound.
#[test]
fn a_sound_request_beside_the_other_at_each_crash_is_told_apart_for_as_long_as_possible() {
    let sound = WorkId::of_request(1);
    let mut crashes = Crashes::new();
    for _ in 0..3 {
        let found = crashes.end_upstream(SuspicionGrade::Weak, &[&[CRASH_REQUEST], &[sound]]);
        assert_eq!(found, [], "one of them may be sound");
    }
    assert_eq!(crashes.end_upstream(SuspicionGrade::Weak, &[&[CRASH_REQUEST]]), [CRASH_REQUEST]);
    assert!(!crashes.quarantine.is_quarantined(sound));
}

#[test]
fn an_answer_that_ends_well_clears_a_request() {
    let mut crashes = Crashes::new();
    for _ in 0..10 {
        assert_eq!(crashes.end_upstream(SuspicionGrade::Weak, &[&[CRASH_REQUEST]]), []);
        assert_eq!(crashes.end_upstream(SuspicionGrade::Weak, &[&[CRASH_REQUEST]]), []);
        crashes.now = crashes.now + SETTLE_TIME;
        assert!(crashes.quarantine.record_served([CRASH_REQUEST], crashes.now).is_some());
    }
}

/// The part is in sound requests too, which are served between the crashes or are yet to come.
#[test]
fn the_parts_of_a_request_are_not_refused_with_it() {
    let parts = [WorkId::of_part(0xa0), WorkId::of_part(0xb0)];
    let works = [parts[0], parts[1], CRASH_REQUEST];
    let mut crashes = Crashes::new();
    assert_eq!(crashes.end_upstream(SuspicionGrade::Strong, &[&works]), []);
    assert_eq!(crashes.end_upstream(SuspicionGrade::Strong, &[&works]), []);
    assert_eq!(crashes.end_upstream(SuspicionGrade::Strong, &[&works]), [CRASH_REQUEST]);
    let other = [parts[0], parts[1], WorkId::of_request(1)];
    assert_eq!(crashes.quarantine.check(other, crashes.now), QuarantineCheck::Pass);
    for _ in 0..2 {
        assert_eq!(crashes.end_upstream(SuspicionGrade::Strong, &[&other]), []);
    }
}

/// A request that its caller repeats may also have a part that makes upstreams end.
#[test]
fn a_part_in_requests_that_are_repeated_is_found_too() {
    let part = WorkId::of_part(0xdead);
    let mut crashes = Crashes::new();
    let mut found = Vec::new();
    for number in 0..4 {
        for _ in 0..2 {
            let works = [part, WorkId::of_request(number)];
            if crashes.quarantine.check(works, crashes.now) == QuarantineCheck::Pass {
                found.extend(crashes.end_upstream(SuspicionGrade::Strong, &[&works]));
            }
        }
    }
    assert_eq!(found, [part]);
    assert_eq!(crashes.upstream, 3);
}

#[test]
fn a_request_under_which_two_upstreams_ended_is_not_sent_again_by_itself() {
    let mut crashes = Crashes::new();
    crashes.end_upstream(SuspicionGrade::Weak, &[&[CRASH_REQUEST]]);
    assert!(!crashes.quarantine.stops_retries(CRASH_REQUEST, crashes.now));
    crashes.end_upstream(SuspicionGrade::Weak, &[&[CRASH_REQUEST]]);
    assert!(crashes.quarantine.stops_retries(CRASH_REQUEST, crashes.now));
    assert!(!crashes.quarantine.stops_retries(WorkId::of_request(1), crashes.now));
}

/// Upstreams end in normal operation; nothing is stored for that.
#[test]
fn the_trace_is_stored_only_while_a_request_is_suspected_of_several_crashes() {
    let mut crashes = Crashes::new();
    let mut tracer = CrashTracer::new(&[]);
    for number in 0..20 {
        crashes.end_upstream(SuspicionGrade::Weak, &[&[WorkId::of_request(number)]]);
        assert!(!tracer.record_trace(&crashes.quarantine.trace(crashes.now), crashes.now));
    }
    crashes.end_upstream(SuspicionGrade::Weak, &[&[WorkId::of_request(19)]]);
    let trace = crashes.quarantine.trace(crashes.now);
    assert_eq!(trace.len(), 2);
    assert!(tracer.record_trace(&trace, crashes.now));
    assert!(!tracer.record_trace(&trace, crashes.now), "unchanged");
    crashes.quarantine.record_served([WorkId::of_request(19)], crashes.now);
    assert!(tracer.record_trace(&crashes.quarantine.trace(crashes.now), crashes.now));
    assert!(crashes.quarantine.trace(crashes.now).is_empty());
}

/// An entry of an earlier version reports parts only, and refuses requests with the part it is told of.
#[test]
fn reports_of_an_earlier_version_count_for_parts() {
    let mut crashes = Crashes::new();
    let vm: VmId = "vm-1".parse().unwrap();
    for number in 0..2 {
        let report = CrashReport {
            vm: vm.clone(),
            upstream: format!("j-{number}").parse().unwrap(),
            age: TimeSpan::ZERO,
            grade: SuspicionGrade::Strong,
            parts: vec![WorkId::of_part(0xdead)],
        };
        crashes.quarantine.handle_report(&SuspectReport::from(report), crashes.now);
    }
    let works = [WorkId::of_part(0xdead), WorkId::of_request(1)];
    let found = crashes.end_upstream(SuspicionGrade::Strong, &[&works]);
    assert_eq!(found, [WorkId::of_part(0xdead)]);
}

/// A wrong finding costs the request its answers until a trial, which the first repeat after the
/// trial time is, at whichever entry it arrives.
#[test]
fn a_trial_at_any_entry_releases_a_request() {
    let mut due = Vec::new();
    for number in 0..20 {
        let mut quarantine = WorkQuarantine::new(format!("vm-{number}").parse().unwrap());
        let start = MonoTime::from_millis(1_000);
        let notice = QuarantineNotice { work: CRASH_REQUEST, is_quarantined: true };
        quarantine.handle_notice(notice, start);
        let is_trial = |second: &u64| {
            let now = start + TimeSpan::from_secs(*second);
            quarantine.check([CRASH_REQUEST], now) == QuarantineCheck::Trial(CRASH_REQUEST)
        };
        due.push((0..100).find(is_trial).unwrap());
    }
    assert!(due.iter().all(|second| (60..=80).contains(second)), "{due:?}");
    due.sort_unstable();
    due.dedup();
    assert!(due.len() > 8, "entries must not all be due in the same moment: {due:?}");
}

fn identity<'a>(target: &'a TargetId, parts: &'a [u64]) -> RequestIdentity<'a> {
    RequestIdentity {
        method: "POST",
        host: "club.example",
        path: "/advice/1?q=1",
        organisation: None,
        target: Some(target),
        parts,
        body: &[b"body"],
    }
}

/// The digest is part of messages between processes, so it never changes.
#[test]
fn a_request_has_the_same_id_in_every_process() {
    let target = TargetId::new("m1".parse().unwrap());
    let id = identity(&target, &[1, 2]).work_id();
    assert!(id.is_request());
    assert_eq!(id.to_string(), "f997aad95d6731c9");
}

/// Entries hold a body in pieces that depend on how it arrived.
#[test]
fn the_pieces_of_a_body_do_not_change_the_id() {
    let target = TargetId::new("m1".parse().unwrap());
    let whole = identity(&target, &[1, 2]);
    let pieces = RequestIdentity { body: &[b"", b"bo", b"dy"], ..whole };
    assert_eq!(pieces.work_id(), whole.work_id());
}

#[test]
fn requests_that_differ_in_what_upstreams_are_asked_have_different_ids() {
    let (model, adapter) = (TargetId::new("m1".parse().unwrap()), Some("a1".parse().unwrap()));
    let adapted = TargetId::new("m1".parse().unwrap()).with_adapter(adapter);
    let organisation = "club".parse().unwrap();
    let plain = identity(&model, &[1, 2]);
    let mut ids = [
        plain,
        identity(&adapted, &[1, 2]),
        identity(&model, &[1, 3]),
        identity(&model, &[2, 1]),
        identity(&model, &[]),
        RequestIdentity { target: None, ..plain },
        RequestIdentity { method: "GET", ..plain },
        RequestIdentity { host: "other.example", ..plain },
        RequestIdentity { path: "/advice/1?q=2", ..plain },
        RequestIdentity { organisation: Some(&organisation), ..plain },
        RequestIdentity { body: &[b"bodies"], ..plain },
        RequestIdentity { method: "POS", host: "Tclub.example", ..plain },
    ]
    .map(|identity| identity.work_id())
    .to_vec();
    let count = ids.len();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), count);
}
