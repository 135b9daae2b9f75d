//! Replays of loads that were seen on the users' platform: many models on few places, and a weight
//! store that serves two loads at full speed. Each prints what became of the requests, by kind.

#![allow(clippy::unwrap_used)]

mod engine_fleet;

use engine_fleet::{EngineFleet, KindCount, RequestKind};
use gentian_core::TimeSpan;
use rstest::rstest;

const ENGINES: usize = 60;
const MODELS: usize = 210;
const DISK_MODELS: usize = 12;
/// Models that are loaded on one engine each at the start.
const LOADED_MODELS: usize = 180;
/// Tokens of a prompt, and those of them that all prompts of a model share.
const PROMPT_TOKENS: f64 = 9_000.0;
const SHARED_TOKENS: f64 = 6_000.0;

fn fleet(seed: u64) -> EngineFleet {
    EngineFleet::new(seed, ENGINES, MODELS, DISK_MODELS)
        .with_store_concurrency(2)
        .with_shared_tokens(SHARED_TOKENS)
}

fn requests(rate: f64, models: Vec<(usize, f64)>) -> RequestKind {
    RequestKind {
        rate,
        tokens: (PROMPT_TOKENS, 350.0),
        target_latency: TimeSpan::from_millis(1_200),
        deadline: TimeSpan::from_secs(12),
        adapters: (0.0, 1),
        models,
    }
}

/// Returns requests for one busy model, for the next two by use, and for all other loaded models.
fn calm_day(busy: usize) -> Vec<RequestKind> {
    let others = (0..LOADED_MODELS).filter(|number| *number < busy || *number > busy + 2);
    vec![
        requests(13.0, vec![(busy, 1.0)]),
        requests(9.0, vec![(busy + 1, 1.0), (busy + 2, 1.0)]),
        requests(30.0, others.map(|number| (number, 1.0)).collect()),
    ]
}

fn on_time(count: KindCount) -> f64 {
    f64::from(count.on_time) / f64::from(count.asked.max(1))
}

fn print_outcome(name: &str, fleet: &EngineFleet) {
    for (kind, count) in fleet.counts.iter().enumerate() {
        println!(
            "{name}: kind {kind} asked {} served {} on time {} late {} refused {}",
            count.asked,
            count.on_time + count.late,
            count.on_time,
            count.late,
            count.refused
        );
    }
    println!("{name}: {} loads from the store, orders {:?}", fleet.store_loads, fleet.orders);
}

/// The copy of the busiest model was saturated from start to end of the traffic; the second one was
/// ordered 23 s after the start and came too late.
#[rstest]
#[case::no_other_copy(1, 0)]
#[case::no_other_copy(2, 0)]
#[case::copies_on_disks(3, 3)]
fn a_busy_model_has_further_copies_before_the_first_is_full(
    #[case] seed: u64,
    #[case] disk_copies: usize,
) {
    let busy = 4;
    let mut fleet = fleet(seed).with_disk_copies(busy, disk_copies);
    fleet.run(&[], TimeSpan::from_secs(14));
    let start = fleet.elapsed();
    fleet.run(&calm_day(busy), TimeSpan::from_secs(30));
    print_outcome("busy model", &fleet);
    let ordered: Vec<TimeSpan> =
        fleet.loads_of(busy).iter().map(|load| load.time.saturating_sub(start)).collect();
    println!("busy model: ordered after {ordered:?}, copies {}", fleet.copies(busy));
    assert!(
        ordered.first().is_some_and(|time| *time < TimeSpan::from_millis(2_000)),
        "{ordered:?}"
    );
    assert!(on_time(fleet.counts[0]) > 0.6, "{:?}", fleet.counts[0]);
}

/// A load that needs the memory of two models was preceded by an unload after which the engine and a
/// place of the weight store stayed reserved for as long as a load from the weight store takes.
#[rstest]
#[case(11)]
#[case(12)]
fn a_copy_is_not_delayed_where_adapters_take_memory(#[case] seed: u64) {
    let busy = 4;
    let mut fleet = fleet(seed).with_disk_copies(busy, 0).with_adapter_bytes(MODELS, 4);
    let with_adapters = |kind: RequestKind, rate| RequestKind { rate, adapters: (0.6, 4), ..kind };
    let [first, second, others]: [RequestKind; 3] = calm_day(busy).try_into().unwrap();
    let calm = |rate| {
        let kinds = [(first.clone(), rate), (second.clone(), 9.0), (others.clone(), 30.0)];
        kinds.map(|(kind, rate)| with_adapters(kind, rate))
    };
    fleet.run(&calm(0.2), TimeSpan::from_secs(12));
    fleet.reset_counts();
    let start = fleet.elapsed();
    fleet.run(&calm(13.0), TimeSpan::from_secs(25));
    print_outcome("adapters", &fleet);
    let loads: Vec<TimeSpan> = fleet.loads_of(busy).iter().map(|load| load.time).collect();
    let ordered: Vec<TimeSpan> = loads
        .into_iter()
        .filter(|time| *time >= start)
        .map(|time| time.saturating_sub(start))
        .collect();
    println!("adapters: ordered after {ordered:?}, copies {}", fleet.copies(busy));
    assert!(
        ordered.first().is_some_and(|time| *time < TimeSpan::from_millis(2_000)),
        "{ordered:?}"
    );
    assert!(on_time(fleet.counts[0]) > 0.6, "{:?}", fleet.counts[0]);
}
