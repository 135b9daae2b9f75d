//! The use of an organisation stays within its limit in every window.

use gentian_core::{MonoTime, TimeSpan, TokenCount};
use gentian_decide::serving::{FleetPartition, QuotaLimit, QuotaLimiter, QuotaOutcome};

const START: MonoTime = MonoTime::from_millis(100_000);
const WINDOW: TimeSpan = TimeSpan::from_secs(8);
const COST: TokenCount = TokenCount::new(100);
const LIMIT: QuotaLimit =
    QuotaLimit { nominal: 10_000.0, tolerance: 0.0, window: WINDOW, rate: 1_000.0, burst: 2_000.0 };
const WHOLE: FleetPartition = FleetPartition { reachable: 4, total: 4 };

fn gate(part: FleetPartition, now: MonoTime) -> QuotaLimiter {
    let mut gate = QuotaLimiter::new(part, now);
    gate.update(LIMIT, now);
    gate
}

/// Charges as often as the gate allows; returns the tokens.
fn charge_all(gate: &mut QuotaLimiter, now: MonoTime) -> u64 {
    let mut tokens = 0;
    while gate.charge(COST, now) == QuotaOutcome::Charged {
        tokens += COST.get();
    }
    tokens
}

#[test]
fn a_start_presumes_that_the_rate_was_used() {
    let mut gate = gate(WHOLE, START);
    assert_eq!(charge_all(&mut gate, START), 2_000);
}

#[test]
fn no_window_exceeds_the_limit() {
    let mut gate = gate(WHOLE, START);
    let mut spent = Vec::new();
    for step in 0..400 {
        let now = START + TimeSpan::from_millis(100) * step;
        spent.push((now, charge_all(&mut gate, now)));
    }
    for (start, _) in &spent {
        let within = spent.iter().filter(|(time, _)| time >= start && time.since(*start) < WINDOW);
        let sum: u64 = within.map(|(_, tokens)| tokens).sum();
        assert!(sum <= 10_000, "{sum} tokens from {start:?}");
    }
}

/// In a large fleet counts are old, so more of the allowed excess is left for what is not told yet.
#[test]
fn a_large_fleet_uses_less_of_the_excess() {
    let limit = QuotaLimit { tolerance: 1_000.0, ..LIMIT };
    let large = FleetPartition { reachable: 90, total: 90 };
    assert!(limit.max_use(large) <= 10_300.0 && limit.max_use(large) > 10_000.0);
    assert!(limit.max_use(WHOLE) > limit.max_use(large));
    assert!(limit.max_use(FleetPartition { reachable: 3, total: 4 }) <= 10_300.0);
}

/// Others went on spending while their counts did not come.
#[test]
fn a_gap_counts_as_used_by_the_others() {
    let mut gate = gate(WHOLE, START);
    let later = START + TimeSpan::from_secs(20);
    gate.record_remote_use(0, later - TimeSpan::from_secs(4));
    gate.assume_remote_use(later);
    // Of 10,000: three of four entries used 3,000 in four seconds, and 375 of their burst; in
    // requests of 100 tokens.
    assert_eq!(charge_all(&mut gate, later), 6_600);
}

/// Counts of others are old when they come: what they spend goes on meanwhile.
#[test]
fn use_that_is_not_told_yet_is_counted() {
    let mut gate = gate(WHOLE, START);
    let mut now = START + TimeSpan::from_secs(20);
    gate.record_remote_use(0, now);
    for _ in 0..20 {
        now = now + TimeSpan::from_millis(200);
        gate.record_remote_use(200, now);
    }
    // 4,000 are told of, and about 200 more are on their way.
    let left = charge_all(&mut gate, now);
    assert!((5_700..=5_850).contains(&left), "{left}");
}

#[test]
fn the_parts_of_a_divided_fleet_keep_the_rate_together() {
    let mut parts = [1, 3].map(|reachable| gate(FleetPartition { reachable, total: 4 }, START));
    let span = TimeSpan::from_secs(20);
    let mut sum = 0;
    for step in 0..200 {
        let now = START + TimeSpan::from_millis(100) * step;
        sum += parts.iter_mut().map(|gate| charge_all(gate, now)).sum::<u64>();
    }
    let most = LIMIT.rate * span.as_secs_f64() + LIMIT.burst;
    assert!(sum as f64 <= most, "{sum} of {most}");
}
