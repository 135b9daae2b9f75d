//! Selection by the load that upstreams report: replays of a plain service in which each of 72 entries
//! sees one in 72 of the requests, and what single reports may and may not change.

#![allow(clippy::unwrap_used)]

mod plain_fleet;

use std::sync::Arc;

use gentian_core::peer::UpstreamWork;
use gentian_core::{MonoTime, TimeSpan, UpstreamId};
use gentian_decide::selection::{LoadReading, ReportedLoad, ReportedPace};
use gentian_decide::serving::{PickOutcome, UpstreamTable};
use plain_fleet::{LoadHeader, PlainFleet, SLOTS, START, call, route, table, upstream};
use rstest::rstest;

const ENTRIES: usize = 72;
/// Target latencies of the plain services, in ticks.
const TARGETS: [u64; 2] = [120, 300];
const SECOND: TimeSpan = TimeSpan::from_secs(1);

struct ReplayCount {
    late: [usize; 2],
    median: u64,
    last_percent: u64,
    requests: usize,
}

fn replay(paces: &[f64], rate: f64, header: LoadHeader) -> ReplayCount {
    let mut all = plain_fleet::PlainResult::default();
    for seed in 0..10 {
        let mut fleet = PlainFleet::new(seed, ENTRIES, paces, header);
        fleet.run(rate, SECOND * 20);
        all.times.extend(fleet.result.times);
    }
    ReplayCount {
        late: TARGETS.map(|target| all.later_than(target)),
        median: all.quantile(0.5),
        last_percent: all.quantile(0.99),
        requests: all.times.len(),
    }
}

/// Guards against all entries following the same old counts of the hub, and against requests sent to an
/// upstream that is slow at present. Without the header the selection is that of before.
#[rstest]
#[case::three_equal(&[1.0, 1.0, 1.0], 200.0)]
#[case::three_with_a_slow_one(&[1.0, 1.0, 2.0], 150.0)]
#[case::two_equal(&[1.0, 1.0], 120.0)]
#[case::two_with_a_slow_one(&[1.0, 2.0], 80.0)]
#[case::three_in_calm(&[1.0, 1.0, 1.0], 80.0)]
#[case::three_with_a_slow_one_in_calm(&[1.0, 1.0, 2.0], 80.0)]
fn reported_loads_make_fewer_requests_late(#[case] paces: &[f64], #[case] rate: f64) {
    let headers = [LoadHeader::None, LoadHeader::Counts, LoadHeader::CountsAndPace];
    let [before, counts, paced] = headers.map(|header| {
        let count = replay(paces, rate, header);
        println!(
            "paces={paces:?} rate={rate} header={header:?} requests={} over_120ms={} over_300ms={} \
             median={}ms at_99={}ms",
            count.requests, count.late[0], count.late[1], count.median, count.last_percent
        );
        count
    });
    for after in [counts, paced] {
        // Over 120 ms are also those that were running when their upstream became slow.
        assert!(after.late[0] < before.late[0]);
        assert!(after.late[1] * 2 <= before.late[1]);
        assert!(after.median <= before.median && after.last_percent <= before.last_percent);
    }
}

fn choice(table: &mut UpstreamTable, id: u64, now: MonoTime) -> UpstreamId {
    match table.pick(&call(id, &route(), now), now) {
        PickOutcome::Send(pick) => pick.upstream,
        outcome => panic!("{outcome:?}"),
    }
}

fn reading(running: u32, pace: u32, time: MonoTime) -> LoadReading {
    let load = ReportedLoad::new(running, 0, SLOTS, ReportedPace::new(pace)).unwrap();
    LoadReading { load, time }
}

fn record(table: &mut UpstreamTable, number: usize, reading: LoadReading) {
    table.record_load(&upstream(number), 1, reading);
}

/// Guards against a herd: 72 entries that read at the same time that one upstream is idle and the
/// others are full.
#[rstest]
#[case::two(2)]
#[case::three(3)]
fn entries_that_see_one_idle_upstream_do_not_all_choose_it(#[case] upstreams: usize) {
    let mut at_idle = 0;
    for entry in 0..ENTRIES {
        let mut table = table(entry, ENTRIES, upstreams);
        let work = (1..upstreams).map(|number| {
            (upstream(number), UpstreamWork { running: SLOTS, pending_prefill_tokens: 0 })
        });
        table.update_remote_work(&work.collect::<Vec<_>>(), START);
        for number in 0..upstreams {
            let running = if number == 0 { 0 } else { SLOTS };
            record(&mut table, number, reading(running, 100, START));
        }
        at_idle += usize::from(choice(&mut table, entry as u64, START) == upstream(0));
    }
    println!("upstreams={upstreams} at the idle one: {at_idle} of {ENTRIES}");
    assert!(at_idle < ENTRIES && at_idle > ENTRIES / upstreams, "{at_idle}");
}

/// Guards against trust in a report that is old: the load changes many times a second.
#[test]
fn a_report_loses_its_weight() {
    let at = |age: TimeSpan| {
        let mut table = table(0, 1, 2);
        record(&mut table, 0, reading(SLOTS, 300, START));
        record(&mut table, 1, reading(0, 100, START));
        // Two requests of this entry at the second upstream.
        table.record_start(&upstream(1), 0, START);
        table.record_start(&upstream(1), 0, START);
        choice(&mut table, 1, START + age)
    };
    assert_eq!(at(TimeSpan::ZERO), upstream(1));
    assert_eq!(at(SECOND * 5), upstream(0));
    assert_eq!(at(SECOND * 60), upstream(0));
}

/// Guards against a late event of an earlier response that overwrites a newer load.
#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let mut table = table(0, 1, 2);
    let now = START + SECOND;
    record(&mut table, 0, reading(SLOTS, 400, now));
    record(&mut table, 0, reading(0, 100, START));
    assert_eq!(choice(&mut table, 1, now), upstream(1));
}

/// Guards against what an upstream said before it restarted.
#[test]
fn a_report_of_another_incarnation_is_ignored() {
    let mut table = table(0, 1, 2);
    assert!(!table.record_load(&upstream(0), 2, reading(SLOTS, 400, START)));
    assert_eq!(table.reporting_count(START), 0);
}

/// Guards against loads that no upstream can have.
#[rstest]
#[case(u32::MAX, 0, 6)]
#[case(0, u32::MAX, 6)]
#[case(0, 0, 0)]
#[case(0, 0, u32::MAX)]
fn implausible_loads_are_refused(#[case] running: u32, #[case] waiting: u32, #[case] slots: u32) {
    assert_eq!(ReportedLoad::new(running, waiting, slots, None), None);
    for pace in [0, 9, 10_001, u32::MAX] {
        assert_eq!(ReportedPace::new(pace), None);
    }
}

/// Guards against a lasting effect of one odd report, however large its figures.
#[test]
fn the_largest_accepted_report_has_no_lasting_effect() {
    let load = ReportedLoad::new(10_000, 10_000, 10_000, ReportedPace::new(10_000)).unwrap();
    let mut table = table(0, 1, 2);
    record(&mut table, 0, LoadReading { load, time: START });
    table.record_start(&upstream(1), 0, START);
    let later = START + SECOND * 31;
    assert_eq!(choice(&mut table, 1, later), upstream(0));
}

/// Guards against a change where no upstream reports its load: the least loaded one of the sample gets
/// the request, by the counts of the hub and of the entry alone.
#[test]
fn without_reports_the_counts_decide() {
    let route = route();
    let mut table = table(0, 2, 3);
    let work = [2, 1, 3].into_iter().enumerate();
    let work = work.map(|(number, running)| {
        (upstream(number), UpstreamWork { running, pending_prefill_tokens: 0 })
    });
    table.update_remote_work(&work.collect::<Vec<_>>(), START);
    let mut chosen = Vec::new();
    for id in 0..6 {
        let PickOutcome::Send(pick) = table.pick(&call(id, &Arc::clone(&route), START), START)
        else {
            panic!("not sent")
        };
        table.record_start(&pick.upstream, 0, START);
        assert_eq!(pick.estimate.load, None);
        chosen.push(pick.upstream);
    }
    let count = |number| chosen.iter().filter(|it| **it == upstream(number)).count();
    assert_eq!([count(0), count(1), count(2)], [2, 3, 1]);
}
