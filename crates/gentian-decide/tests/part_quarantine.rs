//! Entries that find out which part of prompts makes upstreams end.

#![allow(clippy::unwrap_used)]

mod crash_fleet;

use crash_fleet::{CRASH_PART, CrashCause, Fleet, FleetSize, LARGE, MAX_LATER, SMALL};
use gentian_core::peer::{QuarantineNotice, TrialNotice};
use gentian_core::{FastSet, MonoTime, TimeSpan, WorkId};
use gentian_decide::quarantine::{QuarantineCheck, WorkQuarantine};
use rstest::rstest;

/// Crashes after which the part must be known.
const CRASHES: usize = 5;

#[rstest]
fn requests_with_a_part_that_crashes_upstreams_stop_soon(
    #[values(SMALL, LARGE)] size: FleetSize,
    #[values(0.5, 5.0, 40.0)] crash_percent: f64,
    #[values(0.0, 0.3)] outages: f64,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut fleet = Fleet::new(size, CrashCause::Part, seed);
    fleet.run(TimeSpan::from_secs(4), 0.0, outages);
    fleet.run(TimeSpan::from_secs(40), crash_percent, outages);
    let (crashes, later) = (fleet.crashes.len(), fleet.later_requests(CRASHES));
    assert!(later <= MAX_LATER, "{later} requests too late, {crashes} crashes");
    let quarantined = fleet.quarantined();
    for parts in &quarantined {
        let is_found = *parts == [CRASH_PART];
        let may_be_open = crashes < CRASHES && parts.is_empty();
        assert!(is_found || may_be_open, "{crashes} crashes, {quarantined:?}");
    }
    assert_eq!(fleet.refused_sound, 0);
}

/// At the start no entry has served anything, so shared parts are under the same suspicion.
#[rstest]
fn shared_parts_are_not_refused_with_the_part_that_crashes(
    #[values(1, 2, 3, 4, 36, 41, 61, 88)] seed: u64,
) {
    let mut fleet = Fleet::new(SMALL, CrashCause::Part, seed);
    fleet.run(TimeSpan::from_secs(20), 50.0, 0.0);
    assert!(fleet.quarantined().iter().all(|parts| *parts == [CRASH_PART]));
    assert_eq!(fleet.refused_sound, 0);
}

#[rstest]
fn outages_without_a_common_part_refuse_nothing(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut fleet = Fleet::new(SMALL, CrashCause::Part, seed);
    fleet.run(TimeSpan::from_secs(60), 0.0, 1.0);
    assert!(fleet.quarantined().iter().all(Vec::is_empty));
}

#[test]
fn entries_that_restart_know_the_part_from_the_record() {
    let mut fleet = Fleet::new(SMALL, CrashCause::Part, 7);
    fleet.run(TimeSpan::from_secs(20), 20.0, 0.0);
    let before = fleet.crashing_sent.len();
    fleet.restart_entries();
    fleet.run(TimeSpan::from_secs(20), 20.0, 0.0);
    assert_eq!(fleet.crashing_sent.len(), before);
}

/// The part is harmless after a release of the model: a trial shows it. Two entries make none at the
/// same time.
#[test]
fn a_trial_releases_a_part_that_does_no_more_harm() {
    let start = MonoTime::from_millis(1_000);
    let notice = QuarantineNotice { work: CRASH_PART, is_quarantined: true };
    let [mut first, mut second] = ["vm-0", "vm-1"].map(|vm| {
        let mut quarantine = WorkQuarantine::new(vm.parse().unwrap());
        quarantine.handle_notice(notice, start);
        quarantine
    });
    let parts = [WorkId::of_part(0xa0), CRASH_PART];
    let at = |seconds| start + TimeSpan::from_secs(seconds);
    let refused = QuarantineCheck::Refuse(CRASH_PART);
    assert_eq!(first.check(parts, at(30)), refused);
    assert_eq!(first.check(parts, at(100)), QuarantineCheck::Trial(CRASH_PART));
    assert_eq!(first.check(parts, at(101)), refused, "one request at a time");
    second.handle_trial(TrialNotice { work: CRASH_PART }, at(61));
    second.handle_trial(TrialNotice { work: CRASH_PART }, at(62));
    assert_eq!(second.check(parts, at(100)), refused, "only one entry tries");
    assert_eq!(
        second.check(parts, at(1_000)),
        QuarantineCheck::Trial(CRASH_PART),
        "the next trial"
    );
    let notice = first.record_served(parts, at(102)).unwrap();
    assert_eq!(notice.works, [(CRASH_PART, TimeSpan::ZERO)]);
}

/// A caller that sends ever new parts, and crashes with many parts, must not fill the memory; the
/// oldest parts are dropped.
#[test]
fn the_number_of_quarantined_parts_is_bounded() {
    let mut quarantine = WorkQuarantine::new("vm-0".parse().unwrap());
    for number in 0..2_000 {
        let now = MonoTime::from_millis(number);
        let notice = QuarantineNotice { work: WorkId::of_part(number), is_quarantined: true };
        quarantine.handle_notice(notice, now);
    }
    assert!(quarantine.works().count() <= 256);
    assert!(quarantine.is_quarantined(WorkId::of_part(1_999)));
}

/// The hub deletes the record of a released part; an entry that was away at the release sees that.
/// An operator may delete it too.
#[test]
fn a_deleted_record_releases_its_part() {
    let mut quarantine = WorkQuarantine::new("vm-0".parse().unwrap());
    let now = MonoTime::from_millis(1_000);
    let notice = QuarantineNotice { work: CRASH_PART, is_quarantined: true };
    quarantine.handle_notice(notice, now);
    let (none, stored) = (FastSet::default(), FastSet::from_iter([CRASH_PART]));
    assert!(quarantine.drop_deleted(&none).is_empty(), "not stored yet");
    assert!(quarantine.drop_deleted(&stored).is_empty());
    assert_eq!(quarantine.drop_deleted(&none), [CRASH_PART]);
    assert!(!quarantine.is_quarantined(CRASH_PART));
}

/// The record is missing from the copy, but nobody released the part.
#[test]
fn a_part_was_released_when_the_store_was_restored_without_its_record() {
    let mut quarantine = WorkQuarantine::new("vm-0".parse().unwrap());
    let notice = QuarantineNotice { work: CRASH_PART, is_quarantined: true };
    quarantine.handle_notice(notice, MonoTime::from_millis(1_000));
    let (none, stored) = (FastSet::default(), FastSet::from_iter([CRASH_PART]));
    quarantine.drop_deleted(&stored);
    quarantine.forget_records();
    assert!(quarantine.drop_deleted(&none).is_empty());
    assert!(quarantine.is_quarantined(CRASH_PART));
    quarantine.drop_deleted(&stored);
    assert_eq!(quarantine.drop_deleted(&none), [CRASH_PART], "deleted after it was stored again");
}
