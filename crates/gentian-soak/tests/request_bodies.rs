//! Crowds of clients that send large request bodies at once to one entry with little memory. The
//! entry ended when bodies of legal size exceeded the memory of its VM.

#![allow(clippy::unwrap_used)]

mod body_fleet;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

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
    std::thread::sleep(Duration::from_millis(500));
    assert!(fleet.stop_entry(), "the entry did not stop in time");
    clients.join().unwrap();
}

/// Guards against a division of the memory that leaves no room for a legal body on the smallest VM of the
/// deployments.
#[test]
fn the_smallest_vm_serves_a_body_of_legal_size() {
    let (memory_mb, body_bytes) = (120, 4_194_304);
    let fleet = BodyFleet::start_with(memory_mb, body_bytes);
    assert_eq!(fleet.call_entry(body_bytes), 200);
    assert_eq!(fleet.call_entry(body_bytes + 1), 413);
}

/// Sends `bytes` and returns the status of the next response.
fn exchange(socket: &mut TcpStream, bytes: &[u8]) -> String {
    socket.write_all(bytes).unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        assert_eq!(socket.read(&mut byte).unwrap(), 1, "the connection ended");
        head.push(byte[0]);
    }
    let text = String::from_utf8(head).unwrap();
    let length = text.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    let length: usize = length.map_or(0, |length| length.parse().unwrap());
    socket.read_exact(&mut vec![0; length]).unwrap();
    text.split_whitespace().nth(1).unwrap().to_owned()
}

/// Guards against callers on kept connections, with `Expect: 100-continue` or with chunks that are served
/// differently since bodies have a budget.
#[test]
fn a_kept_connection_serves_bodies_of_each_kind() {
    let fleet = BodyFleet::start();
    let mut socket = TcpStream::connect(fleet.entry_address()).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let head = BodyFleet::request_head();
    let body = vec![b'x'; BODY_BYTES];
    for _ in 0..3 {
        let expecting =
            format!("{head}Expect: 100-continue\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        assert_eq!(exchange(&mut socket, expecting.as_bytes()), "100");
        assert_eq!(exchange(&mut socket, &body), "200");
        let mut chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
        for chunk in body.chunks(70_000) {
            chunked.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
            chunked.extend_from_slice(chunk);
            chunked.extend_from_slice(b"\r\n");
        }
        chunked.extend_from_slice(b"0\r\n\r\n");
        assert_eq!(exchange(&mut socket, &chunked), "200");
        let small = format!("{head}Content-Length: 3\r\n\r\nabc");
        assert_eq!(exchange(&mut socket, small.as_bytes()), "200");
    }
}
