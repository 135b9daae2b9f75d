//! Requests through real processes: complete responses, accurate refusals, bookings that run at
//! most once.

#![allow(clippy::unwrap_used)]

mod fleet;

use std::time::Duration;

use fleet::{CallResult, Fleet, FleetSize, KEY_A, KEY_B, call, stream};

const SMALL: FleetSize = FleetSize { entries: 2, controllers: 1, engines: 2, services: 2 };

/// Expected status and error code; method, path, headers and body of the request.
type BadInput<'a> = (u16, &'a str, &'a str, &'a str, &'a [(&'a str, &'a str)], &'a str);

fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

fn book(fleet: &Fleet, entry: &str, key: &str, body: &str) -> CallResult {
    let bearer = bearer(KEY_A);
    let headers = [("Authorization", bearer.as_str()), ("Idempotency-Key", key)];
    call(fleet.address(entry), "POST", "/planner/visits", &headers, body)
}

#[test]
fn bad_input_gets_a_clear_refusal() {
    let fleet = Fleet::start("input", SMALL, &[]);
    let entry = fleet.address("entry-1");
    let (good, wrong) = (bearer(KEY_A), bearer("no-such-key"));
    let good = [("Authorization", good.as_str())];
    let wrong = [("Authorization", wrong.as_str())];
    let malformed = [("Authorization", "Basic xyz")];
    let long_header = "x".repeat(20_000);
    let long_header = [("X-Long", long_header.as_str())];
    let long_body = "x".repeat(5 << 20);
    let path = "/desk/v1/completions";
    let model = r#"{"model":"m1","max_tokens":2}"#;
    let cases: [BadInput<'_>; 13] = [
        (401, "invalid_api_key", "POST", path, &[], model),
        (401, "invalid_api_key", "POST", path, &wrong, model),
        (401, "invalid_api_key", "POST", path, &malformed, model),
        (404, "not_found", "GET", "/nowhere", &good, ""),
        (404, "not_found", "POST", "/desk/v1/other", &good, model),
        (404, "not_found", "POST", path, &good, r#"{"model":"unknown"}"#),
        (405, "method_not_allowed", "GET", path, &good, ""),
        (400, "bad_request", "POST", path, &good, "{not json"),
        (400, "bad_request", "POST", path, &good, r#"{"prompt":"no model"}"#),
        (400, "bad_request", "POST", path, &good, r#"{"model":"m1","max_tokens":-4}"#),
        (400, "exceeds_burst", "POST", path, &good, r#"{"model":"m1","max_tokens":900000}"#),
        (413, "too_large", "POST", path, &long_header, model),
        (413, "too_large", "POST", path, &good, &long_body),
    ];
    for (status, code, method, path, headers, body) in cases {
        let result = call(entry, method, path, headers, body);
        let shown = &body[..body.len().min(40)];
        assert_eq!(result.status, status, "{method} {path} {shown}: {}", result.body);
        let body: serde_json::Value = serde_json::from_str(&result.body).unwrap();
        assert_eq!(body["error"]["code"], code);
        assert_eq!(body["error"]["run"], "no");
    }
    assert!(fleet.events("run").is_empty());
    fleet.check_invariants();
}

#[test]
fn tokens_reach_the_caller_as_the_engine_sends_them() {
    let fleet = Fleet::start("stream", SMALL, &["--token-interval", "100ms"]);
    let cold = stream(fleet.address("entry-1"), KEY_A, "a1", 5);
    assert!(cold.is_complete, "{cold:?}");
    let warm = stream(fleet.address("entry-2"), KEY_B, "a1", 5);
    assert!(warm.is_complete, "{warm:?}");
    assert_eq!(warm.events.len(), 5);
    let gaps: Vec<Duration> = warm.events.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        gaps.iter().all(|gap| *gap > Duration::from_millis(50)),
        "tokens were buffered: {gaps:?}"
    );
    assert_eq!(fleet.events("load").len(), 2, "one base model and one adapter");
    fleet.check_invariants();
}

#[test]
fn burst_at_every_entry_loads_once() {
    let fleet = Fleet::start("burst", SMALL, &[]);
    let results: Vec<CallResult> = std::thread::scope(|scope| {
        let calls = (0..6).map(|i| {
            let target = fleet.address(if i % 2 == 0 { "entry-1" } else { "entry-2" });
            scope.spawn(move || stream(target, KEY_A, "a2", 3))
        });
        let calls: Vec<_> = calls.collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    assert!(results.iter().all(|result| result.is_complete), "{results:?}");
    assert_eq!(fleet.events("load").len(), 2);
    fleet.check_invariants();
}

#[test]
fn truncated_responses_never_look_complete() {
    let fleet = Fleet::start("broken", SMALL, &[]);
    let entry = fleet.address("entry-1");
    assert!(stream(entry, KEY_A, "a1", 4).is_complete);
    for engine in ["engine-1", "engine-2"] {
        fleet.set_fault(engine, "cut-answer&count=1");
    }
    let cut = stream(entry, KEY_A, "a1", 8);
    assert!(!cut.is_complete && cut.body.contains("event: error"), "{cut:?}");
    fleet.set_fault("engine-1", "cut-answer&count=0");
    fleet.set_fault("engine-2", "cut-answer&count=0");
    for engine in ["engine-1", "engine-2"] {
        fleet.set_fault(engine, "crossed-answer&count=1");
    }
    let crossed = stream(entry, KEY_A, "a1", 4);
    assert_eq!((crossed.status, crossed.run_state().as_str()), (502, "unknown"), "{crossed:?}");
    fleet.check_invariants();
}

#[test]
fn booking_runs_at_most_once_whatever_fails() {
    let fleet = Fleet::start("booking", SMALL, &[]);
    let set_on_both = |fault: &str| {
        fleet.set_fault("service-1", fault);
        fleet.set_fault("service-2", fault);
    };
    let faults: [(&str, &dyn Fn()); 6] = [
        ("none", &|| {}),
        ("lost-answer", &|| set_on_both("lost-answer&count=1")),
        ("cut-answer", &|| set_on_both("cut-answer&count=1")),
        ("crossed-answer", &|| set_on_both("crossed-answer&count=1")),
        ("lost-intent", &|| fleet.set_fault("key-value", "lost-answer&count=1")),
        ("outage", &|| fleet.set_fault("key-value", "down&millis=700")),
    ];
    for (name, action) in faults {
        action();
        let first = book(&fleet, "entry-1", name, "{\"sheet\":1}");
        set_on_both("lost-answer&count=0");
        set_on_both("cut-answer&count=0");
        set_on_both("crossed-answer&count=0");
        std::thread::sleep(Duration::from_millis(900));
        let second = book(&fleet, "entry-2", name, "{\"sheet\":1}");
        let key_suffix = format!("key={name}");
        let runs = fleet.events("run");
        let runs = runs.iter().filter(|run| run["detail"].as_str().unwrap().ends_with(&key_suffix));
        let count = runs.count();
        println!(
            "{name}: first {} {}, second {} {}, runs {count}",
            first.status,
            first.run_state(),
            second.status,
            second.run_state()
        );
        assert!(count <= 1, "{name} ran {count} times");
        for result in [&first, &second] {
            assert!(result.status > 0, "{name}: no response");
            assert!(result.status != 201 || count == 1, "{name}: succeeded without a run");
        }
        if first.status == 201 {
            assert_eq!(first.body, second.body, "{name}: the repeated call returned another body");
        }
        if first.run_state() == "no" && second.run_state() == "no" {
            assert_eq!(count, 0, "{name}: refused as not run, but ran");
        }
    }
    let reused = book(&fleet, "entry-1", "none", "{\"sheet\":2}");
    assert_eq!(reused.status, 422, "{reused:?}");
    fleet.check_invariants();
}
