//! Upstreams that name a limit of requests for all entries together.

#![allow(clippy::unwrap_used)]

mod clean_run;

use clean_run::{run_clean, settings};
use gentian_core::RequestRate;
use rstest::rstest;

/// More is called than the limits allow; the entries must share them, and use them.
#[rstest]
#[case::one_a_second(1_000, 3, 186)]
#[case::four_a_second(4_000, 6, 187)]
fn upstreams_got_more_requests_than_the_limit_they_named(
    #[case] limit_millis: u64,
    #[case] entries: usize,
    #[case] seed: u64,
) {
    let limit = RequestRate::from_millis(limit_millis);
    run_clean(&settings(seed).with_size(entries, 12).with_request_limit(limit));
}
