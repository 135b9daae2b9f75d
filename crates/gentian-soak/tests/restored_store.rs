//! A store that comes back from a copy and gives out its revisions again.

#![allow(clippy::unwrap_used)]

mod clean_run;

use clean_run::{run_clean, settings};
use gentian_soak::FaultPlan;
use rstest::rstest;

#[rstest]
#[case(193)]
#[case(194)]
fn entries_sent_to_leaving_upstreams_after_the_store_was_restored(#[case] seed: u64) {
    run_clean(&settings(seed).with_seconds(12).with_fault_plan(FaultPlan::RestoredStore));
}
