//! The use of one organisation stays within its limit in every window.

use gentian_core::{MonoTime, TimeSpan, TokenCount};
use gentian_decide::serving::{FleetPartition, QuotaLimit, QuotaLimiter, QuotaOutcome};

const START: MonoTime = MonoTime::from_millis(100_000);
const WINDOW: TimeSpan = TimeSpan::from_secs(8);
const COST: TokenCount = TokenCount::new(100);
const LIMIT: QuotaLimit =
    QuotaLimit { nominal: 10_000.0, tolerance: 0.0, window: WINDOW, rate: 1_000.0, burst: 2_000.0 };
const WHOLE: FleetPartition = FleetPartition { reachable: 4, total: 4 };

fn limiter(partition: FleetPartition, now: MonoTime) -> QuotaLimiter {
    let mut limiter = QuotaLimiter::new(partition, now);
    limiter.update(LIMIT, now);
    limiter
}

/// Charges requests until the limiter refuses one; returns the tokens charged.
fn charge_all(limiter: &mut QuotaLimiter, now: MonoTime) -> u64 {
    let mut tokens = 0;
    while limiter.charge(COST, now) == QuotaOutcome::Charged {
        tokens += COST.get();
    }
    tokens
}

/// Nothing is known of the use before the process started.
#[test]
fn a_new_limiter_assumes_that_everything_was_used() {
    let mut limiter = limiter(WHOLE, START);
    assert_eq!(charge_all(&mut limiter, START), 0);
}

#[test]
fn a_limiter_of_a_new_organisation_assumes_that_the_rate_was_used() {
    let mut limiter = QuotaLimiter::new(WHOLE, START).with_past_within_rate();
    limiter.update(LIMIT, START);
    assert_eq!(charge_all(&mut limiter, START), 2_000);
}

#[test]
fn no_window_exceeds_the_limit() {
    let mut limiter = limiter(WHOLE, START);
    let mut spent = Vec::new();
    for step in 0..400 {
        let now = START + TimeSpan::from_millis(100) * step;
        spent.push((now, charge_all(&mut limiter, now)));
    }
    for (start, _) in &spent {
        let within = spent.iter().filter(|(time, _)| time >= start && time.since(*start) < WINDOW);
        let sum: u64 = within.map(|(_, tokens)| tokens).sum();
        assert!(sum <= 10_000, "{sum} tokens from {start:?}");
    }
}

/// Reports are older in a large fleet, so more of the tolerance is left for unreported use.
#[test]
fn a_large_fleet_uses_less_of_the_tolerance() {
    let limit = QuotaLimit { tolerance: 1_000.0, ..LIMIT };
    let large = FleetPartition { reachable: 90, total: 90 };
    assert!(limit.max_use(large) <= 10_300.0 && limit.max_use(large) > 10_000.0);
    assert!(limit.max_use(WHOLE) > limit.max_use(large));
    assert!(limit.max_use(FleetPartition { reachable: 3, total: 4 }) <= 10_300.0);
}

/// Other entries continue to spend while no reports arrive from them.
#[test]
fn remote_use_is_assumed_during_a_gap_in_reports() {
    let mut limiter = limiter(WHOLE, START);
    let later = START + TimeSpan::from_secs(20);
    limiter.record_remote_use(0, later - TimeSpan::from_secs(4));
    limiter.assume_remote_use(later);
    // Of 10,000 tokens, three of four entries are assumed to use 3,000 in four seconds and 375 of
    // their burst. A request has 100 tokens.
    assert_eq!(charge_all(&mut limiter, later), 6_600);
}

/// Reports are old on arrival, and the other entries continue to spend meanwhile.
#[test]
fn unreported_use_is_estimated() {
    let mut limiter = limiter(WHOLE, START);
    let mut now = START + TimeSpan::from_secs(20);
    limiter.record_remote_use(0, now);
    for _ in 0..20 {
        now = now + TimeSpan::from_millis(200);
        limiter.record_remote_use(200, now);
    }
    // 4,000 tokens are reported, and about 200 more are spent but not yet reported.
    let left = charge_all(&mut limiter, now);
    assert!((5_700..=5_850).contains(&left), "{left}");
}

#[test]
fn partitions_of_a_divided_fleet_keep_the_rate_together() {
    let mut partitions =
        [1, 3].map(|reachable| limiter(FleetPartition { reachable, total: 4 }, START));
    let span = TimeSpan::from_secs(20);
    let mut sum = 0;
    for step in 0..200 {
        let now = START + TimeSpan::from_millis(100) * step;
        sum += partitions.iter_mut().map(|limiter| charge_all(limiter, now)).sum::<u64>();
    }
    let max_spent = LIMIT.rate * span.as_secs_f64() + LIMIT.burst;
    assert!(sum as f64 <= max_spent, "{sum} of {max_spent}");
}
