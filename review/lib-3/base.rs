//! Parts that the scripts of this review share: a small JSON reader, an HTTP server, the platform's
//! store, processes of the system and a record of what was seen. Only the standard library is used.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// A small pseudo-random generator (splitmix64).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, end: u64) -> u64 {
        self.next() % end.max(1)
    }
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut position = 0;
        let value = Self::value(bytes, &mut position)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(rows) => rows.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }

    fn skip(bytes: &[u8], position: &mut usize) {
        while bytes.get(*position).is_some_and(u8::is_ascii_whitespace) {
            *position += 1;
        }
    }

    fn value(bytes: &[u8], position: &mut usize) -> Option<Json> {
        Self::skip(bytes, position);
        match bytes.get(*position)? {
            b'{' => {
                *position += 1;
                let mut rows = Vec::new();
                loop {
                    Self::skip(bytes, position);
                    match bytes.get(*position)? {
                        b'}' => {
                            *position += 1;
                            return Some(Json::Table(rows));
                        }
                        b',' => *position += 1,
                        _ => {
                            let key = Self::string(bytes, position)?;
                            Self::skip(bytes, position);
                            if *bytes.get(*position)? != b':' {
                                return None;
                            }
                            *position += 1;
                            rows.push((key, Self::value(bytes, position)?));
                        }
                    }
                }
            }
            b'[' => {
                *position += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(bytes, position);
                    match bytes.get(*position)? {
                        b']' => {
                            *position += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *position += 1,
                        _ => list.push(Self::value(bytes, position)?),
                    }
                }
            }
            b'"' => Self::string(bytes, position).map(Json::Text),
            _ => {
                let start = *position;
                while bytes.get(*position).is_some_and(|it| {
                    it.is_ascii_alphanumeric() || matches!(it, b'+' | b'-' | b'.')
                }) {
                    *position += 1;
                }
                match std::str::from_utf8(&bytes[start..*position]).ok()? {
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    "null" => Some(Json::Null),
                    number => number.parse().ok().map(Json::Number),
                }
            }
        }
    }

    fn string(bytes: &[u8], position: &mut usize) -> Option<String> {
        if *bytes.get(*position)? != b'"' {
            return None;
        }
        *position += 1;
        let mut text = Vec::new();
        loop {
            let byte = *bytes.get(*position)?;
            *position += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *bytes.get(*position)?;
                    *position += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(bytes.get(*position..*position + 4)?).ok()?;
                            *position += 4;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let mut buffer = [0; 4];
                            let letter = char::from_u32(code).unwrap_or('?');
                            text.extend_from_slice(letter.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            letter if (letter as u32) < 0x20 => {
                let _ = write!(quoted, "\\u{:04x}", letter as u32);
            }
            letter => quoted.push(letter),
        }
    }
    quoted.push('"');
    quoted
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for position in 0..4 {
            match position <= chunk.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * position) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut position = 0;
    while position < bytes.len() {
        let hex = bytes.get(position + 1..position + 3).and_then(|it| std::str::from_utf8(it).ok());
        match (bytes[position], hex.and_then(|it| u8::from_str_radix(it, 16).ok())) {
            (b'%', Some(byte)) => {
                plain.push(byte);
                position += 3;
            }
            (byte, _) => {
                plain.push(byte);
                position += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// Reads a request with a body of a given length; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut request = Request { method, target, headers, body: Vec::new() };
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

pub fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Answers with a body of this type; returns whether the connection still works.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(bytes, "{name}: {value}\r\n");
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Serves each connection to `address` on a thread of its own until the process ends. `serve` returns
/// whether the connection stays open.
pub fn serve(
    address: SocketAddr,
    serve: impl Fn(Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !serve(request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

// ---------------------------------------------------------------- addresses

/// Loopback addresses of one run, in a subnet in which nobody listens.
#[derive(Clone, Copy)]
pub struct Subnet(u8, u8);

impl Subnet {
    pub fn find() -> Option<Subnet> {
        let mut random = Random(unix_millis() ^ u64::from(std::process::id()) << 32);
        (0..50).find_map(|_| {
            let subnet = Subnet(random.below(100) as u8 + 100, random.below(250) as u8 + 1);
            let is_free = (1..=40).all(|host| {
                [7100, 7101, 7200, 7300, 9464].iter().all(|port| {
                    TcpListener::bind(subnet.address(host, *port)).is_ok()
                }) && UdpSocket::bind(subnet.address(host, 7102)).is_ok()
            });
            is_free.then_some(subnet)
        })
    }

    pub fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, self.1, host)
    }

    pub fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(host), port))
    }

    pub fn store(self) -> SocketAddr {
        self.address(2, 7300)
    }

    /// Number of the front machine, from 1 on.
    pub fn front(self, number: u8) -> SocketAddr {
        self.address(10 + number, 7100)
    }

    pub fn ready(self, number: u8) -> SocketAddr {
        self.address(10 + number, 7101)
    }

    pub fn replica(self, number: u8) -> SocketAddr {
        self.address(30 + number, 7200)
    }
}

// ---------------------------------------------------------------- record

/// Writes what was sent, answered and run to record.txt.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<std::fs::File>>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Record> {
        let file = std::fs::File::create(folder.join("record.txt"))?;
        Ok(Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    pub fn note(&self, line: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{seconds:9.3} {line}");
    }

    /// Notes a line and shows it.
    pub fn say(&self, line: &str) {
        self.note(line);
        println!("{line}");
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    end: Instant,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    /// Revision, key and the item as it was written, or `None` if it was removed.
    history: Vec<(u64, String, Option<Item>)>,
}

/// The platform's store.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    /// Times of the ranges that may be stale, by prefix.
    pub stale_reads: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Store {
    /// Starts the store.
    pub fn start(address: SocketAddr) -> io::Result<Store> {
        let store = Store::default();
        lock(&store.state.0).revision = 10;
        let served = store.clone();
        serve(address, move |request, stream| served.handle(&request, stream))?;
        let swept = store.clone();
        thread::spawn(move || {
            loop {
                swept.end_leases();
                thread::sleep(Duration::from_millis(10));
            }
        });
        Ok(store)
    }

    /// Writes an item for the operator or a replica.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = lock(&self.state.0);
        state.revision += 1;
        state.write(key, Some((base64(value.as_bytes()), 0)));
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = lock(&self.state.0);
        state.revision += 1;
        state.write(key, None);
        self.state.1.notify_all();
    }

    fn end_leases(&self) {
        let mut state = lock(&self.state.0);
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, lease)| lease.end <= now).map(|(id, _)| *id).collect();
        for id in ended {
            state.end_lease(id);
            self.state.1.notify_all();
        }
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let (status, body) = self.answer(request);
        let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
        respond(stream, status, &headers, body.as_bytes())
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        self.end_leases();
        let path = request.path();
        match path {
            "/-/kv-key" => {
                let state = lock(&self.state.0);
                let key = request.query("key").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => (200, item_json(&key, item, state.revision)),
                    None => (404, "{}".to_owned()),
                }
            }
            "/-/kv-range" => self.range(request),
            "/-/kv-watch" => self.watch(request),
            "/-/kv-txn" => self.transact(&request.body),
            "/-/kv-lease" => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let millis = body.number("ttl_ms").unwrap_or(1_000).clamp(1_000, 600_000);
                let mut state = lock(&self.state.0);
                state.next_lease += 1;
                let (id, ttl) = (state.next_lease, Duration::from_millis(millis));
                state.leases.insert(id, Lease { ttl, end: Instant::now() + ttl });
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{millis}}}"))
            }
            _ => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                let mut state = lock(&self.state.0);
                if !state.leases.contains_key(&id) {
                    return (404, "{}".to_owned());
                }
                if path.starts_with("/-/kv-lease-end/") {
                    state.end_lease(id);
                    self.state.1.notify_all();
                } else if let Some(lease) = state.leases.get_mut(&id) {
                    lease.end = Instant::now() + lease.ttl;
                }
                (200, "{}".to_owned())
            }
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("path_prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        if request.query("stale_ok").is_some() {
            lock(&self.stale_reads).push((Instant::now(), prefix.clone()));
        }
        let state = lock(&self.state.0);
        let rows = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let rows: Vec<String> = rows.map(|(key, item)| item_json(key, item, state.revision)).collect();
        let (rows, is_truncated) = (&rows[..rows.len().min(500)], rows.len() > 500);
        let (items, at) = (rows.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"truncated\":{is_truncated},\"at\":{at}}}"))
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("path_prefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms").min(30_000)));
        let end = Instant::now() + wait;
        let mut state = lock(&self.state.0);
        loop {
            let events = state.history.iter().filter(|(revision, key, _)| {
                *revision > after && key.starts_with(&prefix)
            });
            let events: Vec<String> = events
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item, state.revision),
                    None => format!("{{\"key\":{},\"revision\":{revision},\"removed\":true}}", quote(key)),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let at = state.revision;
                return (200, format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
            }
            let waited = self.state.1.wait_timeout(state, end - now);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let mut state = lock(&self.state.0);
        let is_reserved = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        let removed: Vec<String> = body
            .list("remove")
            .iter()
            .filter_map(|key| if let Json::Text(key) = key { Some(key.clone()) } else { None })
            .collect();
        let writes = body.list("writes");
        if removed.iter().any(|key| is_reserved(key))
            || writes.iter().any(|row| is_reserved(row.text("key").unwrap_or("")))
        {
            return (403, "{}".to_owned());
        }
        let mut failed = Vec::new();
        for row in body.list("expected") {
            let key = row.text("key").unwrap_or("");
            let known = state.items.get(key);
            if known.map_or(0, |item| item.revision) != row.number("revision").unwrap_or(0) {
                failed.extend(known.map(|item| item_json(key, item, state.revision)));
                failed.push(String::new());
            }
        }
        if !failed.is_empty() {
            failed.retain(|item| !item.is_empty());
            return (412, format!("{{\"items\":[{}]}}", failed.join(",")));
        }
        let leases = writes.iter().map(|row| row.number("lease").unwrap_or(0));
        if leases.filter(|id| *id > 0).any(|id| !state.leases.contains_key(&id)) {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for row in writes {
            let value = row.text("value").unwrap_or("").to_owned();
            state.write(row.text("key").unwrap_or(""), Some((value, row.number("lease").unwrap_or(0))));
        }
        for key in &removed {
            state.write(key, None);
        }
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

impl StoreState {
    fn write(&mut self, key: &str, value: Option<(String, u64)>) {
        let revision = self.revision;
        let item = value.map(|(value, lease)| {
            let created = self.items.get(key).map_or(revision, |item| item.created);
            Item { value, revision, created, lease }
        });
        match &item {
            Some(item) => drop(self.items.insert(key.to_owned(), item.clone())),
            None => drop(self.items.remove(key)),
        }
        self.history.push((revision, key.to_owned(), item));
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == id).map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.write(&key, None);
        }
    }
}

fn item_json(key: &str, item: &Item, at: u64) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{},\"at\":{at}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

// ---------------------------------------------------------------- processes

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Sets the signal that a process gets once its parent has ended.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// A process of the system; it is killed when the value is dropped.
pub struct Process {
    pub child: Child,
}

impl Process {
    /// Starts the program with the command of the deploy file.
    pub fn start(settings: &Path, log: &Path) -> io::Result<Process> {
        let log = std::fs::File::options().create(true).append(true).open(log)?;
        let errors = log.try_clone()?;
        let mut command = Command::new("target/release/gentianwheel");
        command
            .env("GENTIANWHEEL_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors));
        // SAFETY: the call only changes the new process, which ends if the script is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn()?;
        Ok(Process { child })
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the id is that of a child that was not waited for yet.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A temporary folder, removed when the value is dropped.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create() -> io::Result<TemporaryFolder> {
        let name = format!("gentian-review-{}-{}", std::process::id(), unix_millis());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(TemporaryFolder(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns whether the process of this front machine says that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let request = format!("GET /-/readiness HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    read_head(&mut BufReader::new(stream)).is_some_and(|(first, _)| first.contains(" 200 "))
}
