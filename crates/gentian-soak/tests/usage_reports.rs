//! Reports of usage by real processes to a stand-in of the platform's API.

#![allow(clippy::unwrap_used)]

mod clean_run;

use clean_run::{run_clean, settings};
use gentian_soak::FaultPlan;
use rstest::rstest;

/// Guards against windows that are missing, late or wrong on a calm day.
#[rstest]
#[case(271)]
fn usage_of_a_calm_fleet(#[case] seed: u64) {
    run_clean(&settings(seed).with_duties());
}

/// Guards against windows with two contents and tokens of two VMs after faults.
#[rstest]
#[case(272, FaultPlan::Random)]
#[case(273, FaultPlan::RestoredStore)]
#[case(274, FaultPlan::StoppedEntries)]
fn usage_under_faults(#[case] seed: u64, #[case] plan: FaultPlan) {
    run_clean(&settings(seed).with_seconds(12).with_fault_plan(plan).with_duties());
}
