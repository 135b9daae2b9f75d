//! Answers to callers that read slowly, or not at all.

#![allow(clippy::unwrap_used)]

use std::io::{ErrorKind, Read};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use gentian_core::TimeSpan;
use gentian_http::ProcessClock;
use gentian_http::forward::BufferedStream;

const BODY_BYTES: usize = 16 << 20;
const MAX_PAUSE: TimeSpan = TimeSpan::from_millis(400);
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// Writes a large body to a peer that reads `chunk` bytes at a time, for `span` at most; returns the
/// result and how long it took.
fn write_to(chunk: usize, span: TimeSpan) -> (std::io::Result<()>, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let is_done = Arc::new(AtomicBool::new(false));
    let peer_done = Arc::clone(&is_done);
    let reader = std::thread::spawn(move || {
        let mut peer: TcpStream = listener.accept().unwrap().0;
        let mut buffer = vec![0; chunk.max(1)];
        while !peer_done.load(Ordering::Acquire) {
            std::thread::sleep(READ_INTERVAL);
            if chunk > 0 && peer.read(&mut buffer).unwrap_or(0) == 0 {
                return;
            }
        }
    });
    let clock = ProcessClock::new();
    let mut stream = BufferedStream::connect(address, MAX_PAUSE, clock).unwrap();
    let started = Instant::now();
    let result = stream.write_steadily(&vec![7; BODY_BYTES], MAX_PAUSE, clock.now() + span);
    let elapsed = started.elapsed();
    is_done.store(true, Ordering::Release);
    drop(stream);
    reader.join().unwrap();
    (result, elapsed)
}

#[test]
fn a_slow_reader_gets_its_whole_answer() {
    let (result, elapsed) = write_to(200 << 10, TimeSpan::from_secs(30));
    assert!(result.is_ok(), "{result:?} after {elapsed:?}");
    assert!(elapsed > Duration::from(MAX_PAUSE), "{elapsed:?}: the reader was not slow");
}

#[test]
fn a_reader_that_takes_nothing_ends_the_answer_soon() {
    let (result, elapsed) = write_to(0, TimeSpan::from_secs(30));
    assert_eq!(result.unwrap_err().kind(), ErrorKind::TimedOut);
    assert!(elapsed < Duration::from(MAX_PAUSE) * 4, "{elapsed:?}");
}

#[test]
fn a_reader_that_takes_a_byte_now_and_then_ends_the_answer_at_its_time() {
    let span = TimeSpan::from_millis(1_500);
    let (result, elapsed) = write_to(1, span);
    assert_eq!(result.unwrap_err().kind(), ErrorKind::TimedOut);
    assert!(elapsed < Duration::from(span) + Duration::from(MAX_PAUSE), "{elapsed:?}");
}
