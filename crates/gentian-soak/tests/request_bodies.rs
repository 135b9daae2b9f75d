//! Crowds of clients that send large request bodies at once to one entry with little memory. The
//! entry ended when bodies of legal size exceeded the memory of its VM.

#![allow(clippy::unwrap_used)]

mod body_fleet;

use body_fleet::{BODY_BYTES, BodyFleet, FILE_DESCRIPTORS, MEMORY_MB};
use gentian_soak::{BodyCrowd, BodyPattern};
use rstest::rstest;

/// Together 150 MB at the largest legal size, more than twice the memory of the VM.
const CLIENTS: usize = 150;
const ORDINARY_BODY_BYTES: usize = 10_000;

fn crowd(fleet: &BodyFleet, clients: usize) -> BodyCrowd {
    BodyCrowd::new(fleet.entry_address(), clients, &BodyFleet::request_head(), BODY_BYTES)
}

/// Guards against an entry that keeps every body that its clients send, and so uses more memory than
/// its VM has.
#[rstest]
#[case::whole(&[BodyPattern::Whole])]
#[case::one_byte_short(&[BodyPattern::OneByteShort])]
#[case::slow_pieces(&[BodyPattern::SlowPieces])]
#[case::large_chunks(&[BodyPattern::LargeChunks])]
#[case::tiny_chunks(&[BodyPattern::TinyChunks])]
#[case::endless_chunks(&[BodyPattern::EndlessChunks])]
#[case::announced_over_limit(&[BodyPattern::AnnouncedOverLimit])]
#[case::all_patterns(&BodyPattern::ALL)]
fn an_entry_stays_within_its_memory(#[case] patterns: &[BodyPattern]) {
    let mut fleet = BodyFleet::start();
    let result = crowd(&fleet, CLIENTS).run(patterns, fleet.entry_id());
    println!("{patterns:?}: {}; statuses {:?}", result.usage, result.statuses);
    assert!(fleet.is_entry_alive(), "the entry ended");
    let status = fleet.call_entry(ORDINARY_BODY_BYTES);
    assert!(result.usage.peak_memory <= MEMORY_MB << 20, "{}", result.usage);
    assert!(result.usage.descriptors <= FILE_DESCRIPTORS, "{}", result.usage);
    assert_eq!(status, 200, "an ordinary request after the crowd");
}

/// Guards against limits that refuse a client which is alone, or keep a share of one that has left.
#[test]
fn a_single_body_of_legal_size_is_served_each_time() {
    let fleet = BodyFleet::start();
    for _ in 0..20 {
        assert_eq!(fleet.call_entry(BODY_BYTES), 200);
    }
}

/// Guards against a process that can't stop while bodies are half read.
#[test]
fn an_entry_stops_with_bodies_half_read() {
    let mut fleet = BodyFleet::start();
    let (half_read, id) = (crowd(&fleet, 20), fleet.entry_id());
    let clients = std::thread::spawn(move || half_read.run(&[BodyPattern::OneByteShort], id));
    std::thread::sleep(std::time::Duration::from_millis(500));
    assert!(fleet.stop_entry(), "the entry did not stop in time");
    clients.join().unwrap();
}
