//! Copies of models are added as their use grows, and move when the use moves to other models.

#![allow(clippy::unwrap_used)]

mod engine_fleet;

use engine_fleet::{EngineFleet, KindCount, RequestKind};
use gentian_core::TimeSpan;
use rstest::rstest;

const ENGINES: usize = 24;
const MODELS: usize = 80;
const DISK_MODELS: usize = 12;
/// Models that are busy in some phase. The others are requested rarely.
const BUSY_MODELS: usize = 12;
/// Models that are busy in one phase.
const BUSY_AT_ONCE: usize = 5;

/// Returns three kinds of requests: chats and short plans for the busy models from `first` on, and
/// plans for rarely used models.
fn demand(first: usize) -> Vec<RequestKind> {
    let busy =
        (0..BUSY_AT_ONCE).map(|at| ((first + at) % BUSY_MODELS, ((at + 1) as f64).powf(-0.4)));
    let busy: Vec<(usize, f64)> = busy.collect();
    let rare = (BUSY_MODELS..MODELS).map(|number| (number, 1.0)).collect();
    let seconds = TimeSpan::from_secs;
    vec![
        RequestKind {
            rate: 19.0,
            tokens: (800.0, 290.0),
            target_latency: TimeSpan::from_millis(500),
            deadline: seconds(15),
            adapters: (0.5, 9),
            models: busy.clone(),
        },
        RequestKind {
            rate: 17.0,
            tokens: (5_000.0, 54.0),
            target_latency: TimeSpan::from_millis(800),
            deadline: seconds(5),
            adapters: (0.1, 9),
            models: busy,
        },
        RequestKind {
            rate: 7.4,
            tokens: (7_000.0, 54.0),
            target_latency: seconds(3),
            deadline: seconds(20),
            adapters: (0.0, 1),
            models: rare,
        },
    ]
}

fn run_phases(seed: u64, shift_every: u64) -> (EngineFleet, Vec<KindCount>) {
    let mut fleet = EngineFleet::new(seed, ENGINES, MODELS, DISK_MODELS);
    fleet.run(&demand(0), TimeSpan::from_secs(10));
    fleet.reset_counts();
    for shift in 0..(40 / shift_every) {
        fleet.run(&demand(shift as usize), TimeSpan::from_secs(shift_every));
    }
    let counts = fleet.counts.clone();
    (fleet, counts)
}

fn on_time_fraction(count: KindCount) -> f64 {
    f64::from(count.on_time) / f64::from(count.asked.max(1))
}

#[rstest]
#[case::steady(1, 40)]
#[case::steady(2, 40)]
#[case::moving(3, 8)]
#[case::moving(4, 8)]
fn requests_are_on_time_while_the_fleet_has_capacity(#[case] seed: u64, #[case] shift_every: u64) {
    let (fleet, counts) = run_phases(seed, shift_every);
    let fractions: Vec<f64> = counts.iter().map(|count| on_time_fraction(*count)).collect();
    let copies: Vec<usize> = (0..BUSY_MODELS).map(|number| fleet.copies(number)).collect();
    println!(
        "{fractions:.3?} fullest={} store={} copies={copies:?} {counts:?}",
        fleet.max_engine_requests, fleet.store_loads
    );
    assert!(fractions.iter().all(|fraction| *fraction > 0.95), "{fractions:?}");
}

#[test]
fn burst_for_one_model_does_not_delay_the_others() {
    let mut fleet = EngineFleet::new(5, ENGINES, MODELS, DISK_MODELS);
    fleet.run(&demand(0), TimeSpan::from_secs(5));
    fleet.reset_counts();
    let mut kinds = demand(0);
    kinds.push(RequestKind { rate: 60.0, models: vec![(7, 1.0)], ..kinds[1].clone() });
    fleet.run(&kinds, TimeSpan::from_secs(15));
    let fractions: Vec<f64> = fleet.counts.iter().map(|count| on_time_fraction(*count)).collect();
    println!("{fractions:.3?} {:?} copies={}", fleet.counts, fleet.copies(7));
    assert!(fractions[..3].iter().all(|fraction| *fraction > 0.9), "{fractions:?}");
    // With this seed, four engines have the model's weights on disk and prefill 32 such prompts a
    // second. Loads from the weight store add to their capacity.
    assert!(fractions[3] > 0.4, "{fractions:?}");
}

#[test]
fn busy_adapter_is_loaded_with_each_copy_that_has_memory() {
    let mut fleet = EngineFleet::new(6, ENGINES, MODELS, DISK_MODELS);
    fleet.run(&demand(0), TimeSpan::from_secs(5));
    fleet.reset_counts();
    let mut kinds = demand(0);
    kinds.push(RequestKind {
        rate: 90.0,
        adapters: (1.0, 1),
        models: vec![(7, 1.0)],
        ..kinds[0].clone()
    });
    fleet.run(&kinds, TimeSpan::from_secs(10));
    fleet.reset_counts();
    fleet.run(&kinds, TimeSpan::from_secs(10));
    let fractions: Vec<f64> = fleet.counts.iter().map(|count| on_time_fraction(*count)).collect();
    println!("{fractions:.3?} {:?} copies={}", fleet.counts, fleet.copies(7));
    assert!(fractions.iter().all(|fraction| *fraction > 0.9), "{fractions:?}");
}
