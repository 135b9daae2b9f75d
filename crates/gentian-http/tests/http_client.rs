//! Responses of servers that break off.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::TcpListener;

use gentian_core::TimeSpan;
use gentian_http::{CallError, HttpClient};
use rstest::rstest;

/// The server closes the connection after these bytes.
#[rstest]
#[case::in_the_status_line("HTTP/1.1 20")]
#[case::after_the_status_line("HTTP/1.1 200 OK\r\n")]
#[case::in_a_field("HTTP/1.1 200 OK\r\nContent-Length: 2")]
#[case::after_a_field("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n")]
#[case::after_a_length_of_zero("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n")]
#[case::in_the_length("HTTP/1.1 200 OK\r\nContent-Length: 0")]
fn a_response_whose_head_was_cut_short_looked_whole(#[case] text: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let thread = std::thread::spawn(move || {
        let (mut peer, _) = listener.accept().unwrap();
        assert!(peer.read(&mut [0; 1_000]).unwrap() > 0);
        peer.write_all(text.as_bytes()).unwrap();
    });
    let client = HttpClient::new(address, TimeSpan::from_secs(2));
    let result = client.call_and_read("GET", "/", &[], 1_000);
    assert!(matches!(result, Err(CallError::Unknown(_))), "{result:?}");
    thread.join().unwrap();
}
