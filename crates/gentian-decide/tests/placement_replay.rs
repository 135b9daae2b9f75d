//! Replays of loads that were seen on the users' platform: many models on few places, and a weight
//! store that serves two loads at full speed. Each prints what became of the requests, by kind.

#![allow(clippy::unwrap_used)]

mod engine_fleet;

use std::collections::BTreeSet;

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

/// Returns the fleet with models that no engine has loaded or has on disk: all from `LOADED_MODELS` on,
/// and the busy one has no second copy on a disk either.
fn fleet_with_rare_models(seed: u64, busy: usize) -> EngineFleet {
    let rare = LOADED_MODELS..MODELS;
    rare.chain([busy]).fold(fleet(seed), |fleet, number| fleet.with_disk_copies(number, 0))
}

fn rare_requests(rate: f64) -> RequestKind {
    let rare = (LOADED_MODELS..MODELS).map(|number| (number, 1.0)).collect();
    RequestKind { deadline: TimeSpan::from_secs(24), ..requests(rate, rare) }
}

/// The second copy of a busy model waited behind rarely used models at the weight store, of which three
/// were loaded at once, each half as fast again.
#[rstest]
#[case(21)]
#[case(22)]
#[case(23)]
fn a_busy_model_and_rare_ones_share_the_weight_store(#[case] seed: u64) {
    let busy = 4;
    let mut fleet = fleet_with_rare_models(seed, busy);
    let mut kinds = calm_day(busy);
    kinds.push(rare_requests(3.0));
    fleet.run(&kinds[1..], TimeSpan::from_secs(6));
    fleet.reset_counts();
    let start = fleet.elapsed();
    fleet.run(&kinds, TimeSpan::from_secs(40));
    print_outcome("shared store", &fleet);
    let first = fleet.loads_of(busy).first().map(|load| load.time.saturating_sub(start));
    let rare_loads: usize =
        (LOADED_MODELS..MODELS).map(|number| fleet.loads_of(number).len()).sum();
    println!(
        "shared store: second copy ordered after {first:?}, {rare_loads} rare loads, {} at once",
        fleet.max_store_loads
    );
    // A place is free after one load at the latest.
    assert!(first.is_some_and(|time| time < TimeSpan::from_secs(9)), "{first:?}");
    assert!(rare_loads >= 5, "{rare_loads} loads of rare models");
    assert!(fleet.max_store_loads <= 3, "{} loads at once", fleet.max_store_loads);
}

/// A new hub started as many loads from the weight store as it may, beside those of the hub before,
/// among them further ones of the same models.
#[rstest]
#[case(31)]
#[case(32)]
fn a_hub_lost_in_the_middle_of_loads_leaves_the_store_to_them(#[case] seed: u64) {
    let busy = 4;
    let mut fleet = fleet_with_rare_models(seed, busy);
    let mut kinds = calm_day(busy);
    kinds.push(rare_requests(3.0));
    fleet.run(&kinds, TimeSpan::from_secs(3));
    fleet.replace_hub(MODELS);
    fleet.run(&kinds, TimeSpan::from_secs(5));
    println!("lost hub: {} loads at once, {} in all", fleet.max_store_loads, fleet.store_loads);
    assert!(fleet.max_store_loads <= 2, "{} loads at once", fleet.max_store_loads);
}

/// A load that failed was ordered again on the same engine, which has free memory then.
#[test]
fn a_load_that_fails_is_tried_on_another_engine() {
    let busy = 4;
    let mut fleet = fleet(41).with_disk_copies(busy, 5).with_failing_loads(busy);
    fleet.run(&calm_day(busy), TimeSpan::from_secs(8));
    let engines: Vec<&str> =
        fleet.loads_of(busy).iter().map(|load| load.upstream.as_str()).collect();
    println!("failing loads: {engines:?}");
    let different: BTreeSet<&str> = engines.iter().copied().collect();
    assert!(engines.len() >= 2 && different.len() == engines.len(), "{engines:?}");
}

/// Idle models made way without regard to what brings them back, so that some had to be fetched from the
/// weight store again.
#[rstest]
#[case(51)]
#[case(52)]
fn models_that_are_on_no_disk_make_way_last(#[case] seed: u64) {
    let busy = 4;
    // One of the three models of each engine.
    let kept = || (0..LOADED_MODELS).step_by(3);
    let mut fleet = fleet(seed).with_disk_copies(busy, 0).without_disk_copies(kept());
    fleet.run(&[], TimeSpan::from_secs(5));
    fleet.run(&calm_day(busy), TimeSpan::from_secs(25));
    print_outcome("make way", &fleet);
    let lost = kept().filter(|number| fleet.copies(*number) == 0).count();
    println!("make way: {lost} of {} models on no disk have no copy", kept().count());
    assert!(lost <= 5, "{lost} models are only in the weight store");
}

/// The models of an engine that leaves got other copies only when requests had come for them.
#[rstest]
#[case(61)]
#[case(63)]
#[case(64)]
#[case(65)]
#[case(62)]
fn models_of_engines_that_leave_get_other_copies(#[case] seed: u64) {
    const LEAVING: usize = 12;
    let models = (0..LEAVING * 3).map(|number| (number, 1.0)).collect();
    let others = (LEAVING * 3..LOADED_MODELS).map(|number| (number, 1.0)).collect();
    let kinds = vec![requests(22.0, models), requests(10.0, others)];
    let mut fleet = fleet(seed);
    fleet.run(&kinds, TimeSpan::from_secs(10));
    fleet.reset_counts();
    for engine in 0..LEAVING {
        fleet.drain(engine, TimeSpan::from_secs(6));
        fleet.run(&kinds, TimeSpan::from_secs(1));
    }
    fleet.run(&kinds, TimeSpan::from_secs(8));
    print_outcome("leaving", &fleet);
    assert!(fleet.counts[0].late <= 17, "{:?}", fleet.counts[0]);
}

/// A refused adapter was ordered again as soon as the engine's state had been read.
#[test]
fn a_refused_adapter_is_not_ordered_again_at_once() {
    let mut fleet = fleet(71).with_refused_adapters();
    let kind = RequestKind { adapters: (1.0, 1), ..requests(4.0, vec![(4, 1.0)]) };
    fleet.run(&[kind], TimeSpan::from_secs(10));
    println!("refused adapter: orders {:?}", fleet.orders);
    assert!(fleet.orders.1 <= 8, "{} refused orders", fleet.orders.1);
}

/// The metrics show which copies and loads are missing.
#[test]
fn figures_show_the_queue_of_the_weight_store() {
    let mut fleet = fleet_with_rare_models(81, 4);
    let mut kinds = calm_day(4);
    kinds.push(rare_requests(5.0));
    fleet.run(&kinds, TimeSpan::from_secs(5));
    let figures = fleet.figures();
    println!("figures: {figures:?}");
    assert_eq!((figures.store_places, figures.store_loads), (2, 2));
    assert!(figures.store_queue > 3, "{figures:?}");
    assert!(figures.wanted_copies > figures.present_copies, "{figures:?}");
}

/// Memory that was free before traffic began stayed free, so that the first request for each model that
/// fitted there waited for its load.
#[test]
fn free_memory_is_used_before_traffic_begins() {
    let mut fleet = fleet(91).with_free_memory(2);
    fleet.run(&[], TimeSpan::from_secs(12));
    let loaded = (0..MODELS).filter(|number| fleet.copies(*number) > 0).count();
    let store_loads = fleet.store_loads;
    fleet.run(&calm_day(4), TimeSpan::from_secs(10));
    print_outcome("before traffic", &fleet);
    println!("before traffic: {loaded} of {MODELS} models loaded, {store_loads} from the store");
    assert!(loaded >= 170, "{loaded} models loaded");
    assert_eq!(store_loads, 0, "loads from the store before traffic");
}

/// Copies stayed with the models that had been busy, while those that had become busy got theirs from the
/// weight store one after the other.
#[rstest]
#[case(101)]
#[case(102)]
fn copies_follow_a_shift_of_demand(#[case] seed: u64) {
    let mut fleet = fleet(seed);
    fleet.run(&calm_day(4), TimeSpan::from_secs(15));
    fleet.reset_counts();
    for busy in [60, 90, 120] {
        fleet.run(&calm_day(busy), TimeSpan::from_secs(12));
        println!("shift: copies of the busy models {} and {}", fleet.copies(4), fleet.copies(busy));
    }
    print_outcome("shift", &fleet);
    assert!(on_time(fleet.counts[0]) > 0.7, "{:?}", fleet.counts[0]);
    assert!(on_time(fleet.counts[2]) > 0.8, "{:?}", fleet.counts[2]);
}

/// Further copies would wait for the end of an order that an earlier hub gave, also if it never ends.
#[test]
fn an_order_that_never_ends_does_not_stop_further_copies() {
    let busy = 4;
    let hour = TimeSpan::from_secs(3_600);
    let mut fleet = fleet(111).with_disk_copies(busy, 0).with_unknown_order(30, hour);
    fleet.run(&[], TimeSpan::from_secs(20));
    fleet.run(&calm_day(busy), TimeSpan::from_secs(3));
    println!("endless order: {} loads of the busy model", fleet.loads_of(busy).len());
    assert!(!fleet.loads_of(busy).is_empty(), "no further copy");
}
