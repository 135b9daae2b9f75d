//! HTTP/1.1 over plain sockets: framing, chunked bodies, heads, event streams, pooled and abandoned
//! connections.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use gentian_core::{ByteSize, MonoTime, TimeSpan};
use gentian_http::ProcessClock;
use gentian_http::forward::{
    BodyBuffer, BodyError, BodyFraming, BodyRoom, BufferBudget, BufferedStream, CallLimits,
    ChunkDecoder, ConnectionPool, EventSplitter, FramingError, HeadError, HeadParser, HeaderList,
    PooledCallError, PooledClient, RequestHead, ResponseHead, WaitOutcome, read_body_into,
    read_request_body,
};
use proptest::prelude::*;
use rstest::rstest;

const TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

fn deadline(clock: ProcessClock) -> MonoTime {
    clock.now() + TIMEOUT
}

/// Accepts `times` connections one after the other and passes each to `serve`.
fn serve(times: usize, serve: impl Fn(TcpStream) + Send + 'static) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let thread = std::thread::spawn(move || {
        for _ in 0..times {
            serve(listener.accept().unwrap().0);
        }
    });
    (address, thread)
}

/// Returns a stream whose peer writes `bytes` one at a time and closes the connection.
fn stream_of(bytes: &'static [u8]) -> (BufferedStream, ProcessClock, JoinHandle<()>) {
    let (address, thread) = serve(1, move |mut peer| {
        for byte in bytes {
            peer.write_all(&[*byte]).unwrap();
        }
    });
    let clock = ProcessClock::new();
    (BufferedStream::connect(address, TIMEOUT, clock).unwrap(), clock, thread)
}

fn headers(fields: &[(&str, &str)]) -> HeaderList {
    fields.iter().fold(HeaderList::new(), |list, (name, value)| list.with(*name, *value))
}

#[rstest]
#[case::length(&[("Content-Length", "12")], Ok(BodyFraming::Length(12)))]
#[case::none(&[], Ok(BodyFraming::Length(0)))]
#[case::chunked(&[("Transfer-Encoding", "Chunked")], Ok(BodyFraming::Chunked))]
#[case::same_twice(&[("Content-Length", "5"), ("content-length", "5")], Ok(BodyFraming::Length(5)))]
#[case::two_lengths(&[("Content-Length", "5"), ("Content-Length", "6")], Err(FramingError::BadLength))]
#[case::signed(&[("Content-Length", "+5")], Err(FramingError::BadLength))]
#[case::list(&[("Content-Length", "5, 5")], Err(FramingError::BadLength))]
#[case::smuggled(&[("Content-Length", "5"), ("Transfer-Encoding", "chunked")], Err(FramingError::Ambiguous))]
#[case::gzip(&[("Transfer-Encoding", "gzip, chunked")], Err(FramingError::UnknownEncoding))]
fn framing_of_requests(
    #[case] fields: &[(&str, &str)],
    #[case] expected: Result<BodyFraming, FramingError>,
) {
    assert_eq!(BodyFraming::of_request(&headers(fields)), expected);
}

#[test]
fn a_response_without_a_length_ends_with_its_connection() {
    let framing = |method, status| BodyFraming::of_response(method, status, &headers(&[]));
    assert_eq!(framing("GET", 200), Ok(BodyFraming::UntilClose));
    assert_eq!(framing("GET", 204), Ok(BodyFraming::Length(0)));
    assert_eq!(framing("HEAD", 200), Ok(BodyFraming::Length(0)));
}

#[rstest]
#[case::partial(b"GET / HTTP/1.1\r\nHost: a", Ok(false))]
#[case::whole(b"GET / HTTP/1.1\r\nHost: a\r\n\r\nrest", Ok(true))]
#[case::space_before_colon(b"GET / HTTP/1.1\r\nHost : a\r\n\r\n", Err(HeadError::Malformed))]
#[case::not_http(b"\x16\x03\x01\x02\x00\x01\x00", Err(HeadError::Malformed))]
fn heads_of_requests(#[case] bytes: &[u8], #[case] expected: Result<bool, HeadError>) {
    assert_eq!(RequestHead::parse(bytes, 1_000).map(|head| head.is_some()), expected);
}

#[test]
fn a_head_beyond_the_limit_is_rejected_before_its_end() {
    let bytes = format!("GET / HTTP/1.1\r\nPad: {}", "x".repeat(200));
    assert_eq!(RequestHead::parse(bytes.as_bytes(), 100), Err(HeadError::TooLarge));
}

#[rstest]
#[case::whole(b"5\r\nhello\r\n3;x=y\r\n ab\r\n0\r\nTrail: 1\r\n\r\n", Some("hello ab"))]
#[case::no_size(b"\r\nhello\r\n", None)]
#[case::negative(b"-5\r\nhello\r\n", None)]
#[case::too_large(b"fffffffffffffffff\r\n", None)]
#[case::bare_newline(b"5\nhello\r\n", None)]
#[case::long_chunk(b"5\r\nhello!\r\n", None)]
fn chunked_bodies(#[case] bytes: &[u8], #[case] expected: Option<&str>) {
    let mut body = Vec::new();
    let decoded = ChunkDecoder::new().decode(bytes, &mut body);
    let text = decoded.ok().and_then(|_| String::from_utf8(body).ok());
    assert_eq!(text.as_deref(), expected);
}

proptest! {
    #[test]
    fn chunks_decode_the_same_however_they_are_split(
        chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..40), 0..8),
        step in 1_usize..9,
    ) {
        let mut wire = Vec::new();
        for chunk in &chunks {
            wire.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            wire.extend_from_slice(chunk);
            wire.extend_from_slice(b"\r\n");
        }
        wire.extend_from_slice(b"0\r\n\r\n");
        let (mut decoder, mut body, mut pending) = (ChunkDecoder::new(), Vec::new(), Vec::new());
        for piece in wire.chunks(step) {
            pending.extend_from_slice(piece);
            let used = decoder.decode(&pending, &mut body).unwrap();
            pending.drain(..used);
        }
        prop_assert!(decoder.is_done());
        prop_assert_eq!(body, chunks.concat());
    }

    /// No input makes a decoder panic; malformed input is an error value.
    #[test]
    fn no_input_makes_a_decoder_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let heads = (RequestHead::parse(&bytes, 100).is_ok(), ResponseHead::parse(&bytes).is_ok());
        let used = ChunkDecoder::new().decode(&bytes, &mut Vec::new()).unwrap_or(0);
        let whole = EventSplitter::new().push(&bytes).unwrap();
        prop_assert!(used <= bytes.len() && whole.len() <= bytes.len(), "{:?}", heads);
    }
}

#[test]
fn only_complete_events_are_returned() {
    let mut events = EventSplitter::new();
    assert_eq!(events.push(b"id: 1\nda").unwrap(), b"");
    assert_eq!(events.push(b"ta: a\n\nid: 2\ndata").unwrap(), b"id: 1\ndata: a\n\n");
    assert_eq!(events.last_id(), Some(1));
    events.discard_partial();
    assert_eq!(events.push(b"id: 2\ndata: b\n\n").unwrap(), b"id: 2\ndata: b\n\n");
    assert_eq!(events.last_id(), Some(2));
    assert_eq!(events.finish(), b"");
}

#[test]
fn a_body_is_read_byte_by_byte() {
    let (mut stream, clock, thread) = stream_of(b"4\r\nbody\r\n0\r\n\r\n");
    let body = read_request_body(&mut stream, BodyFraming::Chunked, 100, deadline(clock));
    assert_eq!(body.unwrap(), b"body");
    thread.join().unwrap();
}

#[rstest]
#[case::in_a_chunk(b"9\r\nbody", BodyFraming::Chunked)]
#[case::before_the_length(b"body", BodyFraming::Length(5))]
fn a_truncated_body_is_an_error(#[case] bytes: &'static [u8], #[case] framing: BodyFraming) {
    let (mut stream, clock, thread) = stream_of(bytes);
    let body = read_request_body(&mut stream, framing, 100, deadline(clock));
    assert!(matches!(body, Err(BodyError::Truncated)), "{body:?}");
    thread.join().unwrap();
}

#[test]
fn a_body_beyond_the_limit_is_rejected() {
    let (mut stream, clock, thread) = stream_of(b"0123456789");
    let body = read_request_body(&mut stream, BodyFraming::Length(10), 4, deadline(clock));
    assert!(matches!(body, Err(BodyError::TooLarge)));
    thread.join().unwrap();
}

#[test]
fn a_read_from_a_silent_peer_times_out_at_the_deadline() {
    let (address, thread) = serve(1, |peer| {
        std::thread::sleep(Duration::from_millis(300));
        drop(peer);
    });
    let clock = ProcessClock::new();
    let mut stream = BufferedStream::connect(address, TIMEOUT, clock).unwrap();
    let error = stream.fill(clock.now() + TimeSpan::from_millis(50)).unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
    thread.join().unwrap();
}

#[test]
fn an_early_response_stops_the_writing() {
    let (address, thread) = serve(1, |mut peer| {
        peer.write_all(b"HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n").unwrap();
        std::thread::sleep(Duration::from_millis(300));
    });
    let clock = ProcessClock::new();
    let mut stream = BufferedStream::connect(address, TIMEOUT, clock).unwrap();
    let body = vec![b'x'; 32 << 20];
    assert!(stream.write_request(&body, deadline(clock)).unwrap() < body.len());
    thread.join().unwrap();
}

#[test]
fn a_closed_client_is_detected_while_waiting_for_a_response() {
    let (upstream, upstream_thread) = serve(1, |peer| {
        std::thread::sleep(Duration::from_millis(300));
        drop(peer);
    });
    let (client, client_thread) = serve(1, drop);
    let clock = ProcessClock::new();
    let stream = BufferedStream::connect(upstream, TIMEOUT, clock).unwrap();
    let other = BufferedStream::connect(client, TIMEOUT, clock).unwrap();
    client_thread.join().unwrap();
    assert_eq!(
        stream.wait_for_input_or_close(&other, deadline(clock)).unwrap(),
        WaitOutcome::OtherClosed
    );
    upstream_thread.join().unwrap();
}

/// A request may be read long after it was sent; by then its client may have closed the connection.
#[test]
fn a_client_that_closed_after_its_request_is_detected() {
    let (mut stream, clock, thread) = stream_of(b"GET / HTTP/1.1\r\n\r\n");
    thread.join().unwrap();
    assert!(stream.fill(deadline(clock)).unwrap() > 0);
    assert!(stream.is_peer_closed());
}

#[test]
fn a_waiting_client_is_not_closed() {
    let (address, thread) = serve(1, |mut peer| {
        peer.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
        assert_eq!(peer.read(&mut [0; 10]).unwrap(), 0);
    });
    let clock = ProcessClock::new();
    let mut stream = BufferedStream::connect(address, TIMEOUT, clock).unwrap();
    assert!(stream.fill(deadline(clock)).unwrap() > 0);
    assert!(!stream.is_peer_closed());
    drop(stream);
    thread.join().unwrap();
}

/// An abandoned request must not arrive later: without a reset, the kernel would go on sending the
/// bytes in its send buffer.
#[test]
fn an_abandoned_call_is_reset() {
    let (address, thread) = serve(1, |mut peer| {
        std::thread::sleep(Duration::from_millis(300));
        let error = peer.read_to_end(&mut Vec::new()).unwrap_err();
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    });
    let clock = ProcessClock::new();
    let pool = ConnectionPool::new(clock);
    let mut stream = pool.acquire(address, TIMEOUT).unwrap();
    let short = clock.now() + TimeSpan::from_millis(50);
    assert!(stream.write_all(&vec![b'x'; 32 << 20], short).is_err());
    drop(stream);
    thread.join().unwrap();
}

const CALL_LIMITS: CallLimits =
    CallLimits { connect: TIMEOUT, response: TIMEOUT, body: TIMEOUT, send_until: None };

fn request_head() -> RequestHead {
    RequestHead {
        method: "GET".into(),
        target: "/".into(),
        is_http11: true,
        headers: headers(&[("Host", "a")]),
    }
}

fn call(
    client: &PooledClient,
    address: SocketAddr,
) -> Result<(ResponseHead, Vec<u8>), PooledCallError> {
    client.call(address, &request_head(), b"", CALL_LIMITS)
}

/// Bytes after a response belong to no request, so the connection must not be reused.
#[test]
fn a_connection_with_extra_bytes_is_not_reused() {
    let (address, thread) = serve(2, |mut peer| {
        assert!(peer.read(&mut [0; 100]).unwrap() > 0);
        peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500 Stray\r\n\r\n")
            .unwrap();
    });
    let clock = ProcessClock::new();
    let client = PooledClient::new(ConnectionPool::new(clock), clock);
    for _ in 0..2 {
        assert_eq!(call(&client, address).unwrap().1, b"ok");
    }
    thread.join().unwrap();
}

#[test]
fn a_refused_connection_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let clock = ProcessClock::new();
    let client = PooledClient::new(ConnectionPool::new(clock), clock);
    assert!(matches!(call(&client, address), Err(PooledCallError::NotSent(_))));
}

#[test]
fn a_call_without_a_response_may_have_been_received() {
    let (address, thread) = serve(1, |mut peer| {
        assert!(peer.read(&mut [0; 100]).unwrap() > 0);
    });
    let clock = ProcessClock::new();
    let client = PooledClient::new(ConnectionPool::new(clock), clock);
    assert!(matches!(call(&client, address), Err(PooledCallError::Unknown(_))));
    thread.join().unwrap();
}

#[test]
fn an_event_without_end_is_an_error() {
    let mut events = EventSplitter::new();
    let piece = [b'x'; 64 << 10];
    assert!((0..64).any(|_| events.push(&piece).is_err()));
}

#[test]
fn a_trailer_without_end_is_an_error() {
    let (mut decoder, mut body) = (ChunkDecoder::new(), Vec::new());
    decoder.decode(b"0\r\n", &mut body).unwrap();
    let is_error = |_| decoder.decode(b"Trailer: x\r\n", &mut body).is_err();
    assert!((0..10_000).any(is_error));
}

/// The peer writes faster than the body is read, so that a read never has to wait.
#[test]
fn a_peer_that_never_stops_sending_does_not_prolong_the_deadline() {
    let (address, thread) = serve(1, |mut peer| while peer.write_all(&[b'x'; 64 << 10]).is_ok() {});
    let clock = ProcessClock::new();
    let mut stream = BufferedStream::connect(address, TIMEOUT, clock).unwrap();
    let deadline = clock.now() + TimeSpan::from_millis(200);
    let error = loop {
        match stream.fill(deadline) {
            Ok(count) => stream.consume(count),
            Err(error) => break error,
        }
    };
    assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
    assert!(clock.now() < deadline + TimeSpan::from_millis(500));
    drop(stream);
    thread.join().unwrap();
}

#[test]
fn open_responses_share_a_budget_of_memory() {
    let budget = BufferBudget::new(100);
    let (mut first, mut second) = (budget.reserve(), budget.reserve());
    assert!(first.grow_to(60));
    assert!(!second.grow_to(41), "both together exceed the budget");
    assert!(second.grow_to(40));
    assert!(second.grow_to(40), "a reservation that does not grow takes nothing more");
    drop(first);
    assert!(second.grow_to(100));
}

/// The server refuses the first request, and writes the refusal once more when the next one arrives
/// on the same connection.
#[test]
fn a_repeated_refusal_is_not_the_response_to_the_next_call() {
    let connections = AtomicUsize::new(0);
    let (address, thread) = serve(2, move |mut peer| {
        assert!(peer.read(&mut [0; 100]).unwrap() > 0);
        let is_first = connections.fetch_add(1, Ordering::Relaxed) == 0;
        let status = if is_first { "409 Conflict" } else { "202 Accepted" };
        let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        peer.write_all(response.as_bytes()).unwrap();
        std::thread::spawn(move || {
            while peer.read(&mut [0; 100]).is_ok_and(|count| count > 0) {
                peer.write_all(response.as_bytes()).unwrap();
            }
        });
    });
    let clock = ProcessClock::new();
    let client = PooledClient::new(ConnectionPool::new(clock), clock).with_close_after_refusal();
    assert_eq!(call(&client, address).unwrap().0.status, 409);
    assert_eq!(call(&client, address).unwrap().0.status, 202);
    thread.join().unwrap();
}

/// However much large bodies hold, a small one finds room.
#[test]
fn large_bodies_leave_room_for_small_ones() {
    let budget = BufferBudget::new(1 << 20);
    let piece = [b'x'; 16 << 10];
    let mut large: Vec<BodyBuffer> = (0..8).map(|_| BodyBuffer::new(&budget)).collect();
    for body in &mut large {
        while body.append(&piece) {}
    }
    let held: usize = large.iter().map(BodyBuffer::len).sum();
    assert!(held <= (1 << 20) + large.len() * piece.len(), "{held}");
    let mut small = BodyBuffer::new(&budget);
    assert!(small.append(&piece));
    drop(large);
    assert!(small.append(&[b'y'; 100]));
    let bytes: Vec<u8> = small.pieces().flatten().copied().collect();
    assert_eq!(bytes.len(), piece.len() + 100);
    assert!(bytes.ends_with(b"xyyy") || bytes.ends_with(&[b'y'; 100]));
}

#[test]
fn a_body_of_many_pieces_stays_in_order() {
    let budget = BufferBudget::new(8 << 20);
    let sent: Vec<u8> = (0..300_000_u32).map(|number| number as u8).collect();
    let mut body = BodyBuffer::new(&budget);
    assert!(sent.chunks(7_001).all(|chunk| body.append(chunk)));
    let received: Vec<u8> = body.pieces().flatten().copied().collect();
    assert_eq!(received, sent);
}

#[test]
fn a_head_is_parsed_byte_by_byte() {
    let text = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let mut parser = HeadParser::new();
    let found = (1..=text.len()).find_map(|end| parser.parse(&text[..end]).unwrap());
    let (head, length) = found.unwrap();
    assert_eq!((head.status, &text[length..]), (200, &b"ok"[..]));
}

/// A server that answers a call with bytes that never end is left once they exceed the limit.
#[rstest]
#[case::status_line("HTTP/1.1 200 ", "x")]
#[case::field("HTTP/1.1 200 OK\r\nField: ", "x")]
#[case::fields("HTTP/1.1 200 OK\r\n", "Field: x\r\n")]
#[case::body_with_length("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x")]
#[case::body_without_length("HTTP/1.1 200 OK\r\n\r\n", "x")]
#[case::chunk_size("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x")]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n")]
#[case::trailer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Field: x\r\n")]
fn a_call_ends_that_is_answered_without_end(#[case] start: &'static str, #[case] text: &str) {
    let block = text.repeat(4_096);
    let (address, thread) = serve(1, move |mut peer| {
        assert!(peer.read(&mut [0; 100]).unwrap() > 0);
        let mut is_open = peer.write_all(start.as_bytes()).is_ok();
        while is_open {
            is_open = peer.write_all(block.as_bytes()).is_ok();
        }
    });
    let clock = ProcessClock::new();
    let client = PooledClient::new(ConnectionPool::new(clock), clock);
    let client = client.with_max_response_bytes(100_000);
    let started = clock.now();
    assert!(matches!(call(&client, address), Err(PooledCallError::Unknown(_))));
    assert!(clock.now().since(started) < TIMEOUT, "the call ended at its deadline only");
    thread.join().unwrap();
}

/// The body takes longer than a byte of it may take.
#[rstest]
#[case::steady(10, true)]
#[case::paused(600, false)]
fn a_large_body_on_a_slow_link_was_given_up(#[case] pause_millis: u64, #[case] is_read: bool) {
    let (address, thread) = serve(1, move |mut peer| {
        assert!(peer.read(&mut [0; 100]).unwrap() > 0);
        let mut is_open = peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n").is_ok();
        for _ in 0..40 {
            std::thread::sleep(Duration::from_millis(pause_millis));
            is_open = is_open && peer.write_all(b"x").is_ok();
            if !is_open {
                return;
            }
        }
    });
    let clock = ProcessClock::new();
    let client = PooledClient::new(ConnectionPool::new(clock), clock);
    let limit = TimeSpan::from_millis(200);
    let limits = CallLimits { connect: TIMEOUT, response: limit, body: TIMEOUT, send_until: None };
    let result = client.call(address, &request_head(), b"", limits);
    assert_eq!(result.is_ok(), is_read, "{result:?}");
    thread.join().unwrap();
}

/// A body of declared length reserves its bytes in advance, waits while others hold them, and frees them
/// at its end.
#[test]
fn a_large_request_body_waits_for_room() {
    let budget = BufferBudget::new(10 << 20);
    let BodyRoom::Reserved(first) = budget.reserve_body(4 << 20) else { panic!("no room") };
    let BodyRoom::Waiting(wait) = budget.reserve_body(4 << 20) else { panic!("did not wait") };
    assert!(wait.wait(Duration::from_millis(20)).is_none());
    let waiter = std::thread::spawn(move || wait.wait(Duration::from_secs(20)));
    drop(first);
    let second = waiter.join().unwrap().unwrap();
    assert_eq!(budget.used(), ByteSize::new(4 << 20));
    drop(second);
    assert_eq!((budget.used(), budget.waiting()), (ByteSize::ZERO, ByteSize::ZERO));
}

/// Many chunked bodies that grow at once find no room, instead of waiting for one another.
#[test]
fn chunked_bodies_without_room_fail_at_once() {
    let budget = BufferBudget::new(1 << 20);
    let (mut stream, clock, thread) = stream_of(b"40000\r\n");
    let mut held = BodyBuffer::for_request(budget.reserve());
    while held.append(&[b'x'; 16 << 10]) {}
    let mut body = BodyBuffer::for_request(budget.reserve());
    let bytes = vec![b'y'; 300_000];
    assert!(!body.append(&bytes), "no room for a large body");
    assert!(body.append(&bytes[..100_000]), "room for a small one");
    drop(held);
    drop(body);
    assert_eq!(budget.used(), ByteSize::ZERO);
    let mut body = BodyBuffer::for_request(budget.reserve());
    let result =
        read_body_into(&mut stream, BodyFraming::Chunked, 1 << 20, deadline(clock), &mut body);
    assert!(matches!(result, Err(BodyError::Truncated)), "{result:?}");
    thread.join().unwrap();
}

/// A body that its caller announces or sends beyond the limit isn't read to its end.
#[rstest]
#[case::announced(b"", BodyFraming::Length(101))]
#[case::sent(
    b"ff\r\n0123456789012345678901234567890123456789012345678901234567890123456789\
    0123456789012345678901234567890123456789",
    BodyFraming::Chunked
)]
fn a_request_body_over_the_limit_is_rejected(
    #[case] bytes: &'static [u8],
    #[case] framing: BodyFraming,
) {
    let budget = BufferBudget::new(1 << 20);
    let (mut stream, clock, thread) = stream_of(bytes);
    let mut body = BodyBuffer::for_request(budget.reserve());
    let result = read_body_into(&mut stream, framing, 100, deadline(clock), &mut body);
    assert!(matches!(result, Err(BodyError::TooLarge)), "{result:?}");
    thread.join().unwrap();
}

/// Idle connections count towards the descriptors of the process.
#[test]
fn a_pool_keeps_a_limited_number_of_idle_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let pool = ConnectionPool::new(ProcessClock::new()).with_max_idle(2);
    let streams: Vec<BufferedStream> =
        (0..4).map(|_| pool.acquire(address, TimeSpan::from_secs(1)).unwrap()).collect();
    streams.into_iter().for_each(|stream| pool.release(address, stream, None));
    assert_eq!(pool.idle_count(), 2);
    let reused = pool.acquire(address, TimeSpan::from_secs(1)).unwrap();
    assert!(reused.is_reused());
    assert_eq!(pool.idle_count(), 1);
}
