//! Limits that the entries divide among themselves hold for all entries together: the budget of
//! retries, and the rate of requests to a cold upstream.

#![allow(clippy::unwrap_used)]

mod engine_fleet;

use gentian_core::{MonoTime, TimeSpan};
use gentian_decide::serving::{ColdLimiter, SharedRetryBudget};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const START: MonoTime = MonoTime::from_millis(1_000_000);

fn max_in_window(times: &[MonoTime], span: TimeSpan) -> usize {
    let count = |start: &MonoTime| {
        let counted = times.iter().filter(|time| **time >= *start && time.since(*start) < span);
        counted.count()
    };
    times.iter().map(count).max().unwrap_or(0)
}

/// Every request fails at the first attempt. The request rate alternates between two values, and the
/// requests are distributed unevenly over the entries.
#[rstest]
fn retries_stay_within_the_budget(#[values(1, 2)] seed: u64, #[values(1, 9, 90)] entries: u32) {
    let bounds = engine_fleet::bounds();
    let mut random = SmallRng::seed_from_u64(seed);
    let mut budgets = vec![SharedRetryBudget::new(); entries as usize];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for step in 0..4_000_u64 {
        let now = START + TimeSpan::from_millis(10) * step;
        let calls = if (step / 700).is_multiple_of(2) { 1 } else { 4 };
        for _ in 0..calls {
            let entry_index = random.random_range(0..entries).min(random.random_range(0..entries));
            let budget = &mut budgets[entry_index as usize];
            budget.record_first_attempt(now);
            requests.push(now);
            if budget.acquire_retry(&bounds, entries, now) {
                retries.push(now);
            }
        }
    }
    assert!(!retries.is_empty());
    for start in (0..30_000).step_by(250).map(|millis| START + TimeSpan::from_millis(millis)) {
        let count = |times: &[MonoTime]| {
            let end = start + bounds.retry_window;
            times.iter().filter(|time| **time >= start && **time < end).count() as f64
        };
        let before = START.max(start - bounds.retry_window);
        let earlier = requests.iter().filter(|time| **time >= before && **time < start).count();
        let request_count = count(&requests).max(earlier as f64);
        let max_count = bounds.retry_ratio * request_count + bounds.extra_retries;
        assert!(count(&retries) <= max_count, "{} of {max_count}", count(&retries));
    }
}

/// All entries have requests for one cold upstream at the same time, and each request arrives after a
/// different delay.
#[rstest]
fn cold_upstream_gets_no_more_than_it_can_take(
    #[values(1, 2)] seed: u64,
    #[values(1, 6, 9, 90)] entries: u32,
    #[values(7.5, 40.0)] rate: f64,
) {
    let bounds = engine_fleet::bounds();
    let mut random = SmallRng::seed_from_u64(seed);
    let mut limiters = vec![ColdLimiter::default(); entries as usize];
    let mut arrived = Vec::new();
    for step in 0..1_000_u64 {
        let now = START + TimeSpan::from_millis(5) * step;
        for entry_index in 0..entries {
            let limiter = &mut limiters[entry_index as usize];
            if limiter.has_capacity(&bounds, rate, (entry_index, entries), 77, now) {
                limiter.record_sent(now);
                arrived.push(now + TimeSpan::from_millis(random.random_range(1..100)));
            }
        }
    }
    let max_count = rate * bounds.cold_rate_factor + bounds.cold_slack;
    let seen = max_in_window(&arrived, TimeSpan::from_secs(1));
    assert!(seen > 0 && seen as f64 <= max_count, "{seen} of {max_count}");
}
