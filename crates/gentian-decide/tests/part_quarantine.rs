//! A fleet of entries that find out which part of prompts makes upstreams end.

#![allow(clippy::unwrap_used)]

use gentian_core::peer::{FleetMessage, QuarantineNotice, SuspicionGrade};
use gentian_core::{FastSet, MonoTime, TimeSpan, UpstreamId, VmId, WorkId};
use gentian_decide::quarantine::{MessageRepeats, WorkQuarantine};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const STEP: TimeSpan = TimeSpan::from_millis(5);
/// Time from the arrival of a request at an upstream to the start of its answer.
const PREFILL_MILLIS: u64 = 150;
/// Time from the start of an answer to its end.
const ANSWER_MILLIS: u64 = 700;
/// Time for which a crashed upstream is away.
const RESTART_MILLIS: u64 = 3_300;
/// Time from the fifth crash after which at most three more requests may reach upstreams.
const CONTACT_TIME: TimeSpan = TimeSpan::from_millis(3_000);
const CRASHES: usize = 5;
const MAX_LATER: usize = 3;
/// The part that makes upstreams end.
const CRASH_PART: WorkId = WorkId::new(0xdead);
/// Percentage of messages that are lost.
const LOST_PERCENT: u32 = 3;

#[derive(Clone, Copy)]
struct FleetSize {
    entries: usize,
    upstreams: usize,
    requests_per_second: u64,
}

const SMALL: FleetSize = FleetSize { entries: 6, upstreams: 12, requests_per_second: 20 };
const LARGE: FleetSize = FleetSize { entries: 90, upstreams: 140, requests_per_second: 256 };

struct Entry {
    vm: VmId,
    quarantine: WorkQuarantine,
    repeats: MessageRepeats,
}

struct Request {
    entry: usize,
    upstream: usize,
    parts: Vec<WorkId>,
    sent: MonoTime,
}

struct Fleet {
    size: FleetSize,
    random: StdRng,
    now: MonoTime,
    entries: Vec<Entry>,
    away_until: Vec<MonoTime>,
    running: Vec<Request>,
    messages: Vec<(MonoTime, usize, FleetMessage)>,
    /// When requests with the part reached upstreams.
    sent_with_part: Vec<MonoTime>,
    crashes: Vec<MonoTime>,
    refused_sound: usize,
}

impl Fleet {
    fn new(size: FleetSize, seed: u64) -> Self {
        let vms = (0..size.entries).map(|index| format!("vm-{index}").parse::<VmId>().unwrap());
        let entries = vms.map(|vm| Entry {
            quarantine: WorkQuarantine::new(vm.clone()),
            repeats: MessageRepeats::new(),
            vm,
        });
        Self {
            size,
            random: StdRng::seed_from_u64(seed),
            now: MonoTime::from_millis(10_000),
            entries: entries.collect(),
            away_until: vec![MonoTime::ORIGIN; size.upstreams],
            running: Vec::new(),
            messages: Vec::new(),
            sent_with_part: Vec::new(),
            crashes: Vec::new(),
            refused_sound: 0,
        }
    }

    /// Runs the fleet; `crash_percent` of the requests hold the part, and `outages` upstreams a
    /// second end for other reasons.
    fn run(&mut self, span: TimeSpan, crash_percent: f64, outages: f64) {
        let end = self.now + span;
        let step = STEP.as_secs_f64();
        while self.now < end {
            self.now = self.now + STEP;
            if self.random.random_bool((self.size.requests_per_second as f64 * step).min(1.0)) {
                self.send_request(crash_percent);
            }
            if self
                .random
                .random_bool((self.size.requests_per_second as f64 * step - 1.0).clamp(0.0, 1.0))
            {
                self.send_request(crash_percent);
            }
            if self.random.random_bool(outages * step) {
                let upstream = self.random.random_range(0..self.size.upstreams);
                self.end_upstream(upstream);
            }
            self.deliver();
            self.run_upstreams();
            self.decide();
        }
    }

    /// Sound requests share the first part with all others and the second with one in twelve.
    fn send_request(&mut self, crash_percent: f64) {
        let has_part = self.random.random_bool(crash_percent / 100.0);
        let second = WorkId::new(0xb0 + self.random.random_range(0..12));
        let mut parts = vec![WorkId::new(0xa0), second];
        if has_part {
            parts.push(CRASH_PART);
        }
        let entry = self.random.random_range(0..self.size.entries);
        let present: Vec<usize> =
            (0..self.size.upstreams).filter(|it| self.away_until[*it] <= self.now).collect();
        if self.entries[entry].quarantine.check(&parts, entry == 0, self.now).is_some() {
            self.refused_sound += usize::from(!has_part);
            return;
        }
        if present.is_empty() {
            return;
        }
        let upstream = present[self.random.random_range(0..present.len())];
        if has_part {
            self.sent_with_part.push(self.now);
        }
        self.running.push(Request { entry, upstream, parts, sent: self.now });
    }

    fn run_upstreams(&mut self) {
        let begun = |request: &Request, now: MonoTime| {
            now.since(request.sent) >= TimeSpan::from_millis(PREFILL_MILLIS)
        };
        let crashed: Vec<usize> = self
            .running
            .iter()
            .filter(|request| request.parts.contains(&CRASH_PART) && begun(request, self.now))
            .map(|request| request.upstream)
            .collect();
        for upstream in crashed {
            if self.away_until[upstream] <= self.now {
                self.crashes.push(self.now);
                self.end_upstream(upstream);
            }
        }
        let now = self.now;
        let is_done = |request: &mut Request| {
            now.since(request.sent) >= TimeSpan::from_millis(PREFILL_MILLIS + ANSWER_MILLIS)
        };
        let done: Vec<Request> = self.running.extract_if(.., is_done).collect();
        for request in done {
            let quarantine = &mut self.entries[request.entry].quarantine;
            let Some(notice) = quarantine.record_served(&request.parts, now) else { continue };
            let served = notice.parts.iter().map(|(part, _)| *part);
            let released: Vec<WorkId> =
                served.filter(|part| quarantine.is_quarantined(*part)).collect();
            for part in released {
                self.entries[request.entry].quarantine.release(part, now);
                let notice = QuarantineNotice { part, is_quarantined: false };
                self.broadcast(request.entry, FleetMessage::Quarantine(notice));
            }
            self.broadcast(request.entry, FleetMessage::Served(notice));
        }
    }

    fn end_upstream(&mut self, upstream: usize) {
        self.away_until[upstream] = self.now + TimeSpan::from_millis(RESTART_MILLIS);
        let id: UpstreamId = format!("i-{upstream}").parse().unwrap();
        let broken: Vec<Request> =
            self.running.extract_if(.., |request| request.upstream == upstream).collect();
        for request in broken {
            let elapsed = self.now.since(request.sent);
            let prefill = TimeSpan::from_millis(PREFILL_MILLIS);
            if elapsed > prefill + TimeSpan::from_millis(250) {
                continue;
            }
            let has_begun = elapsed >= prefill && request.parts.contains(&CRASH_PART);
            let grade = if has_begun { SuspicionGrade::Strong } else { SuspicionGrade::Weak };
            let entry = &mut self.entries[request.entry];
            let report = entry.quarantine.record_crash(id.clone(), grade, &request.parts, self.now);
            self.broadcast(request.entry, FleetMessage::Crash(report));
        }
    }

    fn decide(&mut self) {
        for index in 0..self.entries.len() {
            for part in self.entries[index].quarantine.decide(self.now) {
                let notice = QuarantineNotice { part, is_quarantined: true };
                self.broadcast(index, FleetMessage::Quarantine(notice));
            }
            for message in self.entries[index].repeats.take_due(self.now) {
                self.post(index, None, message);
            }
        }
    }

    fn broadcast(&mut self, from: usize, message: FleetMessage) {
        self.entries[from].repeats.add(message.clone(), self.now);
        self.post(from, None, message);
    }

    fn post(&mut self, from: usize, only: Option<&VmId>, message: FleetMessage) {
        for to in 0..self.entries.len() {
            let is_recipient = only.is_none_or(|vm| *vm == self.entries[to].vm);
            if to == from || !is_recipient || self.random.random_ratio(LOST_PERCENT, 100) {
                continue;
            }
            let delay = TimeSpan::from_millis(self.random.random_range(1..20));
            self.messages.push((self.now + delay, to, message.clone()));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |(time, ..)| *time <= now).collect();
        for (_, to, message) in due {
            let quarantine = &mut self.entries[to].quarantine;
            match message {
                FleetMessage::Crash(report) => {
                    if let Some(notice) = quarantine.handle_crash(&report, now) {
                        self.post(to, Some(&report.vm), FleetMessage::Served(notice));
                    }
                }
                FleetMessage::Served(notice) => quarantine.handle_served(&notice, now),
                FleetMessage::Quarantine(notice) => {
                    quarantine.handle_notice(notice, now);
                }
                _ => {}
            }
        }
    }

    /// Replaces every entry by one that knows only the parts of which a record is stored.
    fn restart_entries(&mut self) {
        let stored: Vec<WorkId> = self.entries[0].quarantine.parts().collect();
        for entry in &mut self.entries {
            entry.quarantine = WorkQuarantine::new(entry.vm.clone());
            entry.repeats = MessageRepeats::new();
            entry.quarantine.restore(stored.iter().copied(), self.now);
        }
        self.running.clear();
    }

    fn later_requests(&self) -> usize {
        let Some(fifth) = self.crashes.get(CRASHES - 1) else { return 0 };
        let limit = *fifth + CONTACT_TIME;
        self.sent_with_part.iter().filter(|time| **time > limit).count()
    }

    fn quarantined(&self) -> Vec<Vec<WorkId>> {
        let parts = |entry: &Entry| {
            let mut parts: Vec<WorkId> = entry.quarantine.parts().collect();
            parts.sort_unstable();
            parts
        };
        self.entries.iter().map(parts).collect()
    }
}

#[rstest]
fn requests_with_a_part_that_crashes_upstreams_stop_soon(
    #[values(SMALL, LARGE)] size: FleetSize,
    #[values(0.5, 5.0, 40.0)] crash_percent: f64,
    #[values(0.0, 0.3)] outages: f64,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut fleet = Fleet::new(size, seed);
    fleet.run(TimeSpan::from_secs(4), 0.0, outages);
    fleet.run(TimeSpan::from_secs(40), crash_percent, outages);
    let (crashes, later) = (fleet.crashes.len(), fleet.later_requests());
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
fn shared_parts_are_not_refused_with_the_part_that_crashes(#[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = Fleet::new(SMALL, seed);
    fleet.run(TimeSpan::from_secs(20), 50.0, 0.0);
    assert!(fleet.quarantined().iter().all(|parts| *parts == [CRASH_PART]));
    assert_eq!(fleet.refused_sound, 0);
}

#[rstest]
fn outages_without_a_common_part_refuse_nothing(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut fleet = Fleet::new(SMALL, seed);
    fleet.run(TimeSpan::from_secs(60), 0.0, 1.0);
    assert!(fleet.quarantined().iter().all(Vec::is_empty));
}

#[test]
fn entries_that_restart_know_the_part_from_the_record() {
    let mut fleet = Fleet::new(SMALL, 7);
    fleet.run(TimeSpan::from_secs(20), 20.0, 0.0);
    let before = fleet.sent_with_part.len();
    fleet.restart_entries();
    fleet.run(TimeSpan::from_secs(20), 20.0, 0.0);
    assert_eq!(fleet.sent_with_part.len(), before);
}

/// The part is harmless after a release of the model: a trial shows it.
#[test]
fn a_trial_releases_a_part_that_does_no_more_harm() {
    let vm: VmId = "vm-0".parse().unwrap();
    let mut quarantine = WorkQuarantine::new(vm);
    let start = MonoTime::from_millis(1_000);
    quarantine.handle_notice(QuarantineNotice { part: CRASH_PART, is_quarantined: true }, start);
    let parts = [WorkId::new(0xa0), CRASH_PART];
    let at = |seconds| start + TimeSpan::from_secs(seconds);
    assert_eq!(quarantine.check(&parts, true, at(30)), Some(CRASH_PART));
    assert_eq!(quarantine.check(&parts, false, at(100)), Some(CRASH_PART), "only one entry tries");
    assert_eq!(quarantine.check(&parts, true, at(100)), None);
    assert_eq!(quarantine.check(&parts, true, at(101)), Some(CRASH_PART), "one request at a time");
    let notice = quarantine.record_served(&parts, at(102)).unwrap();
    assert_eq!(notice.parts, [(CRASH_PART, TimeSpan::ZERO)]);
}

/// A caller that sends ever new parts, and crashes with many parts, must not fill the memory; the
/// oldest parts are dropped.
#[test]
fn the_number_of_quarantined_parts_is_bounded() {
    let mut quarantine = WorkQuarantine::new("vm-0".parse().unwrap());
    for number in 0..2_000 {
        let now = MonoTime::from_millis(number);
        let notice = QuarantineNotice { part: WorkId::new(number), is_quarantined: true };
        quarantine.handle_notice(notice, now);
    }
    assert!(quarantine.parts().count() <= 256);
    assert!(quarantine.is_quarantined(WorkId::new(1_999)));
}

/// The hub deletes the record of a released part; an entry that was away at the release sees that.
/// An operator may delete it too.
#[test]
fn a_deleted_record_releases_its_part() {
    let mut quarantine = WorkQuarantine::new("vm-0".parse().unwrap());
    let now = MonoTime::from_millis(1_000);
    let notice = QuarantineNotice { part: CRASH_PART, is_quarantined: true };
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
    let notice = QuarantineNotice { part: CRASH_PART, is_quarantined: true };
    quarantine.handle_notice(notice, MonoTime::from_millis(1_000));
    let (none, stored) = (FastSet::default(), FastSet::from_iter([CRASH_PART]));
    quarantine.drop_deleted(&stored);
    quarantine.forget_records();
    assert!(quarantine.drop_deleted(&none).is_empty());
    assert!(quarantine.is_quarantined(CRASH_PART));
    quarantine.drop_deleted(&stored);
    assert_eq!(quarantine.drop_deleted(&none), [CRASH_PART], "deleted after it was stored again");
}
