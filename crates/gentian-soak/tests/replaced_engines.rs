//! Engines that are replaced by ones of another version, which writes other texts, while streams break
//! off and are taken up.

#![allow(clippy::unwrap_used)]

mod clean_run;

use clean_run::{run_clean, settings};
use gentian_core::TimeSpan;
use gentian_soak::FaultPlan;
use rstest::rstest;

/// Entries end, single ones and all at once, while two versions serve or the old one has just left.
#[rstest]
#[case(191)]
#[case(192)]
fn streams_joined_the_texts_of_two_versions(#[case] seed: u64) {
    run_clean(
        &settings(seed)
            .with_seconds(14)
            .with_fault_plan(FaultPlan::ReplacedEngines)
            .with_size(3, 16)
            .with_models(2)
            .with_event_time(TimeSpan::from_millis(80)),
    );
}
