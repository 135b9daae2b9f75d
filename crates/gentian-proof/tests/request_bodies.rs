//! Crowds of clients that send large request bodies at once to one entry of the product's own front.

#![allow(clippy::unwrap_used)]

mod fleet;

use fleet::{Fleet, FleetSize, KEY_A, call};
use gentian_soak::{BodyCrowd, BodyPattern};

const SIZE: FleetSize = FleetSize { entries: 1, controllers: 3, engines: 1, services: 1 };
/// Together 400 MB at the largest legal size.
const CLIENTS: usize = 100;
const BODY_BYTES: usize = 4 << 20;
/// Memory that an entry with default settings may use for this crowd.
const MEMORY_MB: u64 = 160;

/// Guards against an entry that keeps every body that its clients send. The crowds run one after the
/// other, so what one of them leaves behind shows in the next.
#[test]
fn an_entry_bounds_what_it_keeps_of_bodies() {
    let mut fleet = Fleet::start("bodies", SIZE, &[]);
    let head = format!(
        "POST /planner/visits HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {KEY_A}\r\n"
    );
    let entry = fleet.address("entry-1");
    let crowd = BodyCrowd::new(entry, CLIENTS, &head, BODY_BYTES);
    let mut failures = Vec::new();
    for pattern in BodyPattern::ALL {
        let result = crowd.run(&[pattern], fleet.id("entry-1"));
        println!("{pattern:?}: {}; statuses {:?}", result.usage, result.statuses);
        let key = format!("Bearer {KEY_A}");
        let answer = call(entry, "GET", "/planner/visits", &[("Authorization", &key)], "");
        if result.usage.peak_memory > MEMORY_MB << 20 || !(200..300).contains(&answer.status) {
            failures.push(format!("{pattern:?}: {}; then {}", result.usage, answer.status));
        }
    }
    assert!(fleet.is_alive("entry-1"), "the entry ended");
    assert!(failures.is_empty(), "{failures:?}");
}
