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

/// Single engines end while two versions serve; the entries go on with their streams.
#[rstest]
#[case(311)]
#[case(312)]
fn a_stream_went_on_at_another_version_within_one_answer(#[case] seed: u64) {
    run_clean(
        &settings(seed)
            .with_seconds(14)
            .with_fault_plan(FaultPlan::CrashedEngines)
            .with_size(3, 16)
            .with_models(2)
            .with_event_time(TimeSpan::from_millis(80)),
    );
}

/// An entry stands still while engines of the next version join; callers of the others take up there.
#[rstest]
#[case(321)]
#[case(322)]
fn an_entry_that_had_stood_still_joined_the_texts_of_two_versions(#[case] seed: u64) {
    run_clean(
        &settings(seed)
            .with_seconds(18)
            .with_fault_plan(FaultPlan::PausedEntries)
            .with_size(3, 24)
            .with_models(2)
            .with_event_time(TimeSpan::from_millis(80)),
    );
}

/// Engines crash and are back at once under their names as another version; entries whose list showed
/// the earlier one went on with streams there.
#[rstest]
#[case(331)]
#[case(332)]
fn streams_went_on_at_engines_that_came_back_as_another_version(#[case] seed: u64) {
    run_clean(
        &settings(seed)
            .with_seconds(14)
            .with_fault_plan(FaultPlan::ReturnedEngines)
            .with_crash_percent(0)
            .with_crash_request_percent(0)
            .with_size(3, 16)
            .with_models(2)
            .with_event_time(TimeSpan::from_millis(80)),
    );
}
