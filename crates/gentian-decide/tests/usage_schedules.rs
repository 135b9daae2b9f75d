//! Random schedules of failures: rules 1 to 4 of the duty hold, and a window is missed only if no
//! survivor could have reported it.
//!
//! `DUTY_SEEDS=FIRST..END cargo test -p gentian-decide --test usage_schedules` runs other seeds.

#![allow(clippy::unwrap_used)]

mod duty_model;

use duty_model::{DutyFleet, Faults, LEASE_TIME};
use gentian_core::{MonoTime, TimeSpan, WindowNumber};
use rand::RngExt;
use rstest::rstest;

/// Length of a schedule.
const LENGTH: TimeSpan = TimeSpan::from_secs(60);
/// Longest time that a new holder needs: the lease ends, the entries notice it, the takeover delay and
/// the margin before its first call pass.
const TAKEOVER_TIME: TimeSpan = TimeSpan::from_secs(8);

/// Longest time after a restoration of the store until each process has noticed it.
const TIME_TO_NOTICE: TimeSpan = TimeSpan::from_millis(1_000);

/// Something that happens at a time of a schedule.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillHolder,
    KillAny,
    StopHolder,
    SuspendHolder(TimeSpan),
    SuspendAny(TimeSpan),
    CutHolder(TimeSpan),
    CutAny(TimeSpan),
    SilenceStore(TimeSpan),
    /// The store is restored from a copy of this age.
    RestoreStore(TimeSpan),
    PlatformDown(TimeSpan),
    LimitCalls(TimeSpan),
    LoseMessages(TimeSpan),
    LoseReports(TimeSpan),
    LoseStoreReplies(TimeSpan),
    StepClock(i64),
}

/// Until when a fault excuses a missed window, or a wrong one.
struct Excuse {
    from: MonoTime,
    until: MonoTime,
    is_for_missed: bool,
    is_for_wrong: bool,
}

fn random_fault(fleet: &mut DutyFleet, kinds: u32) -> Fault {
    let span = TimeSpan::from_millis(fleet.random.random_range(200..9_000));
    match fleet.random.random_range(0..kinds) {
        0 => Fault::KillHolder,
        1 => Fault::KillAny,
        2 => Fault::StopHolder,
        3 => Fault::SuspendHolder(span),
        4 => Fault::SuspendAny(span),
        5 => Fault::CutHolder(span),
        6 => Fault::CutAny(span),
        7 => Fault::LoseMessages(span),
        8 => Fault::StepClock(fleet.random.random_range(-5_000_000..5_000_000)),
        9 => Fault::LimitCalls(span),
        10 => Fault::LoseReports(span),
        11 => Fault::LoseStoreReplies(span),
        12 => Fault::PlatformDown(span),
        13 => Fault::SilenceStore(span),
        _ => Fault::RestoreStore(span),
    }
}

struct Schedule {
    fleet: DutyFleet,
    /// What ends, and when.
    ends: Vec<(MonoTime, Fault, usize)>,
    excuses: Vec<Excuse>,
    /// What happened, for the messages of failed tests.
    log: Vec<String>,
    copies: Vec<(MonoTime, duty_model::FakeStore)>,
    changed: std::collections::BTreeSet<usize>,
}

impl Schedule {
    fn excuse(&mut self, span: TimeSpan, is_for_missed: bool, is_for_wrong: bool) {
        let (from, until) = (self.fleet.time, self.fleet.time + span);
        self.excuses.push(Excuse { from, until, is_for_missed, is_for_wrong });
    }

    fn begin(&mut self, fault: Fault) {
        let entries = self.fleet.nodes.len();
        let any = self.fleet.random.random_range(0..entries);
        let holder = self.fleet.holder().unwrap_or(any);
        let time = self.fleet.time;
        let restart = TimeSpan::from_millis(self.fleet.random.random_range(500..6_000));
        let (end, number) = match fault {
            Fault::KillHolder => {
                self.fleet.kill(holder);
                (restart, holder)
            }
            Fault::KillAny => {
                self.fleet.kill(any);
                (restart, any)
            }
            Fault::StopHolder => {
                self.fleet.stop(holder);
                (restart, holder)
            }
            Fault::SuspendHolder(span) => {
                self.fleet.suspend(holder, span);
                (span, holder)
            }
            Fault::SuspendAny(span) => {
                self.fleet.suspend(any, span);
                (span, any)
            }
            Fault::CutHolder(span) => {
                self.fleet.cut.insert(holder);
                (span, holder)
            }
            Fault::CutAny(span) => {
                self.fleet.cut.insert(any);
                (span, any)
            }
            Fault::SilenceStore(span) => {
                self.fleet.faults.is_store_silent = true;
                (span, any)
            }
            Fault::RestoreStore(age) => {
                let copy = self.copies.iter().rev().find(|(made, _)| time.since(*made) >= age);
                if let Some((_, copy)) = copy {
                    let copy = copy.clone();
                    self.fleet.store.restore(copy, time);
                }
                (TimeSpan::ZERO, any)
            }
            Fault::PlatformDown(span) => {
                self.fleet.faults.is_api_down = true;
                (span, any)
            }
            Fault::LimitCalls(span) => {
                self.fleet.faults.is_limited = true;
                (span, any)
            }
            Fault::LoseMessages(span) => {
                self.fleet.faults.lost_datagrams = 30;
                (span, any)
            }
            Fault::LoseReports(span) => {
                self.fleet.faults.lost_reports = 50;
                (span, any)
            }
            Fault::LoseStoreReplies(span) => {
                self.fleet.faults.lost_store_replies = 30;
                (span, any)
            }
            Fault::StepClock(micros) => {
                // Clocks of fewer than half of the VMs are wrong.
                if self.changed.len() < (entries - 1) / 2 || self.changed.contains(&any) {
                    self.changed.insert(any);
                    self.fleet.step_clock(any, micros);
                }
                (TimeSpan::ZERO, any)
            }
        };
        self.excuse_fault(fault, end);
        self.log.push(format!("{time:?} {fault:?} at {number}, holder {holder}, ends after {end}"));
        self.ends.push((time + end, fault, number));
    }

    /// Excuses what no survivor can prevent.
    fn excuse_fault(&mut self, fault: Fault, span: TimeSpan) {
        match fault {
            // The takeover of one holder fits into the time until a report is due.
            Fault::KillHolder | Fault::StopHolder | Fault::SuspendHolder(_) => {
                self.excuse(span.max(TAKEOVER_TIME), false, false);
            }
            Fault::KillAny | Fault::SuspendAny(_) | Fault::LoseMessages(_) => {
                self.excuse(span, false, false);
            }
            // What an entry counts while it is cut off for long is not known to the hub in time.
            Fault::CutAny(_) => self.excuse(span, false, true),
            Fault::CutHolder(_) => self.excuse(span.max(TAKEOVER_TIME), false, true),
            Fault::SilenceStore(_) => self.excuse(span + TAKEOVER_TIME, true, false),
            Fault::RestoreStore(_) => self.excuse(TIME_TO_NOTICE, true, false),
            Fault::PlatformDown(_) | Fault::LimitCalls(_) | Fault::LoseReports(_) => {
                self.excuse(span + TimeSpan::from_secs(4), true, false);
            }
            Fault::LoseStoreReplies(_) => self.excuse(span + TAKEOVER_TIME, true, false),
            Fault::StepClock(_) => {}
        }
    }

    fn end(&mut self, fault: Fault, number: usize) {
        match fault {
            Fault::KillHolder | Fault::KillAny | Fault::StopHolder => {
                self.fleet.kill(number);
                self.fleet.start(number);
            }
            Fault::CutHolder(_) | Fault::CutAny(_) => {
                self.fleet.cut.remove(&number);
            }
            Fault::SilenceStore(_) => self.fleet.faults.is_store_silent = false,
            Fault::PlatformDown(_) => self.fleet.faults.is_api_down = false,
            Fault::LimitCalls(_) => self.fleet.faults.is_limited = false,
            Fault::LoseMessages(_) => self.fleet.faults.lost_datagrams = 0,
            Fault::LoseReports(_) => self.fleet.faults.lost_reports = 0,
            Fault::LoseStoreReplies(_) => self.fleet.faults.lost_store_replies = 0,
            Fault::SuspendHolder(_)
            | Fault::SuspendAny(_)
            | Fault::RestoreStore(_)
            | Fault::StepClock(_) => {}
        }
    }

    fn run(&mut self, span: TimeSpan) {
        let end = self.fleet.time + span;
        while self.fleet.time < end {
            self.fleet.run(TimeSpan::from_millis(50));
            let time = self.fleet.time;
            if self.copies.last().is_none_or(|(made, _)| time.since(*made) > TimeSpan::from_secs(1))
            {
                self.copies.push((time, self.fleet.store.clone()));
            }
            let (due, open): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.ends).into_iter().partition(|(end, ..)| *end <= time);
            self.ends = open;
            due.into_iter().for_each(|(_, fault, number)| self.end(fault, number));
        }
    }

    /// Returns whether what happened excuses that a window was missed, or that it is wrong.
    fn is_excused(&self, window: WindowNumber, is_missed: bool) -> bool {
        let start = self.fleet.end(window) - self.fleet.rules.window();
        let due = self.fleet.end(window) + self.fleet.rules.report_delay;
        let overlaps = |it: &&Excuse| it.from <= due && it.until >= start;
        let found: Vec<&Excuse> = self.excuses.iter().filter(overlaps).collect();
        // Two failures at once may take longer than the report may.
        found.len() >= 2
            || found.iter().any(|it| if is_missed { it.is_for_missed } else { it.is_for_wrong })
    }

    fn check(&self, first: WindowNumber, end: WindowNumber) {
        self.fleet.platform.check_rules(LEASE_TIME);
        for number in first.get()..end.get() {
            let window = WindowNumber::new(number);
            let is_in_time = self.fleet.is_in_time(window);
            assert!(
                is_in_time || self.is_excused(window, true),
                "window {window} was missed: {:#?}",
                self.log
            );
            let error = if is_in_time { self.fleet.error(window) } else { 0.0 };
            let is_right = error <= 0.05 || self.is_excused(window, false);
            assert!(is_right, "window {window} is off by {error:.3}: {:#?}", self.log);
        }
    }
}

fn run_schedule(entries: usize, seed: u64, requires_fencing: bool, fault_count: u32, kinds: u32) {
    let mut fleet = DutyFleet::new(entries, seed);
    fleet.platform.requires_fencing = requires_fencing;
    let (ends, excuses, log, copies) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let changed = std::collections::BTreeSet::new();
    let mut schedule = Schedule { fleet, ends, excuses, log, copies, changed };
    schedule.run(TimeSpan::from_secs(15));
    let first = schedule.fleet.window();
    let mut rest = LENGTH;
    for _ in 0..fault_count {
        let share = LENGTH.as_millis() / u64::from(fault_count);
        let wait = TimeSpan::from_millis(schedule.fleet.random.random_range(0..=share));
        rest = rest.saturating_sub(wait);
        schedule.run(wait);
        let fault = random_fault(&mut schedule.fleet, kinds);
        schedule.begin(fault);
    }
    schedule.run(rest + TimeSpan::from_secs(10));
    schedule.fleet.faults = Faults::default();
    schedule.run(TimeSpan::from_secs(20));
    let last = schedule.fleet.window();
    schedule.run(TimeSpan::from_secs(25));
    schedule.check(first, last);
}

fn seeds(default: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("DUTY_SEEDS") else { return default };
    let (first, end) = text.split_once("..").unwrap();
    first.parse().unwrap()..end.parse().unwrap()
}

fn run_schedules(seeds: std::ops::Range<u64>, run: impl Fn(u64) + std::panic::RefUnwindSafe) {
    let failed: Vec<u64> =
        seeds.filter(|seed| std::panic::catch_unwind(|| run(*seed)).is_err()).collect();
    assert!(failed.is_empty(), "seeds {failed:?}");
}

/// Guards against reports that contradict each other, tokens of two VMs, calls out of turn and needless
/// misses, whatever fails, one thing every 20 s.
#[rstest]
fn single_failures(#[values(false, true)] requires_fencing: bool, #[values(3, 6)] entries: usize) {
    run_schedules(seeds(0..120), |seed| run_schedule(entries, seed, requires_fencing, 3, 15));
}

/// The same with failures that overlap; rules 1 to 4 hold in each.
#[rstest]
fn many_failures(#[values(false, true)] requires_fencing: bool) {
    run_schedules(seeds(1_000..1_160), |seed| run_schedule(6, seed, requires_fencing, 14, 15));
}

/// The same in a large fleet.
#[rstest]
fn large_fleets(#[values(68, 370)] entries: usize) {
    run_schedules(seeds(2_000..2_006), |seed| run_schedule(entries, seed, true, 8, 15));
}
