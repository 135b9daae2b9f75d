//! Copies of models in use spread over the fleet as their use grows, and follow it when it moves.

#![allow(clippy::unwrap_used)]

mod engine_fleet;

use engine_fleet::{EngineFleet, KindCount, RequestKind};
use gentian_core::TimeSpan;
use rstest::rstest;

const ENGINES: usize = 24;
const MODELS: usize = 80;
const DISK_PLACES: usize = 12;
/// Models in turn that are asked for often; the rest is asked for now and then.
const BUSY: usize = 12;
const BUSY_NOW: usize = 5;

/// Chats, short plans of busy models and plans of rare ones, while the busy models from `first` on
/// are in demand.
fn demand(first: usize) -> Vec<RequestKind> {
    let busy = (0..BUSY_NOW).map(|at| ((first + at) % BUSY, ((at + 1) as f64).powf(-0.4)));
    let busy: Vec<(usize, f64)> = busy.collect();
    let rare = (BUSY..MODELS).map(|number| (number, 1.0)).collect();
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

fn play_day(seed: u64, shift_every: u64) -> (EngineFleet, Vec<KindCount>) {
    let mut fleet = EngineFleet::new(seed, ENGINES, MODELS, DISK_PLACES);
    fleet.run(&demand(0), TimeSpan::from_secs(10));
    fleet.reset_counts();
    for shift in 0..(40 / shift_every) {
        fleet.run(&demand(shift as usize), TimeSpan::from_secs(shift_every));
    }
    let counts = fleet.counts.clone();
    (fleet, counts)
}

fn share(count: KindCount) -> f64 {
    f64::from(count.on_time) / f64::from(count.asked.max(1))
}

#[rstest]
#[case::steady(1, 40)]
#[case::steady(2, 40)]
#[case::moving(3, 8)]
#[case::moving(4, 8)]
fn requests_are_on_time_where_the_fleet_has_room(#[case] seed: u64, #[case] shift_every: u64) {
    let (fleet, counts) = play_day(seed, shift_every);
    let shares: Vec<f64> = counts.iter().map(|count| share(*count)).collect();
    let copies: Vec<usize> = (0..BUSY).map(|number| fleet.copies(number)).collect();
    println!(
        "{shares:.3?} fullest={} store={} copies={copies:?} {counts:?}",
        fleet.max_engine_requests, fleet.store_loads
    );
    assert!(shares.iter().all(|share| *share > 0.95), "{shares:?}");
}

#[test]
fn a_burst_for_one_model_leaves_its_neighbours_alone() {
    let mut fleet = EngineFleet::new(5, ENGINES, MODELS, DISK_PLACES);
    fleet.run(&demand(0), TimeSpan::from_secs(5));
    fleet.reset_counts();
    let mut kinds = demand(0);
    kinds.push(RequestKind { rate: 60.0, models: vec![(7, 1.0)], ..kinds[1].clone() });
    fleet.run(&kinds, TimeSpan::from_secs(15));
    let shares: Vec<f64> = fleet.counts.iter().map(|count| share(*count)).collect();
    println!("{shares:.3?} {:?} copies={}", fleet.counts, fleet.copies(7));
    assert!(shares[..3].iter().all(|share| *share > 0.9), "{shares:?}");
    // Four engines have its weights on disk and read 32 such prompts a second; the store brings more.
    assert!(shares[3] > 0.4, "{shares:?}");
}

#[test]
fn an_adapter_in_much_use_is_loaded_beside_each_copy_that_has_room() {
    let mut fleet = EngineFleet::new(6, ENGINES, MODELS, DISK_PLACES);
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
    let shares: Vec<f64> = fleet.counts.iter().map(|count| share(*count)).collect();
    println!("{shares:.3?} {:?} copies={}", fleet.counts, fleet.copies(7));
    assert!(shares.iter().all(|share| *share > 0.9), "{shares:?}");
}
