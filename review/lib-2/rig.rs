//! What the scripts of this review share: the processes of a small deployment on loopback addresses,
//! stand-ins for replicas, clients, and the record of what was sent, answered and run. It needs the
//! standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn signal(number: i32, handler: extern "C" fn(i32)) -> usize;
    fn _exit(code: i32) -> !;
}

/// Time after which a script gives up.
const LONGEST_RUN: Duration = Duration::from_secs(115);

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub const HOST: &str = "desk.example";
pub const KEY: &str = "key-of-the-club";
pub const TENANT: &str = "club";

/// Writes `record.txt`, with the seconds since the start on each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.start.elapsed().as_secs_f64(), text.as_ref());
        let mut file = self.file.lock().unwrap_or_else(|it| it.into_inner());
        let _ = file.write_all(line.as_bytes());
        let _ = file.flush();
    }
}

/// Ids of the processes that were started and may still run; zero where there is none.
static RUNNING: [AtomicU32; 16] = [const { AtomicU32::new(0) }; 16];

fn add_running(pid: u32) {
    for place in &RUNNING {
        if place.compare_exchange(0, pid, Ordering::SeqCst, Ordering::SeqCst).is_ok() {
            return;
        }
    }
}

fn remove_running(pid: u32) {
    for place in &RUNNING {
        let _ = place.compare_exchange(pid, 0, Ordering::SeqCst, Ordering::SeqCst);
    }
}

/// Ends all processes that the script started, by their ids.
pub fn end_all() {
    for place in &RUNNING {
        let pid = place.swap(0, Ordering::SeqCst);
        if pid > 0 {
            unsafe { kill(pid as i32, SIGKILL) };
        }
    }
}

/// Ends the script on a signal, with all that it started.
extern "C" fn end_on_signal(_signal: i32) {
    end_all();
    unsafe { _exit(NOT_RUN) };
}

/// Ends the script with all that it started if it is stopped, fails, or takes too long.
fn guard() {
    for number in [SIGHUP, SIGINT, SIGTERM] {
        unsafe { signal(number, end_on_signal) };
    }
    std::panic::set_hook(Box::new(|cause| {
        eprintln!("the case couldn't run: {cause}");
        end_all();
        std::process::exit(NOT_RUN);
    }));
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_RUN);
        eprintln!("the case couldn't run: it took too long");
        end_all();
        std::process::exit(NOT_RUN);
    });
}

/// A process that the script started.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn stop(&mut self) {
        self.signal(SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
        remove_running(self.child.id());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.stop();
    }
}

/// The addresses and the folder of one run.
pub struct Rig {
    pub record: Record,
    pub has_trouble: bool,
    dir: PathBuf,
    net: (u8, u8),
    store: SocketAddr,
}

impl Rig {
    /// Prepares a run of the case in `folder`, which gets the record.
    pub fn new(folder: &str) -> Rig {
        guard();
        let start = Instant::now();
        let file = File::create(Path::new(folder).join("record.txt")).unwrap_or_else(|error| {
            eprintln!("cannot write the record: {error}");
            std::process::exit(NOT_RUN);
        });
        let record = Record { file: Arc::new(Mutex::new(file)), start };
        let pid = std::process::id();
        let net = (64 + (pid % 180) as u8, (pid / 180 % 250) as u8);
        let dir = std::env::temp_dir().join(format!("review-2-{pid}"));
        if std::fs::create_dir_all(&dir).is_err() {
            std::process::exit(NOT_RUN);
        }
        let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        record.line(format!("disruption: {}", if has_trouble { "yes" } else { "no" }));
        let store = free_address(Ipv4Addr::new(127, net.0, net.1, 2));
        Rig { record, has_trouble, dir, net, store }
    }

    /// Returns the loopback address of a machine of the deployment.
    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, host)
    }

    pub fn store(&self) -> SocketAddr {
        self.store
    }

    /// Starts the project's stand-in for the platform's store.
    pub fn start_store(&self) -> Process {
        let address = self.store.to_string();
        let arguments = ["fleet-store", "--address", &address];
        let process = self.start("store", "target/release/gentian-standin", &arguments, None);
        self.wait_until("the store answers", 10.0, || TcpStream::connect(self.store).is_ok());
        process
    }

    /// Starts an entry with the command of the deploy file.
    pub fn start_entry(&self, entry: &Entry) -> Process {
        let path = self.dir.join(format!("{}.toml", entry.name));
        if std::fs::write(&path, entry.settings(self.store)).is_err() {
            self.give_up("the settings cannot be written");
        }
        self.start(&entry.name, "target/release/gentianwheel", &[], Some(&path))
    }

    fn start(&self, name: &str, program: &str, arguments: &[&str], file: Option<&Path>) -> Process {
        let log = File::create(self.dir.join(format!("{name}.log")));
        let errors = File::create(self.dir.join(format!("{name}.err")));
        let (Ok(log), Ok(errors)) = (log, errors) else { self.give_up("no log can be written") };
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(log).stderr(errors);
        if let Some(file) = file {
            command.env("GENTIANWHEEL_NODE_FILE", file);
        }
        match command.spawn() {
            Ok(child) => {
                add_running(child.id());
                Process { name: name.to_owned(), child }
            }
            Err(error) => self.give_up(&format!("cannot start {program}: {error}")),
        }
    }

    /// Writes an item as the operator or a replica does.
    pub fn put(&self, key: &str, value: &str) -> bool {
        put_item(self.store, key, value)
    }

    /// Waits until `check` returns true; the case can't run otherwise.
    pub fn wait_until(&self, what: &str, seconds: f64, mut check: impl FnMut() -> bool) {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        while !check() {
            if Instant::now() > end {
                self.give_up(&format!("in vain: {what}"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        self.record.line(format!("ok: {what}"));
    }

    /// Waits until an entry says that it is ready.
    pub fn wait_ready(&self, entry: &Entry) {
        let ready = || get_status(entry.ready, "/-/readiness") == Some(200);
        self.wait_until(&format!("{} is ready", entry.name), 15.0, ready);
    }

    pub fn give_up(&self, cause: &str) -> ! {
        self.record.line(format!("the case couldn't run: {cause}"));
        eprintln!("the case couldn't run: {cause}");
        end_all();
        self.remove_dir();
        std::process::exit(NOT_RUN);
    }

    /// Keeps the logs for a look at a run that went otherwise than expected.
    pub fn log_dir(&self) -> &Path {
        &self.dir
    }

    pub fn remove_dir(&self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("logs: {}", self.dir.display());
        }
    }
}

/// An entry of the deployment.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    control: SocketAddr,
    peer_port: u16,
}

impl Entry {
    pub fn new(rig: &Rig, number: u8) -> Entry {
        let ip = rig.ip(10 + number);
        Entry {
            name: format!("front-{number}"),
            zone: ["palermo", "catania", "agrigento"][usize::from(number) % 3],
            ip,
            front: free_address(ip),
            ready: free_address(ip),
            control: free_address(ip),
            peer_port: 7_600,
        }
    }

    /// Returns the settings file; the figures are those of the sheet of vitale-piste.
    fn settings(&self, store: SocketAddr) -> String {
        let (name, ip, zone) = (&self.name, self.ip, self.zone);
        let (front, ready, control, port) = (self.front, self.ready, self.control, self.peer_port);
        let last = port + 15;
        format!(
            "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"front\"\n\
             serves = [\"front\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"sicilia\"\n\
             internal_ports = [{port},{last}]\nseeds = []\nbootstrap = true\n\
             counts_toward_tolerance = false\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\n\
             heartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"fleet\",\
             \"stream\",\"engine\",\"tenants\",\"quota\",\"places\",\"platform\"]\n\
             [zones]\npalermo = \"sicilia\"\ncatania = \"sicilia\"\nagrigento = \"sicilia\"\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nfile_descriptors = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 0\n\
             [tolerate]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\n\
             acknowledge_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\n\
             loss_slack_ms = 200\nconfiguration_ms = 2000\ndowngrade_slack_ms = 250\n\
             outer_ms = 5000\nstrict_revocation = false\nrevocation_ms = 5000\n\
             budget_ratio = 0.2\nbudget_window_s = 10\nbudget_extra_attempts = 58\n\
             quota_window_s = 8\nquota_overshoot = 0.1\nquota_slack = 110000\n\
             cold_overshoot = 1.5\ncold_slack = 5\nevacuation_ms = 5000\nrecovery_s = 12\n\
             pass_ms = 120\nretry_after_s = 0\nrequire_fencing = true\nlease_ms = 3000\n\
             thaw_ms = 300\nceiling_window_s = 5\nceiling_overshoot = 1.1\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_minimum_ms = 1000\n"
        )
    }
}

/// Returns an address of `ip` whose port is free.
pub fn free_address(ip: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).and_then(|listener| listener.local_addr());
    listener.unwrap_or_else(|error| {
        eprintln!("no free port: {error}");
        end_all();
        std::process::exit(NOT_RUN);
    })
}

pub fn put_item(store: SocketAddr, key: &str, value: &str) -> bool {
    let value = base64(value.as_bytes());
    let write = format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"lease\":0}}");
    let body = format!("{{\"expected\":[],\"writes\":[{write}],\"remove\":[]}}");
    post(store, "/-/kv-txn", &body) == Some(200)
}

pub fn remove_item(store: SocketAddr, key: &str) -> bool {
    let body = format!("{{\"expected\":[],\"writes\":[],\"remove\":[\"{key}\"]}}");
    post(store, "/-/kv-txn", &body) == Some(200)
}

fn post(address: SocketAddr, path: &str, body: &str) -> Option<u16> {
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    exchange(address, head.as_bytes())
}

fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let head = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    exchange(address, head.as_bytes())
}

fn exchange(address: SocketAddr, bytes: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream.write_all(bytes).ok()?;
    let mut reader = ByteReader::new(stream);
    let head = reader.read_head(Instant::now() + Duration::from_secs(2))?;
    Some(parse_status(&head))
}

fn parse_status(head: &str) -> u16 {
    head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Reads a connection piece by piece.
pub struct ByteReader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    is_at_end: bool,
}

impl ByteReader {
    pub fn new(stream: TcpStream) -> ByteReader {
        ByteReader { stream, buffer: Vec::new(), is_at_end: false }
    }

    /// Reads more bytes; returns whether there were any before `end`.
    fn fill(&mut self, end: Instant) -> bool {
        let left = end.saturating_duration_since(Instant::now());
        if self.is_at_end || left.is_zero() {
            return false;
        }
        let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        let mut piece = [0; 16 * 1024];
        match self.stream.read(&mut piece) {
            Ok(0) => self.is_at_end = true,
            Ok(count) => self.buffer.extend_from_slice(&piece[..count]),
            Err(error) if matches!(
                error.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ) => return false,
            Err(_) => self.is_at_end = true,
        }
        !self.is_at_end
    }

    /// Returns a head with its empty line, or `None` if it doesn't arrive.
    pub fn read_head(&mut self, end: Instant) -> Option<String> {
        loop {
            if let Some(position) = find(&self.buffer, b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..position + 4).collect();
                return Some(String::from_utf8_lossy(&head).into_owned());
            }
            if !self.fill(end) {
                return None;
            }
        }
    }

    pub fn read_exact(&mut self, count: usize, end: Instant) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill(end) {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    fn read_line(&mut self, end: Instant) -> Option<String> {
        loop {
            if let Some(position) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..position + 2).collect();
                return Some(String::from_utf8_lossy(&line[..position]).into_owned());
            }
            if !self.fill(end) {
                return None;
            }
        }
    }

    fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// Header fields by lower-case name.
pub fn parse_fields(head: &str) -> BTreeMap<String, String> {
    let fields = head.split("\r\n").skip(1).filter_map(|line| line.split_once(':'));
    fields.map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned())).collect()
}

/// A request of a client.
#[derive(Clone, Default)]
pub struct ClientCall {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub model: Option<String>,
    pub tokens: Option<(u32, u32)>,
    pub prefix: Option<String>,
    pub deadline_ms: u64,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl ClientCall {
    pub fn new(id: impl Into<String>, method: &'static str, path: impl Into<String>) -> ClientCall {
        let (id, path) = (id.into(), path.into());
        ClientCall { id, method, path, deadline_ms: 15_000, ..ClientCall::default() }
    }

    pub fn head(&self) -> String {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Gentianwheel-Request-Id: {}\r\n\
             X-Gentianwheel-Deadline-Ms: {}\r\nAuthorization: Token {KEY}\r\n",
            self.method, self.path, self.id, self.deadline_ms
        );
        if let Some(model) = &self.model {
            head += &format!("X-Gentianwheel-Model: {model}\r\n");
        }
        if let Some((prompt, output)) = self.tokens {
            head += &format!("X-Gentianwheel-Token-Count: {prompt},{output}\r\n");
        }
        if let Some(prefix) = &self.prefix {
            head += &format!("X-Gentianwheel-Prompt-Prefix: {prefix}\r\n");
        }
        for (name, value) in &self.fields {
            head += &format!("{name}: {value}\r\n");
        }
        if !self.body.is_empty() || self.method == "POST" {
            head += &format!("Content-Length: {}\r\n", self.body.len());
        }
        head + "\r\n"
    }
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Zero if there was no head.
    pub status: u16,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the answer ended as HTTP says that it is whole.
    pub is_whole: bool,
    pub seconds: f64,
}

impl Answer {
    pub fn describe(&self) -> String {
        let end = if self.is_whole { "complete" } else { "broken off" };
        let (status, length) = (self.status, self.body.len());
        let stamp = self.fields.contains_key("x-gentianwheel-server-stamp");
        format!("status={status} bytes={length} stamp={stamp} {end} after {:.3} s", self.seconds)
    }
}

static CALLS: AtomicU64 = AtomicU64::new(0);
static SERVED: AtomicU64 = AtomicU64::new(0);

/// Returns the exit code: a deployment that served less than half of the calls shows nothing if the rule held.
pub fn verdict(rig: &Rig, rule: &str, is_broken: bool) -> i32 {
    let (calls, served) = (CALLS.load(Ordering::SeqCst), SERVED.load(Ordering::SeqCst));
    rig.record.line(format!("{served} of {calls} calls were answered with status 200"));
    match (is_broken, served * 2 >= calls && calls > 0) {
        (true, _) => {
            rig.record.line(format!("{rule} is broken"));
            BROKEN
        }
        (false, true) => {
            rig.record.line(format!("{rule} held"));
            HELD
        }
        (false, false) => {
            rig.record.line("the case couldn't run: too few calls were served");
            NOT_RUN
        }
    }
}

/// Sends a request on a new connection and reads the answer, which the client gives up after `patience`.
pub fn call(address: SocketAddr, call: &ClientCall, patience: Duration) -> Answer {
    let start = Instant::now();
    let mut answer = Answer::default();
    let connected = TcpStream::connect_timeout(&address, Duration::from_secs(1));
    if let Ok(mut stream) = connected {
        let mut bytes = call.head().into_bytes();
        bytes.extend_from_slice(&call.body);
        if stream.write_all(&bytes).is_ok() {
            read_answer(&mut ByteReader::new(stream), start + patience, &mut answer);
        }
    }
    answer.seconds = start.elapsed().as_secs_f64();
    CALLS.fetch_add(1, Ordering::SeqCst);
    SERVED.fetch_add(u64::from(answer.status == 200), Ordering::SeqCst);
    answer
}

pub fn read_answer(reader: &mut ByteReader, end: Instant, answer: &mut Answer) {
    let Some(head) = reader.read_head(end) else { return };
    answer.status = parse_status(&head);
    answer.fields = parse_fields(&head);
    let is_chunked = answer.fields.get("transfer-encoding").is_some_and(|it| it == "chunked");
    if is_chunked {
        loop {
            let Some(line) = reader.read_line(end) else { return };
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return };
            let Some(chunk) = reader.read_exact(size + 2, end) else {
                answer.body.extend(reader.take_rest());
                return;
            };
            answer.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                answer.is_whole = true;
                return;
            }
        }
    }
    let length = answer.fields.get("content-length").and_then(|it| it.parse::<usize>().ok());
    if let Some(length) = length {
        if let Some(body) = reader.read_exact(length, end) {
            answer.body = body;
            answer.is_whole = true;
        }
    }
}

/// A request as a replica reads it.
pub struct ReplicaRequest {
    pub method: String,
    pub path: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl ReplicaRequest {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn id(&self) -> &str {
        self.field("x-gentianwheel-request-id")
    }
}

/// Serves requests on `address`; `serve` returns whether the connection stays open.
pub fn serve(
    address: SocketAddr,
    serve: impl Fn(&ReplicaRequest, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    serve_while_up(address, || true, serve);
}

/// Serves requests on `address` while `is_up`; the port is closed otherwise, and so are its connections.
pub fn serve_while_up(
    address: SocketAddr,
    is_up: impl Fn() -> bool + Send + Sync + 'static,
    serve: impl Fn(&ReplicaRequest, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let bind = move || {
        let listener = TcpListener::bind(address).unwrap_or_else(|error| {
            eprintln!("cannot listen: {error}");
            end_all();
            std::process::exit(NOT_RUN);
        });
        let _ = listener.set_nonblocking(true);
        listener
    };
    let mut listener = Some(bind());
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        let mut streams: Vec<TcpStream> = Vec::new();
        loop {
            if !is_up() {
                listener = None;
                streams.drain(..).for_each(|it| drop(it.shutdown(Shutdown::Both)));
                std::thread::sleep(Duration::from_millis(2));
                continue;
            }
            match listener.get_or_insert_with(bind).accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    streams.extend(stream.try_clone());
                    let serve = Arc::clone(&serve);
                    std::thread::spawn(move || serve_connection(stream, &*serve));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    serve: &(dyn Fn(&ReplicaRequest, &mut TcpStream) -> bool + Send + Sync),
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut output) = stream.try_clone() else { return };
    let mut reader = ByteReader::new(stream);
    loop {
        let end = Instant::now() + Duration::from_secs(30);
        let Some(head) = reader.read_head(end) else { break };
        let mut words = head.split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let path = words.next().unwrap_or("").to_owned();
        let fields = parse_fields(&head);
        let length = fields.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let Some(body) = reader.read_exact(length, end) else { break };
        if !serve(&ReplicaRequest { method, path, fields, body }, &mut output) {
            break;
        }
    }
    let _ = output.shutdown(Shutdown::Both);
}

/// Writes a whole answer of a replica; returns whether that worked.
pub fn respond(stream: &mut TcpStream, status: u16, fields: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        head += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (head + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Returns whether the peer of a connection has closed it.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let is_closed = match stream.peek(&mut byte) {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).is_err() || is_closed
}

/// Returns the value of a member of a flat JSON object, without quotation marks.
pub fn json_member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let start = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = text[start..].trim_start();
    match rest.strip_prefix('"') {
        Some(rest) => rest.split('"').next(),
        None => rest.split([',', '}']).next().map(str::trim),
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns an id of a request that is used once.
pub fn new_id(kind: &str) -> String {
    format!("{kind}-{:04}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

pub fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis())
}

fn base64(bytes: &[u8]) -> String {
    const SYMBOLS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |sum, byte| (sum << 8) | u32::from(*byte))
            << (8 * (3 - group.len()));
        for place in 0..4 {
            match place <= group.len() {
                true => text.push(SYMBOLS[(number >> (18 - 6 * place)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// Returns a configuration: an engine service `mind`, the plain ones `talk` and `desk`, and their routes. The
/// figures are those of the sheet of vitale-piste.
pub fn config(version: u64, rate_per_s: u64, burst: u64, models: usize) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u64, target: u64, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":{target},\
             \"service\":\"{service}\",\"allow_anonymous\":false{more}}}"
        )
    };
    let stream = ",\"priority\":1,\"attempts\":2,\"session_affinity\":true,\"resumable\":true,\
                  \"gap_target_ms\":400";
    let whole = ",\"priority\":1,\"attempts\":1,\"session_affinity\":true,\"resumable\":false,\
                 \"gap_target_ms\":400";
    let routes = [
        route("chat", "streaming", "mind", 15_000, 500, stream),
        route("season", "streaming", "mind", 20_000, 3_000, whole),
        route("talk", "streaming", "talk", 15_000, 500, stream),
        route("book", "unsafe", "desk", 2_000, 300, ",\"priority\":2,\"attempts\":1"),
        route("look", "safe", "desk", 2_000, 300, ",\"priority\":2,\"attempts\":2"),
    ];
    let model = |number: usize| {
        format!(
            "{{\"name\":\"m{number}\",\"weights_mb\":72700.0,\"load_s\":6.0,\"adapters\":32,\
             \"adapter_mb\":66.0,\"warm_s\":0.6,\"disk_load_s\":1.3}}"
        )
    };
    let models: Vec<String> = (0..models).map(model).collect();
    let engine = format!(
        "{{\"slots\":64,\"kv_cache_tokens\":252446,\"kv_cache_bytes\":163840,\
         \"link_mbps\":370000.0,\"moves\":true,\"backups\":true,\"stride\":5,\"cap\":12,\
         \"host_memory_mb\":150000.0,\"disk_mb\":870000.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\
         \"handle_s\":5.0,\"models\":[{}],\"weights_mb\":230000.0,\"adapter_slots\":8,\
         \"loads_per_s\":1.6}}",
        models.join(",")
    );
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"mind\",\
         \"health_path\":\"/health\",\"connection_limit\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{engine}}},{{\"name\":\"talk\",\
         \"health_path\":\"/health\",\"connection_limit\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0}},{{\"name\":\"desk\",\
         \"health_path\":\"/health\",\"connection_limit\":110,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"header_bytes\":16384,\
         \"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"unit\":\"token_count\",\"plain_tokens\":200,\"rate_per_s\":{rate_per_s},\
         \"burst\":{burst}}}]}}",
        routes.join(",")
    )
}
