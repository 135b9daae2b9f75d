//! Reports of usage while one thing fails.

#![allow(clippy::unwrap_used)]

mod duty_model;

use duty_model::{DutyFleet, LEASE_TIME};
use gentian_core::{TimeSpan, WindowNumber};
use gentian_decide::duties::UsageEvent;
use rand::RngExt;
use rstest::rstest;

const TICK: TimeSpan = TimeSpan::from_millis(10);

/// A fleet that has reported some windows.
fn calm_fleet(entries: usize, seed: u64) -> DutyFleet {
    let mut fleet = DutyFleet::new(entries, seed);
    fleet.run(TimeSpan::from_secs(21));
    fleet
}

/// Runs until the next window is fixed, and returns it.
fn run_until_fixed(fleet: &mut DutyFleet) -> WindowNumber {
    let newest = |fleet: &DutyFleet| fleet.store.usage.last_key_value().map(|(it, _)| *it);
    let before = newest(fleet);
    for _ in 0..2_000 {
        fleet.run(TICK);
        if newest(fleet) != before {
            return newest(fleet).unwrap();
        }
    }
    panic!("no window was fixed");
}

fn random_millis(fleet: &mut DutyFleet, range: std::ops::Range<u64>) -> TimeSpan {
    TimeSpan::from_millis(fleet.random.random_range(range))
}

/// Runs for long enough that all windows up to the present one are due, and checks those from `first`.
fn check_rest(fleet: &mut DutyFleet, first: WindowNumber) {
    let end = fleet.window();
    fleet.run(TimeSpan::from_secs(25));
    fleet.check_windows(first, end);
    fleet.platform.check_rules(LEASE_TIME);
}

/// Guards against a successor that reports other counts than those that were fixed, or none.
#[rstest]
fn holder_killed_between_fixing_and_sending(
    #[values(6, 68, 370)] entries: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = calm_fleet(entries, seed);
    let window = run_until_fixed(&mut fleet);
    assert!(!fleet.platform.accepted.contains_key(&window));
    let stored = fleet.store.usage[&window].counts.clone();
    let holder = fleet.holder().unwrap();
    fleet.kill(holder);
    fleet.run(TimeSpan::from_secs(3));
    fleet.start(holder);
    check_rest(&mut fleet, window);
    assert_eq!(fleet.platform.accepted[&window].0, stored);
}

/// Guards against a second, different report by a successor that doesn't know of the first.
#[rstest]
fn holder_killed_between_sending_and_response(
    #[values(6, 68)] entries: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = calm_fleet(entries, seed);
    let window = run_until_fixed(&mut fleet);
    while !fleet.platform.accepted.contains_key(&window) {
        fleet.run(TICK);
    }
    let holder = fleet.holder().unwrap();
    fleet.kill(holder);
    check_rest(&mut fleet, window);
}

/// Guards against a call that a suspended holder sends when it goes on, after its successor's.
#[rstest]
fn holder_suspended_with_a_call_on_its_way(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(false, true)] requires_fencing: bool,
) {
    let mut fleet = calm_fleet(6, seed);
    fleet.platform.requires_fencing = requires_fencing;
    let window = run_until_fixed(&mut fleet);
    let wait = random_millis(&mut fleet, 0..120);
    fleet.run(wait);
    let holder = fleet.holder().unwrap();
    let span = random_millis(&mut fleet, 1_000..15_000);
    fleet.suspend(holder, span);
    check_rest(&mut fleet, window);
}

/// Guards against a successor that acts within `lease_ms` of a holder that handed over, and against
/// windows that are missed in planned stops.
#[rstest]
fn handover(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut fleet = calm_fleet(6, seed);
    for _ in 0..3 {
        let first = fleet.window();
        let wait = random_millis(&mut fleet, 0..5_000);
        fleet.run(wait);
        let holder = fleet.holder().unwrap();
        fleet.stop(holder);
        fleet.run(TimeSpan::from_secs(1));
        fleet.kill(holder);
        fleet.run(TimeSpan::from_secs(3));
        fleet.start(holder);
        check_rest(&mut fleet, first);
    }
}

/// Guards against a window that a restored store has lost and that is fixed again with other counts,
/// by the same holder or by one that took over since.
#[rstest]
fn restored_store(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(false, true)] is_holder_killed: bool,
) {
    let mut fleet = calm_fleet(6, seed);
    let copy = fleet.store.clone();
    let age = random_millis(&mut fleet, 1_000..12_000);
    fleet.run(age);
    let time = fleet.time;
    fleet.store.restore(copy, time);
    let holder = fleet.holder().unwrap();
    if is_holder_killed {
        fleet.kill(holder);
    }
    // Processes notice the restoration within a second, and leave out what ended before.
    let first = fleet.window_at(time + TimeSpan::from_secs(1));
    fleet.run(TimeSpan::from_secs(20));
    check_rest(&mut fleet, first);
}

/// Guards against counts that are guessed or reported without having been fixed, against a hub that
/// doesn't go on after an outage, and against missed windows of which no log line tells.
#[rstest]
fn silent_store(#[values(1, 2, 3)] seed: u64, #[values(4, 13, 30)] seconds: u64) {
    let mut fleet = calm_fleet(6, seed);
    let silent_from = fleet.window();
    fleet.faults.is_store_silent = true;
    fleet.run(TimeSpan::from_secs(seconds));
    fleet.faults.is_store_silent = false;
    let silent_until = fleet.window();
    fleet.run(TimeSpan::from_secs(15));
    check_rest(&mut fleet, silent_until);
    let is_logged = |window: WindowNumber| {
        let mut events = fleet.nodes.iter().flatten().flat_map(|node| &node.events);
        events.any(|event| {
            matches!(event, UsageEvent::Missed(first, end) if (*first..*end).contains(&window))
        })
    };
    for number in silent_from.get()..silent_until.get() {
        let window = WindowNumber::new(number);
        let is_reported = fleet.platform.accepted.contains_key(&window);
        assert!(is_reported || is_logged(window), "window {window}");
    }
}

/// Guards against reports that are given up after a lost response, and against different content in
/// repeats that are carried out late and out of order, also after the holder has changed.
#[rstest]
fn late_calls_and_lost_responses(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(false, true)] requires_fencing: bool,
    #[values(false, true)] is_holder_killed: bool,
) {
    let mut fleet = calm_fleet(6, seed);
    fleet.platform.requires_fencing = requires_fencing;
    fleet.faults.lost_reports = 30;
    fleet.faults.lost_store_replies = 10;
    let first = fleet.window();
    fleet.run(TimeSpan::from_secs(20));
    if is_holder_killed && let Some(holder) = fleet.holder() {
        fleet.kill(holder);
    }
    fleet.run(TimeSpan::from_secs(20));
    let end = fleet.window();
    fleet.faults = duty_model::Faults::default();
    fleet.run(TimeSpan::from_secs(25));
    fleet.platform.check_rules(LEASE_TIME);
    let numbers = (first.get()..end.get()).map(WindowNumber::new);
    let missing: Vec<_> =
        numbers.filter(|window| !fleet.platform.accepted.contains_key(window)).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

/// Guards against calls in a tight loop, and against reports that are given up, while the platform
/// answers 429.
#[rstest]
fn limited_calls(#[values(1, 2)] seed: u64) {
    let mut fleet = calm_fleet(6, seed);
    let first = fleet.window();
    let sent = fleet.platform.sent.len();
    fleet.faults.is_limited = true;
    fleet.run(TimeSpan::from_secs(8));
    fleet.faults.is_limited = false;
    assert!(fleet.platform.sent.len() - sent < 16);
    check_rest(&mut fleet, first);
}

/// Guards against reports that are given up while the API is down for longer than they are due, and
/// sent with other counts later.
#[rstest]
fn platform_down(#[values(1, 2)] seed: u64) {
    let mut fleet = calm_fleet(6, seed);
    let first = fleet.window();
    fleet.faults.is_api_down = true;
    fleet.run(TimeSpan::from_secs(25));
    fleet.faults.is_api_down = false;
    fleet.run(TimeSpan::from_secs(25));
    for number in first.get()..first.get() + 5 {
        assert!(fleet.platform.accepted.contains_key(&WindowNumber::new(number)), "{number}");
    }
    fleet.platform.check_rules(LEASE_TIME);
}

/// Guards against wrong windows after the clock of the hub or of other VMs has stepped.
#[rstest]
fn clocks_that_step(
    #[values(1, 2)] seed: u64,
    #[values(-3_000_000, 2_000_000, 4_000_000)] micros: i64,
) {
    let mut fleet = calm_fleet(6, seed);
    let first = fleet.window();
    let holder = fleet.holder().unwrap();
    fleet.step_clock(holder, micros);
    fleet.run(TimeSpan::from_secs(7));
    fleet.step_clock((holder + 2) % 6, -micros);
    fleet.run(TimeSpan::from_secs(7));
    fleet.kill(holder);
    check_rest(&mut fleet, first);
}

/// Guards against counts that are lost with a killed entry although it had time to send them, and
/// against windows that wait for it.
#[rstest]
fn entry_killed_in_a_window(#[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = calm_fleet(6, seed);
    let first = fleet.window();
    let wait = random_millis(&mut fleet, 0..5_000);
    fleet.run(wait);
    let holder = fleet.holder().unwrap();
    fleet.kill((holder + 1) % 6);
    check_rest(&mut fleet, first);
}

/// Guards against counts that are lost since their entry could not send them for a while.
#[rstest]
fn entry_cut_off_in_a_window(#[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = calm_fleet(6, seed);
    let first = fleet.window();
    let wait = random_millis(&mut fleet, 0..5_000);
    fleet.run(wait);
    let holder = fleet.holder().unwrap();
    fleet.cut.insert((holder + 1) % 6);
    fleet.run(TimeSpan::from_millis(2_200));
    fleet.cut.clear();
    check_rest(&mut fleet, first);
}

/// Guards against counts that are lost with single datagrams.
#[rstest]
fn lost_datagrams(#[values(6, 68)] entries: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = calm_fleet(entries, seed);
    let first = fleet.window();
    fleet.faults.lost_datagrams = 20;
    fleet.run(TimeSpan::from_secs(15));
    check_rest(&mut fleet, first);
}

/// Guards against a window that is missed, or reported with other counts, after a write that was
/// executed at once or later, but not confirmed.
#[rstest]
fn unconfirmed_write(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut fleet = calm_fleet(6, seed);
    let first = fleet.window();
    let until_end = fleet.end(first).since(fleet.time);
    fleet.run(until_end);
    fleet.faults.lost_usage_replies = 100;
    fleet.run(TimeSpan::from_secs(1));
    fleet.faults.lost_usage_replies = 0;
    check_rest(&mut fleet, first);
}
