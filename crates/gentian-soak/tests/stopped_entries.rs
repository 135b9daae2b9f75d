//! Entries that are stopped while callers keep connections open.

#![allow(clippy::unwrap_used)]

mod clean_run;

use clean_run::{run_clean, settings};
use gentian_soak::FaultPlan;
use rstest::rstest;

#[rstest]
#[case(195)]
fn a_stopping_entry_accepted_calls_that_could_not_end_in_the_grace_time(#[case] seed: u64) {
    let stops = settings(seed).with_seconds(12).with_fault_plan(FaultPlan::StoppedEntries);
    run_clean(&stops.with_idle_callers(120));
}
