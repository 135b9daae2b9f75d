//! How long an entry waits for the answer to a watch.

use gentian_core::{MonoTime, TimeSpan};
use gentian_decide::serving::PendingWatch;
use rstest::rstest;

const SENT: MonoTime = MonoTime::from_millis(50_000);
/// Time in which a configuration must be in force after its acknowledgement.
const CONFIG_TIME: TimeSpan = TimeSpan::from_secs(2);

fn at(millis: u64) -> MonoTime {
    SENT + TimeSpan::from_millis(millis)
}

/// Returns after how many milliseconds the watch is given up, within 30 s.
fn given_up_after(
    has_hub_updates: impl Fn(u64) -> bool,
    newer_known_at: Option<MonoTime>,
) -> Option<u64> {
    let watch = PendingWatch::new(SENT);
    let told_by = |now: MonoTime| newer_known_at.filter(|told| *told <= now);
    (0..30_000).find(|millis| {
        !watch.is_wanted(has_hub_updates(*millis), told_by(at(*millis)), at(*millis))
    })
}

#[test]
fn an_idle_watch_waits_while_the_hub_sends_updates() {
    assert_eq!(given_up_after(|_| true, None), None);
}

#[rstest]
#[case::told_meanwhile(at(4_000), 4_000)]
#[case::told_before_it_was_sent(at(0) - TimeSpan::from_secs(5), 0)]
fn a_watch_that_misses_a_change_is_given_up(#[case] told: MonoTime, #[case] due_from: u64) {
    let given_up = given_up_after(|_| true, Some(told));
    let waited = given_up.map(|millis| TimeSpan::from_millis(millis - due_from));
    assert!(waited.is_some_and(|waited| waited < CONFIG_TIME), "{given_up:?}");
    assert!(given_up > Some(due_from + 100), "the answer may be on its way: {given_up:?}");
}

#[rstest]
#[case::from_the_start(0)]
#[case::later(7_000)]
fn a_watch_without_an_answer_is_given_up_without_a_hub(#[case] silent_from: u64) {
    let given_up = given_up_after(|millis| millis < silent_from, None);
    let limit = silent_from.max(PendingWatch::wait(false).as_millis() + 1_000);
    assert_eq!(given_up, Some(limit));
}
