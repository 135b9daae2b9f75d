//! Selection by the parts of prompts that engines likely hold: replays of 72 entries before six engines
//! with up to three copies of each model, and what must not be taken for held.

#![allow(clippy::unwrap_used)]

mod prompt_fleet;

use gentian_core::peer::UpstreamWork;
use gentian_core::{MonoTime, StoreRevision, TimeSpan, TokenCount, UpstreamId};
use gentian_decide::quarantine::WorkQuarantine;
use gentian_decide::selection::{CacheState, HeldPrompts, SharedPrefix};
use gentian_decide::serving::{
    AttemptOutcome, CallScheduler, PickOutcome, ScheduleDecision, UpstreamPick, UpstreamTable,
};
use prompt_fleet::{
    CACHE_TOKENS, HUB, PromptFleet, PromptModel, PromptResult, START, bounds, call, engine, model,
    registration, resident, route, table,
};
use rstest::rstest;

const ENTRIES: usize = 72;
const SECOND: TimeSpan = TimeSpan::from_secs(1);
/// Engines that have each model loaded; every engine has three.
const COPIES: [&[usize]; 9] =
    [&[0, 1, 2], &[3, 4, 5], &[0, 2, 4], &[1, 3], &[4, 5], &[0, 3], &[1], &[2], &[5]];
const PARTS: [(u64, u32); 2] = [(11, 400), (12, 1_600)];

/// What the prompts of a replay are like.
#[derive(Clone, Copy, Debug)]
struct PromptPattern {
    /// Prefixes of each model, and tokens of their first part, which all of a model share, and of the
    /// second one.
    prefixes: usize,
    part_tokens: (u32, u32),
    /// Requests per second.
    rate: f64,
    /// Weight of the first model against that of a copy of the others.
    first_weight: f64,
}

fn replay(
    pattern: PromptPattern,
    entries: usize,
    cache: Option<u64>,
    restarts: bool,
) -> PromptResult {
    let models = COPIES.iter().enumerate().map(|(number, engines)| PromptModel {
        engines: engines.to_vec(),
        weight: if number == 0 { pattern.first_weight } else { engines.len() as f64 },
        prefixes: pattern.prefixes,
        part_tokens: pattern.part_tokens,
    });
    let models: Vec<PromptModel> = models.collect();
    let mut sum = PromptResult::default();
    for seed in 0..8 {
        let mut fleet = PromptFleet::new(seed, entries, 6, models.clone(), cache);
        fleet.run(pattern.rate, SECOND * 10);
        if restarts {
            fleet.restart_engine(0);
        }
        fleet.run(pattern.rate, SECOND * 10);
        for kind in 0..2 {
            sum.times[kind].extend(&fleet.result.times[kind]);
            sum.refused[kind] += fleet.result.refused[kind];
        }
        sum.shared_asked += fleet.result.shared_asked;
        sum.shared_read += fleet.result.shared_read;
        sum.shared_distinct += fleet.result.shared_distinct;
    }
    sum
}

/// Guards against parts that are read at each copy although one holds them, and against waiting at a
/// holder for longer than the reading takes: a part that all requests of a busy model need is read at
/// its other engines, too. Without a cache size the selection is that of before.
#[rstest]
#[case::many_prefixes(60, (200, 1_200), 90.0, 3.0, false)]
#[case::many_prefixes_busy(60, (200, 1_200), 120.0, 3.0, false)]
#[case::many_prefixes_in_calm(60, (200, 1_200), 40.0, 3.0, false)]
#[case::few_prefixes(12, (200, 1_200), 90.0, 3.0, false)]
#[case::long_prefixes(30, (500, 3_000), 60.0, 3.0, false)]
#[case::long_prefixes_busy(30, (500, 3_000), 90.0, 3.0, false)]
#[case::one_prefix_of_a_busy_model(1, (500, 1_000), 90.0, 30.0, false)]
#[case::one_long_prefix_of_a_busy_model(1, (2_000, 2_000), 100.0, 30.0, false)]
#[case::an_engine_that_restarts(60, (200, 1_200), 90.0, 3.0, true)]
fn fewer_shared_tokens_are_read_again(
    #[case] prefixes: usize,
    #[case] part_tokens: (u32, u32),
    #[case] rate: f64,
    #[case] first_weight: f64,
    #[case] restarts: bool,
) {
    let pattern = PromptPattern { prefixes, part_tokens, rate, first_weight };
    let [before, after] = [None, Some(CACHE_TOKENS)].map(|cache| {
        let result = replay(pattern, ENTRIES, cache, restarts);
        println!(
            "prefixes={prefixes} parts={part_tokens:?} rate={rate} first={first_weight} \
             restarts={restarts} cache={} shared={} read_again={} median={}ms at_99={}ms \
             late={:?} refused={:?}",
            cache.is_some(),
            result.shared_asked,
            result.read_again(),
            result.quantile(0.5),
            result.quantile(0.99),
            [result.late(0), result.late(1)],
            result.refused
        );
        result
    });
    assert!(after.read_again() * 4 <= before.read_again() * 3);
    assert!(after.quantile(0.5) <= before.quantile(0.5));
    assert!(after.quantile(0.99) <= before.quantile(0.99));
    // Where next to none are late, their number differs by chance.
    let tolerated = |kind: usize| after.times[kind].len() / 1_000;
    assert!((0..2).all(|kind| after.late(kind) <= before.late(kind) + tolerated(kind)));
}

/// Guards against the extra cost at other engines where an entry sees all requests, so that it knows
/// itself what each engine holds and how long its queue is.
#[rstest]
#[case::many_prefixes(60, (200, 1_200), 90.0)]
#[case::few_prefixes(12, (200, 1_200), 90.0)]
#[case::long_prefixes(30, (500, 3_000), 60.0)]
#[case::long_prefixes_busy(30, (500, 3_000), 90.0)]
fn a_single_entry_does_not_wait_longer(
    #[case] prefixes: usize,
    #[case] part_tokens: (u32, u32),
    #[case] rate: f64,
) {
    let pattern = PromptPattern { prefixes, part_tokens, rate, first_weight: 3.0 };
    let [before, after] = [None, Some(CACHE_TOKENS)].map(|cache| replay(pattern, 1, cache, false));
    println!(
        "prefixes={prefixes} parts={part_tokens:?} rate={rate} entries=1 read_again={} to {} \
         median={} to {}ms at_99={} to {}ms",
        before.read_again(),
        after.read_again(),
        before.quantile(0.5),
        after.quantile(0.5),
        before.quantile(0.99),
        after.quantile(0.99)
    );
    assert!(after.read_again() < before.read_again());
    assert!(after.quantile(0.5) <= before.quantile(0.5));
    assert!(after.quantile(0.99) <= before.quantile(0.99));
}

fn pick(table: &mut UpstreamTable, id: u64, parts: &[(u64, u32)], now: MonoTime) -> UpstreamPick {
    let route = route(1_000);
    match table.pick(&call(id, &route, 0, parts, 300, now), now) {
        PickOutcome::Send(pick) => pick,
        outcome => panic!("{outcome:?}"),
    }
}

/// Returns the table of an entry before three engines with one model, some time after they loaded it.
fn settled_table(entries: usize) -> (UpstreamTable, MonoTime) {
    let loaded = vec![vec![0], vec![0], vec![0]];
    (table(entries, Some(CACHE_TOKENS), &loaded, START), START + SECOND * 10)
}

fn pending(id: UpstreamId, tokens: u32) -> (UpstreamId, UpstreamWork) {
    (id, UpstreamWork { running: 1, pending_prefill_tokens: tokens })
}

/// Guards against two entries that choose at once and have the same part read at two engines.
#[test]
fn entries_that_choose_at_once_choose_the_same_engine() {
    for digest in 0..40 {
        let parts = [(digest, 800)];
        let homes =
            (0..4).map(|id| pick(&mut settled_table(ENTRIES).0, id, &parts, START).upstream);
        let homes: Vec<UpstreamId> = homes.collect();
        assert!(homes.iter().all(|home| *home == homes[0]), "{homes:?}");
    }
}

/// Guards against an order in which one of the copies comes first for nearly all prefixes: the plain
/// hash of before is nearly linear.
#[test]
fn prefixes_are_spread_evenly_over_the_copies() {
    let mut counts = [0; 3];
    for digest in 0..300 {
        let (mut table, now) = settled_table(ENTRIES);
        let chosen = pick(&mut table, digest, &[(digest, 800)], now).upstream;
        let number = (0..3).find(|number| engine(*number) == chosen).unwrap();
        counts[number] += 1;
    }
    assert!(counts.iter().all(|count| *count >= 70), "{counts:?}");
}

/// Guards against waiting at the engine that holds a prompt for longer than reading it elsewhere takes.
#[test]
fn a_backlog_outweighs_what_is_held() {
    let (mut table, now) = settled_table(ENTRIES);
    let home = pick(&mut table, 1, &PARTS, now).upstream;
    table.update_remote_work(&[pending(home.clone(), 1_000)], now);
    assert_eq!(pick(&mut table, 2, &PARTS, now).upstream, home);
    table.update_remote_work(&[pending(home.clone(), 8_000)], now);
    assert_ne!(pick(&mut table, 3, &PARTS, now).upstream, home);
}

/// Guards against a sample of the candidates that leaves out the engine which holds the prompt.
#[test]
fn the_holder_is_compared_in_a_large_fleet() {
    let (mut table, now) = settled_table(ENTRIES);
    let chosen: Vec<UpstreamId> =
        (0..60).map(|id| pick(&mut table, id, &PARTS, now).upstream).collect();
    assert!(chosen.iter().all(|it| *it == chosen[0]));
}

/// Guards against the pending tokens of a prompt that is held: they would keep others away.
#[test]
fn what_is_held_does_not_count_as_pending() {
    let (mut table, now) = settled_table(1);
    let mut scheduler = CallScheduler::new(bounds());
    let mut quarantine = WorkQuarantine::new("vm-0".parse().unwrap());
    let mut send = |id: u64, now: MonoTime| {
        scheduler.admit(call(id, &route(1_000), 0, &PARTS, 300, now), now).unwrap();
        let decisions = scheduler.decide(&mut table, &mut quarantine, now);
        let [ScheduleDecision::Send(request, pick)] = &decisions[..] else { panic!("not sent") };
        let pending: u32 = scheduler.work().iter().map(|it| it.1.pending_prefill_tokens).sum();
        scheduler.record_response_start(*request, &mut table, now);
        (pick.clone(), pending)
    };
    let (first, _) = send(1, now);
    let (second, pending) = send(2, now + SECOND);
    assert_eq!(second.upstream, first.upstream);
    assert_eq!(second.estimate.held_tokens, 2_000);
    assert_eq!(second.estimate.held_age, Some(SECOND));
    assert_eq!(pending, 300);
}

/// Guards against a prompt that counts as held although the engine refused to read it.
#[test]
fn a_refused_prompt_is_forgotten() {
    let (mut table, now) = settled_table(1);
    let prefix = call(1, &route(1), 0, &PARTS, 0, now).shared_prefix;
    table.record_prompt(&engine(0), prefix.as_ref(), 2_000, now);
    let age = |table: &UpstreamTable| {
        let row = table.rows().find(|row| row.registration.id == engine(0)).unwrap();
        row.held_prompts.age(prefix.as_ref().unwrap(), now)
    };
    table.forget_prompt(&engine(0), prefix.as_ref(), AttemptOutcome::Served(SECOND));
    assert_eq!(age(&table), Some(TimeSpan::ZERO));
    table.forget_prompt(&engine(0), prefix.as_ref(), AttemptOutcome::Rejected);
    assert_eq!(age(&table), None);
}

/// Guards against trust in what an engine held before it restarted, or before it unloaded the model.
#[rstest]
#[case::restarted(2)]
#[case::model_loaded_again(1)]
fn an_engine_that_lost_what_it_held_counts_as_empty(#[case] incarnation: u64) {
    let (mut table, now) = settled_table(ENTRIES);
    let home = pick(&mut table, 1, &PARTS, now).upstream;
    let number = (0..3).find(|number| engine(*number) == home).unwrap();
    let prefix = SharedPrefix::new(call(1, &route(1), 0, &PARTS, 0, now).target.as_ref(), &PARTS);
    table.record_prompt(&home, prefix.as_ref(), 2_300, now);
    assert_eq!(pick(&mut table, 2, &PARTS, now).estimate.held_tokens, 2_000);
    let later = now + SECOND;
    if incarnation > 1 {
        let registrations =
            (0..3).map(|other| registration(other, if other == number { incarnation } else { 1 }));
        table.update_registrations(registrations.collect(), StoreRevision::new(2), later);
    } else {
        table.update_resident_models(HUB, vec![resident(number, 1, &[5])], later);
    }
    table.update_resident_models(HUB, vec![resident(number, incarnation, &[0])], later);
    let after = pick(&mut table, 3, &PARTS, later);
    assert_eq!((after.upstream, after.estimate.held_tokens), (home, 0));
}

/// Guards against waiting at an engine whose cache the running requests fill, and against parts that
/// others have displaced since.
#[test]
fn a_full_cache_holds_nothing() {
    let target = call(1, &route(1), 0, &PARTS, 0, START).target;
    let prefix = SharedPrefix::new(target.as_ref(), &PARTS).unwrap();
    let mut held = HeldPrompts::default();
    let model = model(0);
    let state = |requests: f64, is_home: bool| CacheState {
        cache: TokenCount::new(20_000),
        model: &model,
        requests,
        is_home,
        unseen_fraction: 1.0,
        now: START + SECOND,
    };
    held.record_read(Some(&prefix), 2_000, 1, START);
    assert_eq!(held.held_tokens(&prefix, &state(1.0, false)), 2_000.0);
    // The mean prompt is 200 tokens long by now.
    assert_eq!(held.held_tokens(&prefix, &state(100.0, true)), 0.0);
    for _ in 0..20 {
        held.record_read(None, 1_600, 1, START);
    }
    assert_eq!(held.held_tokens(&prefix, &state(0.0, false)), 0.0);
}

/// Guards against a later part that counts as held while one before it is not.
#[test]
fn a_part_is_held_only_with_all_parts_before_it() {
    let target = call(1, &route(1), 0, &PARTS, 0, START).target;
    let prefix = |parts: &[(u64, u32)]| SharedPrefix::new(target.as_ref(), parts).unwrap();
    let model = model(0);
    let state = CacheState {
        cache: TokenCount::new(CACHE_TOKENS),
        model: &model,
        requests: 0.0,
        is_home: false,
        unseen_fraction: 1.0,
        now: START,
    };
    let mut held = HeldPrompts::default();
    held.record_read(Some(&prefix(&PARTS)), 2_000, 1, START);
    assert_eq!(held.held_tokens(&prefix(&[(11, 400), (13, 1_600)]), &state), 400.0);
    assert_eq!(held.held_tokens(&prefix(&[(14, 400), (12, 1_600)]), &state), 0.0);
    let other = call(1, &route(1), 1, &PARTS, 0, START).target;
    let of_other_model = SharedPrefix::new(other.as_ref(), &PARTS).unwrap();
    assert_eq!(held.held_tokens(&of_other_model, &state), 0.0);
}

/// Guards against memory that grows with the number of different prompts, and against odd sizes.
#[test]
fn what_is_remembered_is_bounded() {
    let target = call(1, &route(1), 0, &PARTS, 0, START).target;
    let prefix =
        |digest: u64| SharedPrefix::new(target.as_ref(), &[(digest, u32::MAX); 40]).unwrap();
    assert_eq!(prefix(1).parts.len(), 16);
    assert_eq!(prefix(1).tokens, u32::MAX);
    assert_eq!(SharedPrefix::new(target.as_ref(), &[]), None);
    let mut held = HeldPrompts::default();
    for digest in 0..1_000 {
        held.record_read(Some(&prefix(digest)), u32::MAX, u32::MAX, START);
    }
    let known = (0..1_000).filter(|digest| held.age(&prefix(*digest), START).is_some());
    assert_eq!(known.count(), 3);
}
