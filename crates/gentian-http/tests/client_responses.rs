//! What is a response and when it is whole, for each client of this crate: calls to servers on loopback.

#![allow(clippy::unwrap_used)]

mod damaged_response;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

use damaged_response::{encode, grammar_positions};
use gentian_core::TimeSpan;
use gentian_http::forward::{
    CallLimits, ConnectionPool, HeaderList, PooledCallError, PooledClient, RequestHead,
};
use gentian_http::{CallError, HttpClient, ProcessClock};
use proptest::prelude::*;
use rstest::rstest;

const TIMEOUT: TimeSpan = TimeSpan::from_secs(3);
const MAX_BODY_BYTES: usize = 1 << 20;
/// More than the buffers of two sockets hold.
const LONG_REQUEST_BYTES: usize = 12 << 20;
/// Size of the receive buffers of the servers.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// How a server goes on after its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerEnd {
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Ends its side, and resets the connection after this time without reading the request.
    CloseThenReset(Duration),
    /// Ends its side and reads the request to its end.
    CloseThenRead,
}

/// Responses one request with `bytes` at once, after the head or after all of the request.
fn serve(
    bytes: impl AsRef<[u8]> + Send + 'static,
    end: ServerEnd,
    reads_request: bool,
) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    // Connections inherit the size, so that they don't take long requests unread.
    socket2::SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let thread = std::thread::spawn(move || {
        let (mut peer, _) = listener.accept().unwrap();
        let mut buffer = vec![0; 64 << 10];
        let mut received = peer.read(&mut buffer).unwrap();
        while reads_request && received < LONG_REQUEST_BYTES {
            received += peer.read(&mut buffer).unwrap();
        }
        peer.write_all(bytes.as_ref()).unwrap();
        finish(peer, end);
    });
    (address, thread)
}

fn finish(mut peer: TcpStream, end: ServerEnd) {
    match end {
        ServerEnd::Close => {}
        ServerEnd::Reset => reset(peer),
        ServerEnd::CloseThenReset(pause) => {
            peer.shutdown(Shutdown::Write).unwrap();
            std::thread::sleep(pause);
            reset(peer);
        }
        ServerEnd::CloseThenRead => {
            peer.shutdown(Shutdown::Write).unwrap();
            let mut buffer = vec![0; 64 << 10];
            while peer.read(&mut buffer).is_ok_and(|count| count > 0) {}
        }
    }
}

fn reset(peer: TcpStream) {
    socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
}

fn call_pooled(address: SocketAddr, body: &[u8]) -> Result<(u16, Vec<u8>), PooledCallError> {
    let clock = ProcessClock::new();
    let client = PooledClient::new(ConnectionPool::new(clock), clock);
    let headers =
        HeaderList::new().with("Host", "a").with("Content-Length", body.len().to_string());
    let (method, target) = ("POST".to_owned(), "/".to_owned());
    let head = RequestHead { method, target, is_http11: true, headers };
    let limits =
        CallLimits { connect: TIMEOUT, response: TIMEOUT, body: TIMEOUT, send_until: None };
    client.call(address, &head, body, limits).map(|(head, body)| (head.status, body))
}

fn call_client(address: SocketAddr, body: &[u8]) -> Result<(u16, Vec<u8>), CallError> {
    HttpClient::new(address, TIMEOUT).call_and_read("POST", "/", body, MAX_BODY_BYTES)
}

/// Reads a body as streams are read, which may be without a length.
fn stream_client(address: SocketAddr, body: &[u8]) -> Result<Vec<u8>, String> {
    let response = HttpClient::new(address, TIMEOUT).call("POST", "/", &[], body);
    let mut response = response.map_err(|error| error.to_string())?;
    let mut text = Vec::new();
    response.read_to_end(&mut text).map_err(|error| error.to_string())?;
    Ok(text)
}

const UNFRAMED: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n20 of 43 bytes of it";
const FRAMED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const TOO_LARGE: &[u8] = b"HTTP/1.1 413 Large\r\nContent-Length: 2\r\n\r\nno";

/// A server that responses a long request at once without a length, and has stopped reading it, may have
/// sent only a part of its response, which counted as whole.
#[rstest]
#[case::soon(Duration::from_millis(50))]
#[case::late(Duration::from_secs(1))]
fn a_part_of_a_response_to_an_unread_request_counted_as_whole(#[case] pause: Duration) {
    let body = vec![b'x'; LONG_REQUEST_BYTES];
    for call in [
        |address, body: &[u8]| {
            call_pooled(address, body).map_err(|error| error.to_string()).map(|_| ())
        },
        |address, body: &[u8]| {
            call_client(address, body).map_err(|error| error.to_string()).map(|_| ())
        },
        |address, body: &[u8]| stream_client(address, body).map(|_| ()),
    ] {
        let (address, thread) = serve(UNFRAMED, ServerEnd::CloseThenReset(pause), false);
        assert!(call(address, &body).is_err());
        thread.join().unwrap();
    }
}

/// The request fits into the buffer of its sender, so that its writing ends, but the server takes only a
/// part of it.
#[test]
fn a_part_of_a_response_to_an_unsent_request_counted_as_whole() {
    let body = vec![b'x'; 1 << 20];
    let end = ServerEnd::CloseThenReset(Duration::from_millis(700));
    let (address, thread) = serve(UNFRAMED, end, false);
    assert!(call_pooled(address, &body).is_err());
    thread.join().unwrap();
}

/// A write finds the reset first and takes the error of the connection with it, so that a read finds
/// only its end.
#[test]
fn a_reset_that_a_write_has_seen_looked_like_an_end() {
    let (address, thread) = serve(UNFRAMED, ServerEnd::CloseThenReset(Duration::ZERO), false);
    let clock = ProcessClock::new();
    let pool = ConnectionPool::new(clock);
    let mut stream = pool.acquire(address, TIMEOUT).unwrap();
    stream.write_request(b"POST / HTTP/1.1\r\n", clock.now() + TIMEOUT).unwrap();
    thread.join().unwrap();
    std::thread::sleep(Duration::from_millis(50));
    let deadline = clock.now() + TIMEOUT;
    while stream.write_request(b"more of the request", deadline).unwrap() > 0 {}
    let error = loop {
        match stream.fill(deadline) {
            Ok(0) => panic!("the reset looked like an end"),
            Ok(_) => {}
            Err(error) => break error,
        }
    };
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

#[rstest]
#[case::unframed(UNFRAMED)]
#[case::with_length(b"HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n43 bytes")]
#[case::in_a_chunk(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n43 bytes")]
fn a_response_that_is_reset_is_not_whole(#[case] bytes: &'static [u8]) {
    for call in [
        |address| call_pooled(address, b"x").is_err(),
        |address| call_client(address, b"x").is_err(),
        |address| stream_client(address, b"x").is_err(),
    ] {
        let (address, thread) = serve(bytes, ServerEnd::Reset, false);
        assert!(call(address));
        thread.join().unwrap();
    }
}

/// Bytes that are no response are refused by each client.
#[rstest]
#[case::status_000(b"HTTP/1.1 000 Nothing\r\nContent-Length: 2\r\n\r\nok")]
#[case::status_600(b"HTTP/1.1 600 High\r\nContent-Length: 2\r\n\r\nok")]
#[case::blank_in_name(b"HTTP/1.1 200 OK\r\nA b: 1\r\nContent-Length: 2\r\n\r\nok")]
#[case::control_in_name(b"HTTP/1.1 200 OK\r\nA\x01: 1\r\nContent-Length: 2\r\n\r\nok")]
#[case::bare_line_feed(b"HTTP/1.1 200 OK\nContent-Length: 2\n\nok")]
#[case::length_and_chunks(
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
)]
#[case::two_lengths(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok")]
#[case::chunk_size(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2 x\r\nok\r\n0\r\n\r\n")]
#[case::chunk_end(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n")]
#[case::trailer(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA b: 1\r\n\r\n"
)]
#[case::no_last_chunk(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")]
#[case::no_trailer_end(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n")]
#[case::short(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok")]
#[case::upgrade(b"HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")]
fn each_client_refuses_bytes_that_are_no_response(#[case] bytes: &'static [u8]) {
    for call in [
        |address| call_pooled(address, b"x").is_err(),
        |address| call_client(address, b"x").is_err(),
        |address| stream_client(address, b"x").is_err(),
    ] {
        let (address, thread) = serve(bytes, ServerEnd::Close, false);
        assert!(call(address));
        thread.join().unwrap();
    }
}

#[rstest]
#[case::interim(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")]
#[case::chunks(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n"
)]
#[case::length(FRAMED)]
fn each_client_takes_a_sound_response(#[case] bytes: &'static [u8]) {
    let (address, thread) = serve(bytes, ServerEnd::Close, false);
    assert_eq!(call_pooled(address, b"x").unwrap(), (200, b"ok".to_vec()));
    thread.join().unwrap();
    let (address, thread) = serve(bytes, ServerEnd::Close, false);
    assert_eq!(call_client(address, b"x").unwrap(), (200, b"ok".to_vec()));
    thread.join().unwrap();
    let (address, thread) = serve(bytes, ServerEnd::Close, false);
    assert_eq!(stream_client(address, b"x").unwrap(), b"ok");
    thread.join().unwrap();
}

/// A response without a length that ends well, also one that comes before its request was read.
#[rstest]
#[case::after_the_request(ServerEnd::Close, true)]
#[case::before_the_request(ServerEnd::CloseThenRead, false)]
fn an_unframed_response_that_ends_well_is_whole(
    #[case] end: ServerEnd,
    #[case] reads_request: bool,
) {
    let body = vec![b'x'; LONG_REQUEST_BYTES];
    let (address, thread) = serve(UNFRAMED, end, reads_request);
    assert_eq!(call_pooled(address, &body).unwrap(), (200, b"20 of 43 bytes of it".to_vec()));
    thread.join().unwrap();
}

/// A server may refuse a long request before it has read it.
#[rstest]
#[case::still_reading(ServerEnd::CloseThenRead)]
#[case::reset_later(ServerEnd::CloseThenReset(Duration::from_millis(300)))]
fn an_early_refusal_is_a_response(#[case] end: ServerEnd) {
    let body = vec![b'x'; LONG_REQUEST_BYTES];
    let (address, thread) = serve(TOO_LARGE, end, false);
    assert_eq!(call_pooled(address, &body).unwrap(), (413, b"no".to_vec()));
    thread.join().unwrap();
    let (address, thread) = serve(TOO_LARGE, end, false);
    assert_eq!(call_client(address, &body).unwrap(), (413, b"no".to_vec()));
    thread.join().unwrap();
}

/// A text without a length, as an operator's call may get it.
#[test]
fn an_unframed_body_is_read_to_its_end_but_not_taken_for_a_value() {
    let (address, thread) = serve(UNFRAMED, ServerEnd::Close, false);
    assert_eq!(stream_client(address, b"x").unwrap(), b"20 of 43 bytes of it");
    thread.join().unwrap();
    let (address, thread) = serve(UNFRAMED, ServerEnd::Close, false);
    assert!(matches!(call_client(address, b"x"), Err(CallError::Unknown(_))));
    thread.join().unwrap();
}

/// Guards against a stream whose pieces are returned only once the next one has come.
#[test]
fn a_piece_of_a_body_is_read_when_it_comes() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (was_read, wait) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        let (mut peer, _) = listener.accept().unwrap();
        assert!(peer.read(&mut [0; 1_000]).unwrap() > 0);
        peer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n").unwrap();
        wait.recv().unwrap();
        peer.write_all(b"1\r\nb\r\n0\r\n\r\n").unwrap();
    });
    let mut response = HttpClient::new(address, TIMEOUT).call("GET", "/", &[], b"").unwrap();
    let mut buffer = [0; 10];
    assert_eq!(response.read(&mut buffer).unwrap(), 1);
    was_read.send(()).unwrap();
    let mut rest = Vec::new();
    response.read_to_end(&mut rest).unwrap();
    assert_eq!(rest, b"b");
    thread.join().unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    /// A response that lost its end, or has a damaged byte outside of its body, is whole for no client.
    #[test]
    fn no_client_takes_a_damaged_response(
        is_chunked in any::<bool>(),
        body in proptest::collection::vec(any::<u8>(), 1..60),
        position in any::<prop::sample::Index>(),
        damage in prop::sample::select(vec![None, Some(0_u8), Some(1), Some(0x0b), Some(0x7f)]),
    ) {
        let mut bytes = encode(usize::from(is_chunked), &body);
        match damage {
            Some(damage) => {
                let grammar = grammar_positions(&bytes, is_chunked, body.len());
                bytes[grammar[position.index(grammar.len())]] = damage;
            }
            None => bytes.truncate(position.index(bytes.len())),
        }
        for call in [
            |address| call_pooled(address, b"x").is_err(),
            |address| call_client(address, b"x").is_err(),
            |address| stream_client(address, b"x").is_err(),
        ] {
            let (address, thread) = serve(bytes.clone(), ServerEnd::Close, false);
            prop_assert!(call(address), "{:?}", String::from_utf8_lossy(&bytes));
            thread.join().unwrap();
        }
    }
}
