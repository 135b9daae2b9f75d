//! Use of an organisation's quota before and after all entries start anew.

#![allow(clippy::unwrap_used)]

use gentian_core::{MonoTime, TimeSpan, TokenCount};
use gentian_decide::serving::{FleetPartition, QuotaLimit, QuotaLimiter, QuotaOutcome};
use rstest::rstest;

const START: MonoTime = MonoTime::from_millis(1_000_000);
const TICK: TimeSpan = TimeSpan::from_millis(5);
const WINDOW: TimeSpan = TimeSpan::from_secs(8);
const COST: u64 = 5_000;

fn limit() -> QuotaLimit {
    let rate = 25_000.0;
    let nominal = rate * WINDOW.as_secs_f64() * 1.5;
    let tolerance = nominal * 0.1 + 110_000.0;
    QuotaLimit { nominal, tolerance, window: WINDOW, rate, burst: nominal / 3.0 }
}

fn started_limiter(now: MonoTime) -> QuotaLimiter {
    let mut limiter = QuotaLimiter::new(FleetPartition { reachable: 1, total: 1 }, now);
    limiter.update(limit(), now);
    limiter
}

/// An organisation asks for many times its rate from `flood_span` before all entries end until the
/// window is over. They start again two seconds after that.
#[rstest]
#[case::short_flood(1_500)]
#[case::long_flood(4_000)]
fn a_flood_before_all_entries_start_anew_stays_within_the_bound(#[case] flood_millis: u64) {
    let ended = START + TimeSpan::from_secs(20);
    let started = ended + TimeSpan::from_secs(2);
    let flood_start = ended - TimeSpan::from_millis(flood_millis);
    let mut limiter = started_limiter(START);
    let mut used = 0;
    for tick in 0..(WINDOW.as_micros() / TICK.as_micros()) {
        let now = flood_start + TICK * tick;
        if now >= ended && now < started {
            limiter = started_limiter(started);
            continue;
        }
        if limiter.charge(TokenCount::new(COST), now) == QuotaOutcome::Charged {
            used += COST;
        }
    }
    let bound = limit().nominal + limit().tolerance;
    assert!(used as f64 <= bound, "{used} of {bound:.0} tokens in one window");
}
