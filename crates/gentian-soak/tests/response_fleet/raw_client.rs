//! A client that reads what an entry sends without the product's own code.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::{HOST, KEY, ROUTE_TIMEOUT_MILLIS};

const CLIENT_TIMEOUT: Duration = Duration::from_millis(ROUTE_TIMEOUT_MILLIS + 4_000);
const EMPTY_LINE: &[u8] = b"\r\n\r\n";

/// A call of a client.
#[derive(Clone, Debug)]
pub(crate) struct RawCall {
    method: &'static str,
    path: String,
    body: Vec<u8>,
    fields: String,
    /// Id of the request.
    pub(crate) id: String,
}

impl RawCall {
    /// Creates a call without a body.
    pub(crate) fn get(path: &str) -> Self {
        Self::new("GET", path, 0)
    }

    /// Creates a call with a body of `body_bytes`.
    pub(crate) fn post(path: &str, body_bytes: usize) -> Self {
        Self::new("POST", path, body_bytes)
    }

    /// Creates a call.
    pub(crate) fn new(method: &'static str, path: &str, body_bytes: usize) -> Self {
        static NEXT_ID: AtomicU64 = AtomicU64::new(1);
        let id = format!("call-{:08x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let (path, body) = (path.to_owned(), vec![b'u'; body_bytes]);
        Self { method, path, body, fields: String::new(), id }
    }

    /// Adds a header field.
    pub(crate) fn with_field(self, name: &str, value: &str) -> Self {
        Self { fields: format!("{}{name}: {value}\r\n", self.fields), ..self }
    }

    /// Sends the call and reads until the connection ends.
    pub(crate) fn send(&self, address: SocketAddr) -> RawResponse {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(CLIENT_TIMEOUT)).unwrap();
        stream.set_write_timeout(Some(CLIENT_TIMEOUT)).unwrap();
        let (method, path, id, fields) = (self.method, &self.path, &self.id, &self.fields);
        let length = match self.body.len() {
            0 => String::new(),
            length => format!("Content-Length: {length}\r\n"),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n\
             X-Gentianwheel-Request-Id: {id}\r\nX-Gentianwheel-Token-Count: 20,20\r\n\
             Connection: close\r\n{fields}{length}\r\n"
        );
        stream.write_all(&[head.as_bytes(), &self.body].concat()).unwrap();
        let mut bytes = Vec::new();
        let read = stream.read_to_end(&mut bytes);
        RawResponse::parse(&bytes, read.is_ok(), method == "HEAD")
    }
}

/// What a client got.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RawResponse {
    /// Status code; zero if no status line came.
    pub(crate) status: u16,
    /// Lines of the head after the first one.
    pub(crate) fields: Vec<String>,
    /// Body without its framing.
    pub(crate) body: String,
    /// Whether the end of the body came that its framing announces.
    pub(crate) is_whole: bool,
}

impl RawResponse {
    fn parse(bytes: &[u8], is_closed: bool, is_head: bool) -> Self {
        let Some(end) = bytes.windows(4).position(|quad| quad == EMPTY_LINE) else {
            return Self::default();
        };
        let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let status_line = lines.next().unwrap();
        let status = status_line.split(' ').nth(1).and_then(|status| status.parse().ok());
        let fields: Vec<String> = lines.map(ToOwned::to_owned).collect();
        let rest = &bytes[end + EMPTY_LINE.len()..];
        let field = |name: &str| {
            let start = format!("{name}: ");
            fields.iter().find_map(|field| field.strip_prefix(&start))
        };
        let status = status.unwrap_or(0);
        let (body, is_whole) = if is_head || matches!(status, 204 | 304) {
            (rest.to_vec(), rest.is_empty())
        } else if field("Transfer-Encoding") == Some("chunked") {
            read_chunks(rest)
        } else {
            let length = field("Content-Length").and_then(|length| length.parse().ok());
            (rest.to_vec(), length.map_or(is_closed, |length: usize| length == rest.len()))
        };
        Self { status, fields, body: String::from_utf8_lossy(&body).into_owned(), is_whole }
    }

    /// Returns the value of a header field.
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        let start = format!("{name}: ");
        self.fields.iter().find_map(|field| field.strip_prefix(&start))
    }
}

/// Returns the data of a chunked body, and whether the last chunk came with nothing after it.
fn read_chunks(bytes: &[u8]) -> (Vec<u8>, bool) {
    let (mut data, mut rest) = (Vec::new(), bytes);
    loop {
        let Some(end) = rest.windows(2).position(|pair| pair == b"\r\n") else {
            return (data, false);
        };
        let size = std::str::from_utf8(&rest[..end]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        rest = &rest[end + 2..];
        if size == 0 {
            return (data, rest == b"\r\n");
        }
        if rest.len() < size + 2 {
            return (data, false);
        }
        data.extend_from_slice(&rest[..size]);
        rest = &rest[size + 2..];
    }
}
