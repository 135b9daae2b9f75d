//! A store that accepts calls and never answers them, then works again.

#![allow(clippy::unwrap_used)]

mod clean_run;

use clean_run::{run_clean, settings};
use gentian_soak::FaultPlan;
use rstest::rstest;

#[rstest]
#[case(191)]
#[case(192)]
fn a_change_came_late_after_the_store_had_been_silent(#[case] seed: u64) {
    run_clean(&settings(seed).with_seconds(8).with_fault_plan(FaultPlan::SilentStore));
}
