//! Replicas that write a refusal once more with the next request on the connection.

#![allow(clippy::unwrap_used)]

mod clean_run;

use clean_run::{run_clean, settings};
use rstest::rstest;

#[rstest]
#[case::of_another_attempt("repeated-refusal", 1, 195)]
#[case::without_an_id("repeated-bare-refusal", 12, 196)]
fn a_repeated_refusal_was_taken_for_the_answer_to_another_request(
    #[case] fault: &str,
    #[case] callers: usize,
    #[case] seed: u64,
) {
    run_clean(&settings(seed).with_size(1, callers).with_answer_fault(fault));
}
