//! Engines that name limits of requests lose what they cannot take, and no more.

#![allow(clippy::unwrap_used)]

mod engine_fleet;

use engine_fleet::{EngineFleet, RequestKind};
use gentian_core::{RequestRate, TimeSpan};

const ENGINES: usize = 6;
const MODELS: usize = 12;
const DISK_MODELS: usize = 8;
const ONE_A_SECOND: RequestRate = RequestRate::from_millis(1_000);

/// Returns requests for one model, at this rate.
fn demand(rate: f64) -> Vec<RequestKind> {
    vec![RequestKind {
        rate,
        tokens: (800.0, 60.0),
        target_latency: TimeSpan::from_millis(600),
        deadline: TimeSpan::from_secs(10),
        adapters: (0.0, 1),
        models: vec![(0, 1.0)],
    }]
}

fn engines_with_the_model(fleet: &EngineFleet) -> Vec<usize> {
    (0..ENGINES).filter(|engine| fleet.serves(*engine, 0)).collect()
}

/// The engines with the model take one request a second each; the others name no limit.
#[test]
fn a_busy_model_is_loaded_where_no_limit_is_named() {
    let mut fleet = EngineFleet::new(1, ENGINES, MODELS, DISK_MODELS);
    fleet.run(&demand(8.0), TimeSpan::from_secs(2));
    let limited = engines_with_the_model(&fleet);
    limited.iter().for_each(|engine| fleet.name_limit(*engine, ONE_A_SECOND));
    fleet.run(&demand(8.0), TimeSpan::from_secs(8));
    assert!(engines_with_the_model(&fleet).len() > limited.len());
    fleet.reset_counts();
    fleet.run(&demand(8.0), TimeSpan::from_secs(20));
    let count = fleet.counts[0];
    assert!(count.on_time * 100 > count.asked * 90, "{count:?}");
}

/// A request that finds the limit used up goes to another engine at once.
#[test]
fn engines_without_a_limit_serve_what_others_do_not_take() {
    let mut fleet = EngineFleet::new(2, ENGINES, MODELS, DISK_MODELS);
    fleet.run(&demand(8.0), TimeSpan::from_secs(8));
    let engines = engines_with_the_model(&fleet);
    assert!(engines.len() > 1, "{engines:?}");
    fleet.name_limit(engines[0], ONE_A_SECOND);
    fleet.reset_counts();
    let before = fleet.sent(engines[0]);
    fleet.run(&demand(8.0), TimeSpan::from_secs(20));
    let (sent, count) = (fleet.sent(engines[0]) - before, fleet.counts[0]);
    assert!(sent <= 24, "{sent} requests in 20 s with a limit of one a second");
    assert!(count.on_time * 100 > count.asked * 90, "{count:?}");
}

/// Every engine takes one request a second, and far more come: what cannot be served within
/// reasonable time is refused soon, and the limits are used.
#[test]
fn requests_beyond_all_limits_are_refused_soon() {
    let mut fleet = EngineFleet::new(3, ENGINES, MODELS, DISK_MODELS);
    fleet.run(&demand(1.0), TimeSpan::from_secs(2));
    (0..ENGINES).for_each(|engine| fleet.name_limit(engine, ONE_A_SECOND));
    fleet.run(&demand(30.0), TimeSpan::from_secs(10));
    fleet.reset_counts();
    fleet.run(&demand(30.0), TimeSpan::from_secs(20));
    let count = fleet.counts[0];
    let copies = engines_with_the_model(&fleet).len();
    assert!((count.on_time + count.late) as usize >= copies * 15, "{copies} copies: {count:?}");
    // What is open at the end waits for four times the target latency at most, so it is few.
    let open = count.asked.saturating_sub(count.on_time + count.late + count.refused);
    assert!(open <= 60 + copies as u32, "{open} of {count:?} wait");
}
