//! Reports of usage: one failure each.

#![allow(clippy::unwrap_used)]

mod duty_model;

use duty_model::{DutyFleet, LEASE_TIME};
use gentian_core::TimeSpan;
use rstest::rstest;

/// Guards against windows without a report, late or wrong ones, on a day without failures, with clocks
/// of day that differ by up to a second and one that is wrong by a minute.
#[rstest]
fn calm_fleet_reports_every_window(
    #[values(1, 6, 68, 370)] entries: usize,
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = DutyFleet::new(entries, seed);
    for number in 0..entries {
        fleet.step_clock(number, (number as i64 % 3 - 1) * 800_000 * i64::from(entries > 2));
    }
    if entries > 2 {
        fleet.step_clock(1, 60_000_000);
    }
    fleet.run(TimeSpan::from_secs(14));
    let first = fleet.window();
    fleet.run(TimeSpan::from_secs(45));
    let end = fleet.window_at(fleet.time - TimeSpan::from_secs(10));
    assert!(end.get() - first.get() >= 6);
    fleet.check_windows(first, end);
    fleet.platform.check_rules(LEASE_TIME);
}
