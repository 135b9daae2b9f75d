//! Forwarding byte by byte: framing, chunks, heads, events, kept and abandoned connections.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

use gentian_core::{MonoTime, TimeSpan};
use gentian_http::ProcessClock;
use gentian_http::forward::{
    BodyError, BodyFraming, BufferedStream, CallLimits, ChunkDecoder, ConnectionPool,
    EventSplitter, FramingError, HeadError, HeaderList, PooledCallError, PooledClient, RequestHead,
    ResponseHead, WaitOutcome, read_request_body, read_response_body,
};
use proptest::prelude::*;
use rstest::rstest;

const LIMIT: TimeSpan = TimeSpan::from_secs(2);

fn soon(clock: ProcessClock) -> MonoTime {
    clock.now() + LIMIT
}

/// Accepts one connection after the other and hands each to `serve`.
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

/// A stream whose peer writes `bytes`, one at a time, and closes.
fn stream_of(bytes: &'static [u8]) -> (BufferedStream, ProcessClock, JoinHandle<()>) {
    let (address, thread) = serve(1, move |mut peer| {
        for byte in bytes {
            peer.write_all(&[*byte]).unwrap();
        }
    });
    let clock = ProcessClock::new();
    (BufferedStream::connect(address, LIMIT, clock).unwrap(), clock, thread)
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
fn an_answer_without_a_length_ends_with_its_connection() {
    assert_eq!(BodyFraming::of_response(200, &headers(&[])), Ok(BodyFraming::UntilClose));
    assert_eq!(BodyFraming::of_response(204, &headers(&[])), Ok(BodyFraming::Length(0)));
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
fn a_head_beyond_the_limit_is_refused_before_its_end() {
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
    fn chunks_decode_the_same_however_they_are_cut(
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

    /// Outcomes are values: no bytes make a decoder panic.
    #[test]
    fn no_bytes_break_the_decoders(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let heads = (RequestHead::parse(&bytes, 100).is_ok(), ResponseHead::parse(&bytes).is_ok());
        let used = ChunkDecoder::new().decode(&bytes, &mut Vec::new()).unwrap_or(0);
        let whole = EventSplitter::new().push(&bytes);
        prop_assert!(used <= bytes.len() && whole.len() <= bytes.len(), "{:?}", heads);
    }
}

#[test]
fn events_are_handed_on_whole() {
    let mut events = EventSplitter::new();
    assert_eq!(events.push(b"id: 1\nda"), b"");
    assert_eq!(events.push(b"ta: a\n\nid: 2\ndata"), b"id: 1\ndata: a\n\n");
    assert_eq!(events.last_id(), Some(1));
    events.discard_partial();
    assert_eq!(events.push(b"id: 2\ndata: b\n\n"), b"id: 2\ndata: b\n\n");
    assert_eq!(events.last_id(), Some(2));
    assert_eq!(events.finish(), b"");
}

#[test]
fn a_body_is_read_byte_by_byte() {
    let (mut stream, clock, thread) = stream_of(b"4\r\nbody\r\n0\r\n\r\n");
    let body = read_request_body(&mut stream, BodyFraming::Chunked, 100, soon(clock));
    assert_eq!(body.unwrap(), b"body");
    thread.join().unwrap();
}

#[rstest]
#[case::in_a_chunk(b"9\r\nbody", BodyFraming::Chunked)]
#[case::before_the_length(b"body", BodyFraming::Length(5))]
fn a_cut_body_is_not_whole(#[case] bytes: &'static [u8], #[case] framing: BodyFraming) {
    let (mut stream, clock, thread) = stream_of(bytes);
    let body = read_response_body(&mut stream, framing, 100, soon(clock));
    assert!(matches!(body, Err(BodyError::Truncated)), "{body:?}");
    thread.join().unwrap();
}

#[test]
fn a_body_without_a_length_ends_with_a_close() {
    let (mut stream, clock, thread) = stream_of(b"body");
    let body = read_response_body(&mut stream, BodyFraming::UntilClose, 100, soon(clock));
    assert_eq!(body.unwrap(), b"body");
    thread.join().unwrap();
}

#[test]
fn a_body_beyond_the_limit_is_refused() {
    let (mut stream, clock, thread) = stream_of(b"0123456789");
    let body = read_response_body(&mut stream, BodyFraming::Length(10), 4, soon(clock));
    assert!(matches!(body, Err(BodyError::TooLarge)));
    thread.join().unwrap();
}

#[test]
fn a_silent_peer_ends_at_the_deadline() {
    let (address, thread) = serve(1, |peer| {
        std::thread::sleep(Duration::from_millis(300));
        drop(peer);
    });
    let clock = ProcessClock::new();
    let mut stream = BufferedStream::connect(address, LIMIT, clock).unwrap();
    let error = stream.fill(clock.now() + TimeSpan::from_millis(50)).unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
    thread.join().unwrap();
}

#[test]
fn an_early_answer_stops_the_writing() {
    let (address, thread) = serve(1, |mut peer| {
        peer.write_all(b"HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n").unwrap();
        std::thread::sleep(Duration::from_millis(300));
    });
    let clock = ProcessClock::new();
    let mut stream = BufferedStream::connect(address, LIMIT, clock).unwrap();
    let body = vec![b'x'; 32 << 20];
    assert!(!stream.write_request(&body, soon(clock)).unwrap());
    thread.join().unwrap();
}

#[test]
fn a_caller_that_leaves_is_noticed_while_an_answer_is_awaited() {
    let (upstream, upstream_thread) = serve(1, |peer| {
        std::thread::sleep(Duration::from_millis(300));
        drop(peer);
    });
    let (caller, caller_thread) = serve(1, drop);
    let clock = ProcessClock::new();
    let stream = BufferedStream::connect(upstream, LIMIT, clock).unwrap();
    let other = BufferedStream::connect(caller, LIMIT, clock).unwrap();
    caller_thread.join().unwrap();
    assert_eq!(
        stream.wait_for_input_or_close(&other, soon(clock)).unwrap(),
        WaitOutcome::OtherClosed
    );
    upstream_thread.join().unwrap();
}

/// A request can be read long after it was sent, with its caller gone behind it.
#[test]
fn a_caller_that_left_behind_its_request_is_noticed() {
    let (mut stream, clock, thread) = stream_of(b"GET / HTTP/1.1\r\n\r\n");
    thread.join().unwrap();
    assert!(stream.fill(soon(clock)).unwrap() > 0);
    assert!(stream.is_peer_closed());
}

#[test]
fn a_caller_that_waits_is_not_gone() {
    let (address, thread) = serve(1, |mut peer| {
        peer.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
        assert_eq!(peer.read(&mut [0; 10]).unwrap(), 0);
    });
    let clock = ProcessClock::new();
    let mut stream = BufferedStream::connect(address, LIMIT, clock).unwrap();
    assert!(stream.fill(soon(clock)).unwrap() > 0);
    assert!(!stream.is_peer_closed());
    drop(stream);
    thread.join().unwrap();
}

/// A request that was given up must not arrive later: without a reset the system would go on
/// sending what is still in its buffers.
#[test]
fn an_abandoned_call_is_reset() {
    let (address, thread) = serve(1, |mut peer| {
        std::thread::sleep(Duration::from_millis(300));
        let error = peer.read_to_end(&mut Vec::new()).unwrap_err();
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    });
    let clock = ProcessClock::new();
    let pool = ConnectionPool::new(clock);
    let mut stream = pool.acquire(address, LIMIT).unwrap();
    let short = clock.now() + TimeSpan::from_millis(50);
    assert!(stream.write_all(&vec![b'x'; 32 << 20], short).is_err());
    drop(stream);
    thread.join().unwrap();
}

fn call(
    caller: &PooledClient,
    address: SocketAddr,
) -> Result<(ResponseHead, Vec<u8>), PooledCallError> {
    let head = RequestHead {
        method: "GET".into(),
        target: "/".into(),
        is_http11: true,
        headers: headers(&[("Host", "a")]),
    };
    caller.call(
        address,
        &head,
        b"",
        CallLimits { connect: LIMIT, response: LIMIT, send_until: None },
    )
}

/// Bytes behind an answer belong to no call: the connection is not used again.
#[test]
fn a_connection_with_extra_bytes_is_not_kept() {
    let (address, thread) = serve(2, |mut peer| {
        assert!(peer.read(&mut [0; 100]).unwrap() > 0);
        peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500 Stray\r\n\r\n")
            .unwrap();
    });
    let clock = ProcessClock::new();
    let caller = PooledClient::new(ConnectionPool::new(clock), clock);
    for _ in 0..2 {
        assert_eq!(call(&caller, address).unwrap().1, b"ok");
    }
    thread.join().unwrap();
}

#[test]
fn a_call_that_nobody_takes_was_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let clock = ProcessClock::new();
    let caller = PooledClient::new(ConnectionPool::new(clock), clock);
    assert!(matches!(call(&caller, address), Err(PooledCallError::NotSent(_))));
}

#[test]
fn a_call_without_an_answer_may_have_been_received() {
    let (address, thread) = serve(1, |mut peer| {
        assert!(peer.read(&mut [0; 100]).unwrap() > 0);
    });
    let clock = ProcessClock::new();
    let caller = PooledClient::new(ConnectionPool::new(clock), clock);
    assert!(matches!(call(&caller, address), Err(PooledCallError::Unknown(_))));
    thread.join().unwrap();
}
