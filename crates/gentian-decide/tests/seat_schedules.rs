//! Under random network cuts, pauses, crashes, outages and late writes, a seat never has two acting
//! holders. Three rules of seat elections are each needed for that; the fourth, `acts_during_outage`,
//! lets a holder act longer.

mod seat_model;

use gentian_decide::seat::SeatRules;
use rstest::rstest;
use seat_model::{FaultPlan, ModelReport, SeatModel};

const STEPS: u64 = 1_200;

const ALL_FAULTS: FaultPlan = FaultPlan {
    cut: 3,
    pause: 2,
    crash: 1,
    outage: 3,
    max_outage_millis: 8_000,
    lost_reply: 20,
    slow: 4,
    common_cut: 2,
};

const LONG_OUTAGES: FaultPlan = FaultPlan {
    cut: 0,
    pause: 0,
    crash: 0,
    outage: 4,
    max_outage_millis: 20_000,
    lost_reply: 0,
    slow: 0,
    common_cut: 0,
};

fn run_schedules(seeds: std::ops::Range<u64>, plan: FaultPlan, rules: SeatRules) -> ModelReport {
    let mut total = ModelReport::default();
    for seed in seeds {
        let report = SeatModel::new(seed, plan, rules).run(STEPS);
        total.steps += report.steps;
        total.acting_steps += report.acting_steps;
        total.conflict_steps += report.conflict_steps;
    }
    total
}

#[test]
fn no_schedule_has_two_acting_holders() {
    let report = run_schedules(0..600, ALL_FAULTS, SeatRules::new());
    println!("all faults: {report:?}");
    assert_eq!(report.conflict_steps, 0);
}

#[rstest]
#[case::grace_from_record_alone(SeatRules { counts_grace_from_contact: false, ..SeatRules::new() })]
#[case::any_process_takes(SeatRules { only_electors_take: false, ..SeatRules::new() })]
#[case::replies_from_arrival(SeatRules { counts_replies_from_query: false, ..SeatRules::new() })]
fn weaker_rule_gives_two_acting_holders(#[case] rules: SeatRules) {
    let has_conflict = |seed| SeatModel::new(seed, ALL_FAULTS, rules).run(STEPS).conflict_steps > 0;
    let first = (0..2_000).find(|seed| has_conflict(*seed));
    println!("first schedule with two acting holders: {first:?}");
    assert!(first.is_some(), "no schedule shows that the rule is needed");
}

#[test]
fn outage_rule_lets_the_holder_act_longer() {
    let with_outage_rule = run_schedules(0..200, LONG_OUTAGES, SeatRules::new());
    let rules = SeatRules { acts_during_outage: false, ..SeatRules::new() };
    let without_outage_rule = run_schedules(0..200, LONG_OUTAGES, rules);
    println!("with the outage rule {with_outage_rule:?}, by lease alone {without_outage_rule:?}");
    assert_eq!(with_outage_rule.conflict_steps + without_outage_rule.conflict_steps, 0);
    assert!(with_outage_rule.acting_steps > without_outage_rule.acting_steps);
}
