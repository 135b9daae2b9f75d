//! What entries share by parts keeps its bound over the whole fleet: second sends, and requests to
//! cold upstreams.

#![allow(clippy::unwrap_used)]

mod engine_fleet;

use gentian_core::{MonoTime, TimeSpan};
use gentian_decide::serving::{ColdLimiter, SharedRetryBudget};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const START: MonoTime = MonoTime::from_millis(1_000_000);

fn within(times: &[MonoTime], span: TimeSpan) -> usize {
    let count = |start: &MonoTime| {
        let counted = times.iter().filter(|time| **time >= *start && time.since(*start) < span);
        counted.count()
    };
    times.iter().map(count).max().unwrap_or(0)
}

/// Every request fails at first, at a rate that rises and falls, at entries of unequal load.
#[rstest]
fn second_sends_stay_within_the_budget(
    #[values(1, 2)] seed: u64,
    #[values(1, 9, 90)] entries: u32,
) {
    let bounds = engine_fleet::bounds();
    let mut random = SmallRng::seed_from_u64(seed);
    let mut budgets = vec![SharedRetryBudget::new(); entries as usize];
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for step in 0..4_000_u64 {
        let now = START + TimeSpan::from_millis(10) * step;
        let calls = if (step / 700).is_multiple_of(2) { 1 } else { 4 };
        for _ in 0..calls {
            let place = random.random_range(0..entries).min(random.random_range(0..entries));
            let budget = &mut budgets[place as usize];
            budget.record_request(now);
            requests.push(now);
            if budget.acquire_retry(&bounds, entries, now) {
                repeats.push(now);
            }
        }
    }
    assert!(!repeats.is_empty());
    for start in (0..30_000).step_by(250).map(|millis| START + TimeSpan::from_millis(millis)) {
        let count = |times: &[MonoTime]| {
            let end = start + bounds.budget_window;
            times.iter().filter(|time| **time >= start && **time < end).count() as f64
        };
        let before = START.max(start - bounds.budget_window);
        let earlier = requests.iter().filter(|time| **time >= before && **time < start).count();
        let asked = count(&requests).max(earlier as f64);
        let most = bounds.budget_ratio * asked + bounds.budget_extra;
        assert!(count(&repeats) <= most, "{} of {most}", count(&repeats));
    }
}

/// All entries want to send to one cold upstream at once; links delay what they send differently.
#[rstest]
fn a_cold_upstream_gets_what_it_bears(
    #[values(1, 2)] seed: u64,
    #[values(1, 6, 9, 90)] entries: u32,
    #[values(7.5, 40.0)] rate: f64,
) {
    let bounds = engine_fleet::bounds();
    let mut random = SmallRng::seed_from_u64(seed);
    let mut gates = vec![ColdLimiter::default(); entries as usize];
    let mut arrived = Vec::new();
    for step in 0..1_000_u64 {
        let now = START + TimeSpan::from_millis(5) * step;
        for rank in 0..entries {
            let gate = &mut gates[rank as usize];
            if gate.has_capacity(&bounds, rate, (rank, entries), 77, now) {
                gate.record_sent(now);
                arrived.push(now + TimeSpan::from_millis(random.random_range(1..100)));
            }
        }
    }
    let most = rate * bounds.cold_overshoot + bounds.cold_slack;
    let seen = within(&arrived, TimeSpan::from_secs(1));
    assert!(seen > 0 && seen as f64 <= most, "{seen} of {most}");
}
