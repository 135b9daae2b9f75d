//! The HTTP server of the product's own front, the admin pages and the stand-ins: kept connections,
//! bodies that are not read, refusals and the stop.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use gentian_core::{ByteSize, TimeSpan};
use gentian_http::forward::{BodyError, BufferBudget};
use gentian_http::{HttpRequest, HttpResponse, HttpServer};

const BODY_LIMIT: usize = 1_000;
const REQUEST_TIMEOUT: TimeSpan = TimeSpan::from_millis(400);

struct RunningServer {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    budget: BufferBudget,
    thread: JoinHandle<()>,
}

impl RunningServer {
    /// Starts a server that responds with the length of the body, or to `/stream` with two events.
    fn start(limit: usize) -> Self {
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let (stop, budget) = (Arc::new(AtomicBool::new(false)), BufferBudget::new(1 << 20));
        let server = HttpServer::new(address, limit, Arc::clone(&stop)).unwrap();
        let server = server.with_request_timeout(REQUEST_TIMEOUT);
        let buffers = budget.clone();
        let thread = std::thread::spawn(move || {
            server.serve(move |request| handle(&buffers, request));
        });
        Self { address, stop, budget, thread }
    }

    fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(self.address).unwrap();
        socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        socket
    }

    /// Sends `text` on a new connection and returns everything up to its end.
    fn send(&self, text: &str) -> String {
        let mut socket = self.connect();
        socket.write_all(text.as_bytes()).unwrap();
        let mut response = String::new();
        socket.read_to_string(&mut response).unwrap();
        response
    }

    fn end(self) {
        self.stop.store(true, Ordering::Release);
        self.thread.join().unwrap();
        assert_eq!(self.budget.used(), ByteSize::ZERO);
    }
}

fn handle(budget: &BufferBudget, mut request: HttpRequest) {
    match request.path() {
        "/stream" => {
            let mut stream = request.stream("text/event-stream", &[]).unwrap();
            stream.send(b"one").unwrap();
            stream.send(b"two").unwrap();
        }
        "/slow" => {
            std::thread::sleep(Duration::from_millis(500));
            request.respond(HttpResponse::new(200)).unwrap();
        }
        "/unread" => request.respond(HttpResponse::new(200)).unwrap(),
        _ => {
            let (status, text) = match request.read_body_within(BODY_LIMIT, budget) {
                Ok(body) => (200, body.len().to_string()),
                Err(BodyError::TooLarge) => (413, String::new()),
                Err(error) => (400, error.to_string()),
            };
            let _ = request.respond(HttpResponse::new(status).with_body(text));
        }
    }
}

fn status_of(response: &str) -> &str {
    response.split_whitespace().nth(1).unwrap_or_default()
}

/// Guards against requests on a kept connection that are lost, or that get the response of another.
#[test]
fn a_kept_connection_serves_one_request_after_the_other() {
    let server = RunningServer::start(4);
    let text = "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc\
        GET /stream HTTP/1.1\r\n\r\n\
        POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n\
        HEAD / HTTP/1.1\r\n\r\n\
        GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
    let response = server.send(text);
    assert_eq!(response.matches("HTTP/1.1 200 OK").count(), 5, "{response}");
    assert!(response.contains("\r\n\r\n3HTTP/1.1"), "{response}");
    assert!(response.contains("one") && response.contains("two"), "{response}");
    assert!(response.contains("\r\n\r\n2HTTP/1.1"), "{response}");
    assert!(response.ends_with("\r\n\r\n0"), "{response}");
    server.end();
}

/// A body that is over the limit isn't read, however long it is; before, the server read it to its end
/// and allocated what was announced.
#[test]
fn a_body_over_the_limit_is_refused_unread() {
    let server = RunningServer::start(4);
    let announced = server.send("POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\nab");
    assert_eq!(status_of(&announced), "413", "{announced}");
    let mut chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    chunked.push_str(&format!("7d0\r\n{}\r\n", "x".repeat(2_000)));
    assert_eq!(status_of(&server.send(&chunked)), "413");
    let expecting = "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1001\r\n\r\n";
    assert_eq!(status_of(&server.send(expecting)), "413", "no 100 before a refusal");
    server.end();
}

/// A body that nobody read must not be taken for the next request.
#[test]
fn an_unread_body_ends_the_connection() {
    let server = RunningServer::start(4);
    let text =
        "POST /unread HTTP/1.1\r\nContent-Length: 26\r\n\r\nGET /stream HTTP/1.1\r\n\r\n\r\n";
    let response = server.send(text);
    assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response}");
    assert!(response.contains("Connection: close"), "{response}");
    server.end();
}

/// A sender that stops within its head or its body lost its thread for ever.
#[test]
fn a_sender_that_stops_is_given_up() {
    let server = RunningServer::start(4);
    let started = Instant::now();
    let in_body = server.send("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab");
    assert_eq!(status_of(&in_body), "400", "{in_body}");
    assert_eq!(status_of(&server.send("POST / HT")), "408");
    assert!(started.elapsed() < Duration::from_secs(8));
    server.end();
}

#[test]
fn heads_that_cannot_be_read_are_refused() {
    let server = RunningServer::start(4);
    assert_eq!(status_of(&server.send("no request\r\n\r\n")), "400");
    let long = format!("GET / HTTP/1.1\r\nName: {}\r\n\r\n", "x".repeat(70_000));
    assert_eq!(status_of(&server.send(&long)), "431");
    let both = "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(status_of(&server.send(both)), "400");
    server.end();
}

/// Requests beyond the limit are refused while others are handled.
#[test]
fn requests_beyond_the_limit_are_refused() {
    let server = RunningServer::start(1);
    let mut first = server.connect();
    first.write_all(b"GET /slow HTTP/1.1\r\nConnection: close\r\n\r\n").unwrap();
    std::thread::sleep(Duration::from_millis(150));
    let refused = server.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    assert!(status_of(&refused) == "503" && refused.contains("Retry-After"), "{refused}");
    let mut response = String::new();
    first.read_to_string(&mut response).unwrap();
    assert_eq!(status_of(&response), "200");
    server.end();
}

/// A request that is open when the stop is asked for gets its response, and idle connections don't hold
/// the stop up.
#[test]
fn a_stop_ends_open_requests_first() {
    let server = RunningServer::start(4);
    let idle = server.connect();
    let mut open = server.connect();
    open.write_all(b"GET /slow HTTP/1.1\r\nConnection: close\r\n\r\n").unwrap();
    std::thread::sleep(Duration::from_millis(100));
    let started = Instant::now();
    server.end();
    assert!(started.elapsed() < Duration::from_secs(8));
    let mut response = String::new();
    open.read_to_string(&mut response).unwrap();
    assert_eq!(status_of(&response), "200");
    drop(idle);
}
