//! A short run of the soak with a fixed seed; seeds that once failed belong here too.

#![allow(clippy::unwrap_used)]

mod clean_run;

use clean_run::{run_clean, settings};
use rstest::rstest;

#[rstest]
#[case::short_run(1)]
fn guarantees_hold_under_faults(#[case] seed: u64) {
    run_clean(&settings(seed).with_seconds(8).with_crash_percent(2));
}
