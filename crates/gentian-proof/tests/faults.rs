//! Tests of a fleet under faults: killed and suspended processes, outages, restarts, withdrawn
//! keys.

#![allow(clippy::unwrap_used)]

mod fleet;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fleet::{CallResult, Fleet, FleetSize, KEY_A, KEY_B, call, stream};
use rustix::process::Signal;

const DEFAULT_SIZE: FleetSize = FleetSize { entries: 2, controllers: 3, engines: 3, services: 2 };
/// A published change must be in force everywhere within 8 s, as the requirements say.
const MAX_APPLY_TIME: Duration = Duration::from_secs(8);

/// Streams completions from both entries on four threads while `action` runs; each thread makes one
/// call after the other.
fn call_while(fleet: &Fleet, tokens: u32, action: impl FnOnce()) -> Vec<CallResult> {
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|i| {
                let (target, ended) = (fleet.address(&format!("entry-{}", i % 2 + 1)), &ended);
                let key = if i < 2 { KEY_A } else { KEY_B };
                scope.spawn(move || {
                    let mut results = Vec::new();
                    while !ended.load(Ordering::Acquire) {
                        results.push(stream(target, key, &format!("a{}", i % 3 + 1), tokens));
                    }
                    results
                })
            })
            .collect();
        action();
        ended.store(true, Ordering::Release);
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    })
}

/// Checks that each call ended with a complete response or a timely refusal, and that no call
/// refused as not run did run. Returns the number of responses with status 200.
fn check_results(fleet: &Fleet, results: &[CallResult], deadline: Duration) -> usize {
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for result in results {
        *statuses.entry(result.status).or_default() += 1;
        assert!(result.is_complete, "neither complete nor refused: {result:?}");
        assert!(result.status == 200 || result.elapsed < deadline, "late refusal: {result:?}");
    }
    let runs = fleet.events("run");
    for result in results.iter().filter(|result| result.run_state() == "no") {
        let ran = runs.iter().any(|run| run["id"] == result.request.as_str());
        assert!(!ran, "refused as not run, but ran: {result:?}");
    }
    println!("{} calls, by status {statuses:?}", results.len());
    statuses.get(&200).copied().unwrap_or(0)
}

fn load_adapters(fleet: &Fleet) {
    for model in ["a1", "a2", "a3"] {
        let result = stream(fleet.address("entry-1"), KEY_A, model, 2);
        assert!(result.is_complete, "{result:?}");
    }
}

#[test]
fn holder_killed_under_load() {
    let mut fleet = Fleet::start("kill", DEFAULT_SIZE, &[]);
    load_adapters(&fleet);
    let mut kills = 0;
    for seat in ["share", "placement"] {
        fleet.wait_until("holder", |fleet| fleet.holder(seat).is_some());
        let holder = fleet.holder(seat).unwrap();
        let started = Instant::now();
        let results = call_while(&fleet, 5, || {
            std::thread::sleep(Duration::from_millis(500));
            fleet.signal(&holder, Signal::KILL);
            std::thread::sleep(Duration::from_millis(500));
            let others = |fleet: &Fleet| fleet.holder(seat).is_some_and(|name| name != holder);
            fleet.wait_until("another holder", others);
            println!("{seat}: another holder after {:?}", started.elapsed());
            std::thread::sleep(Duration::from_millis(1_500));
        });
        assert!(check_results(&fleet, &results, Duration::from_secs(17)) > 10);
        kills += 1;
        fleet.kill(&holder);
        fleet.restart(&holder);
    }
    assert_eq!(kills, 2);
    fleet.check_invariants();
}

#[test]
fn holder_suspended_under_load_does_not_act_when_resumed() {
    let fleet = Fleet::start("freeze", DEFAULT_SIZE, &[]);
    load_adapters(&fleet);
    fleet.wait_until("holder", |fleet| fleet.holder("share").is_some());
    let holder = fleet.holder("share").unwrap();
    let results = call_while(&fleet, 5, || {
        fleet.signal(&holder, Signal::STOP);
        std::thread::sleep(Duration::from_millis(6_000));
        fleet.signal(&holder, Signal::CONT);
        std::thread::sleep(Duration::from_millis(2_000));
    });
    assert!(check_results(&fleet, &results, Duration::from_secs(17)) > 10);
    fleet.check_invariants();
}

#[test]
fn calls_continue_during_a_platform_outage() {
    let fleet = Fleet::start("outage", DEFAULT_SIZE, &[]);
    load_adapters(&fleet);
    let results = call_while(&fleet, 5, || {
        fleet.set_fault("key-value", "down&millis=9000");
        std::thread::sleep(Duration::from_millis(8_000));
        // Adapters are loaded on demand during the outage too.
        let cold = stream(fleet.address("entry-1"), KEY_A, "a4", 3);
        assert_eq!(cold.status, 200, "{cold:?}");
        std::thread::sleep(Duration::from_millis(3_000));
    });
    let served = check_results(&fleet, &results, Duration::from_secs(17));
    assert_eq!(served, results.len(), "a warm call was refused during the outage");
    fleet.check_invariants();
}

#[test]
fn graceful_stop_of_an_entry_cuts_no_request() {
    let mut fleet = Fleet::start("graceful", DEFAULT_SIZE, &["--token-interval", "50ms"]);
    load_adapters(&fleet);
    let target = fleet.address("entry-1");
    let results: Vec<CallResult> = std::thread::scope(|scope| {
        let calls: Vec<_> = (0..4)
            .map(|i| scope.spawn(move || stream(target, KEY_A, &format!("a{}", i % 3 + 1), 60)))
            .collect();
        std::thread::sleep(Duration::from_millis(800));
        fleet.signal("entry-1", Signal::TERM);
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    assert!(results.iter().all(|result| result.is_complete && result.status == 200), "{results:?}");
    let (_, is_success) = fleet.stop("entry-1");
    assert!(is_success);
    fleet.check_invariants();
}

#[test]
fn controller_hands_its_seats_over_when_it_stops() {
    let mut fleet = Fleet::start("handover", DEFAULT_SIZE, &[]);
    load_adapters(&fleet);
    fleet.wait_until("holder", |fleet| fleet.holder("share").is_some());
    let holder = fleet.holder("share").unwrap();
    let (elapsed, is_success) = fleet.stop(&holder);
    assert!(is_success, "{holder} failed to stop cleanly after {elapsed:?}");
    let started = Instant::now();
    fleet.wait_until("another holder", |fleet| fleet.holder("share").is_some());
    println!("stopped in {elapsed:?}, another holder {:?} later", started.elapsed());
    // Much less than the grace period that follows an expired lease.
    assert!(started.elapsed() < Duration::from_millis(2_000));
}

#[test]
fn engine_killed_under_load() {
    let mut fleet = Fleet::start("engine", DEFAULT_SIZE, &[]);
    load_adapters(&fleet);
    let results = call_while(&fleet, 5, || {
        std::thread::sleep(Duration::from_millis(700));
        fleet.signal("engine-1", Signal::KILL);
        std::thread::sleep(Duration::from_millis(3_000));
    });
    // Streams that ran on the killed engine end with an error event; all others are complete.
    let (interrupted, ended): (Vec<CallResult>, Vec<CallResult>) =
        results.into_iter().partition(|result| result.body.contains("event: error"));
    assert!(interrupted.iter().all(|result| !result.is_complete && result.status == 200));
    assert!(interrupted.len() <= 4, "{} interrupted", interrupted.len());
    assert!(check_results(&fleet, &ended, Duration::from_secs(17)) > 10);
    fleet.kill("engine-1");
    fleet.restart("engine-1");
    assert!(stream(fleet.address("entry-2"), KEY_B, "a5", 2).is_complete);
    fleet.check_invariants();
}

#[test]
fn withdrawn_key_and_drained_domain_are_in_force_within_seconds() {
    let fleet = Fleet::start("withdraw", DEFAULT_SIZE, &[]);
    load_adapters(&fleet);
    let text = fleet.config();
    let without = text.replacen("[key club-a-1]", "[key club-a-1]\nwithdrawn = yes", 1);
    let drained = without.replacen("[domain palermo]", "[domain palermo]\nstate = drained", 1);
    assert!(drained.len() > without.len() && without.len() > text.len());
    let started = Instant::now();
    fleet.publish(&drained);
    for entry in ["entry-1", "entry-2"] {
        fleet.wait_until("refusal of the withdrawn key", |fleet| {
            stream(fleet.address(entry), KEY_A, "a1", 1).status == 401
        });
    }
    println!("withdrawn key refused everywhere after {:?}", started.elapsed());
    assert!(started.elapsed() < MAX_APPLY_TIME);
    let before = fleet.journal("engine-1").len();
    for i in 0..12 {
        let result = stream(fleet.address("entry-1"), KEY_B, &format!("a{}", i % 3 + 1), 1);
        assert!(result.is_complete && result.status == 200, "{result:?}");
    }
    assert_eq!(fleet.journal("engine-1").len(), before, "new work in the drained domain");
    fleet.publish(&text);
    fleet.wait_until("acceptance of the restored key", |fleet| {
        stream(fleet.address("entry-2"), KEY_A, "a1", 1).status == 200
    });
    fleet.check_invariants();
}

#[test]
fn concurrent_publications_have_one_winner() {
    let fleet = Fleet::start("race", FleetSize { entries: 1, ..DEFAULT_SIZE }, &[]);
    let version = |name: &str| fleet.status(name)["config_version"].as_u64().unwrap_or(0);
    let base = version("entry-1").to_string();
    let file = fleet.dir.join("race.ini");
    std::fs::write(&file, fleet.config()).unwrap();
    let children: Vec<_> = (0..4)
        .map(|_| fleet.publish_command(&file).args(["--base", &base]).spawn().unwrap())
        .collect();
    let codes: Vec<i32> =
        children.into_iter().map(|mut child| child.wait().unwrap().code().unwrap()).collect();
    assert_eq!(codes.iter().filter(|code| **code == 0).count(), 1, "{codes:?}");
    assert_eq!(codes.iter().filter(|code| **code == 3).count(), 3, "{codes:?}");
    fleet.wait_until("the new version", |fleet| {
        fleet.status("entry-1")["config_version"].as_u64() == base.parse().ok().map(|b: u64| b + 1)
    });
}

#[test]
fn publication_with_a_lost_response_is_recognised() {
    let fleet = Fleet::start("lost", FleetSize { entries: 1, ..DEFAULT_SIZE }, &[]);
    fleet.set_fault("key-value", "lost-answer&count=1");
    let output_text = fleet.publish(&fleet.config());
    assert!(output_text.contains("version 2 published"), "{output_text}");
}

#[test]
fn leaving_upstream_gets_no_new_work() {
    let fleet = Fleet::start("leaving", DEFAULT_SIZE, &[]);
    load_adapters(&fleet);
    let body = r#"{"vms":[{"name":"engine-1","state":"leaving"},{"name":"controller-1","state":"live"},{"name":"controller-2","state":"live"},{"name":"controller-3","state":"live"}]}"#;
    assert_eq!(call(fleet.address("vm-list"), "PUT", "/v1/vms", &[], body).status, 200);
    std::thread::sleep(Duration::from_secs(3));
    let before = fleet.journal("engine-1").len();
    for i in 0..12 {
        let result = stream(fleet.address("entry-1"), KEY_B, &format!("a{}", i % 3 + 1), 1);
        assert!(result.is_complete && result.status == 200, "{result:?}");
    }
    assert_eq!(fleet.journal("engine-1").len(), before, "new work on the leaving upstream");
    fleet.check_invariants();
}

#[test]
fn withdrawn_key_stops_at_an_entry_cut_from_the_platform() {
    let fleet = Fleet::start("cut", DEFAULT_SIZE, &[]);
    load_adapters(&fleet);
    let link = fleet.link.as_ref().unwrap();
    link.set_cut(true);
    let text = fleet.config();
    let started = Instant::now();
    fleet.publish(&text.replacen("[key club-a-1]", "[key club-a-1]\nwithdrawn = yes", 1));
    fleet.wait_until("refusal of the withdrawn key", |fleet| {
        let result = stream(fleet.address("entry-1"), KEY_A, "a1", 1);
        result.status == 401 || (result.status == 503 && result.run_state() == "no")
    });
    println!("withdrawn key refused at the cut entry after {:?}", started.elapsed());
    assert!(started.elapsed() < MAX_APPLY_TIME);
    link.set_cut(false);
    fleet.wait_until("service at the reconnected entry", |fleet| {
        stream(fleet.address("entry-1"), KEY_B, "a1", 1).status == 200
    });
    assert_eq!(stream(fleet.address("entry-1"), KEY_A, "a1", 1).status, 401);
    fleet.check_invariants();
}

#[test]
fn booking_runs_at_most_once_when_its_entry_dies() {
    let mut fleet = Fleet::start("entry-kill", DEFAULT_SIZE, &[]);
    let bearer = format!("Bearer {KEY_A}");
    let book = |target, key: &str| {
        let headers = [("Authorization", bearer.as_str()), ("Idempotency-Key", key)];
        call(target, "POST", "/planner/visits", &headers, "{}")
    };
    for (i, millis) in [0, 2, 4, 6, 9, 12, 18, 25, 32].into_iter().enumerate() {
        let key = format!("visit-{i}");
        let target = fleet.address("entry-1");
        std::thread::scope(|scope| {
            scope.spawn(|| book(target, &key));
            std::thread::sleep(Duration::from_millis(millis));
            fleet.signal("entry-1", Signal::KILL);
        });
        fleet.kill("entry-1");
        std::thread::sleep(Duration::from_millis(1_200));
        let repeat = book(fleet.address("entry-2"), &key);
        let key_suffix = format!("key={key}");
        let runs = fleet.events("run");
        let has_key =
            |run: &&serde_json::Value| run["detail"].as_str().unwrap().ends_with(&key_suffix);
        let count = runs.iter().filter(has_key).count();
        println!(
            "killed after {millis} ms: runs {count}, repeat {} {}",
            repeat.status,
            repeat.run_state()
        );
        assert!(count <= 1, "ran {count} times");
        assert!(repeat.status == 409 || (repeat.status == 201 && count == 1), "{repeat:?}");
        fleet.restart("entry-1");
        fleet.wait_until("entry ready", |fleet| fleet.is_ready("entry-1"));
    }
    fleet.check_invariants();
}
