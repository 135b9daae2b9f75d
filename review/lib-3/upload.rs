//! Replicas in trouble answer some long uploads at once with a part of an answer that has no length, and
//! reset the connection; checks that no client gets such a part as a complete answer.
#![allow(dead_code)]

#[path = "base.rs"]
mod base;

use std::collections::BTreeSet;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base::{Process, Random, Record, Store, Subnet, TemporaryFolder, is_ready, lock, quote, read_head, unix_millis};

const FRONTS: u8 = 3;
const REPLICAS: u8 = 4;
/// Replicas in trouble: `share` of the site's garble is 0.6.
const GARBLING: u8 = 2;
/// One in so many of their answers is spoilt: `x` of the site's garble is 0.03.
const SPOILT_EACH: u64 = 34;
/// How long replicas are in trouble each time, and the time from one such beginning to the next: `for_s` of
/// the site's garble is 5.5.
const TROUBLE_TIME: Duration = Duration::from_millis(5_500);
const TROUBLE_PERIOD: Duration = Duration::from_millis(11_000);
const UPLOAD_BYTES: usize = 700_000;
const RUN_TIME: f64 = 46.0;
/// How long after the part the connection is reset.
const RESET_DELAY: Duration = Duration::from_millis(1_000);
const WHOLE: &str = "{\"booking\":\"the whole answer of a replica\"}";
const PART_BYTES: usize = 20;
const HOST: &str = "ice.example";

struct Replica {
    id: String,
    address: SocketAddr,
    born: u64,
    is_garbling: bool,
    answers: AtomicU64,
    started: Instant,
    /// Requests whose answer was spoilt.
    spoilt: Arc<Mutex<BTreeSet<String>>>,
    record: Record,
}

impl Replica {
    fn serve(self: &Arc<Self>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        let replica = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = Arc::clone(&replica);
                thread::spawn(move || replica.serve_connection(stream));
            }
        });
        Ok(())
    }

    fn serve_connection(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let (first, headers) = read_head(&mut reader)?;
            let header = |name: &str| {
                let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
                found.map_or("", |(_, value)| value.as_str())
            };
            let (id, expected) = (header("X-Gentianwheel-Request-Id"), header("X-Gentianwheel-Expect-Instance"));
            let length: usize = header("Content-Length").parse().unwrap_or(0);
            let is_report = first.contains(" /-/report ");
            let is_spoilt = self.is_garbling
                && !is_report
                && length > 0
                && self.is_in_trouble()
                && self.answers.fetch_add(1, Ordering::Relaxed) % SPOILT_EACH == SPOILT_EACH - 1;
            if is_spoilt {
                lock(&self.spoilt).insert(id.to_owned());
                self.record.note(&format!("{} runs {id} and sends {PART_BYTES} of {} bytes", self.id, WHOLE.len()));
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Gentianwheel-Request-Id: {id}\r\n\
                     X-Gentianwheel-Server-Stamp: {}\r\nConnection: close\r\n\r\n{}",
                    self.id,
                    &WHOLE[..PART_BYTES]
                );
                writer.write_all(head.as_bytes()).ok()?;
                writer.shutdown(Shutdown::Write).ok()?;
                thread::sleep(RESET_DELAY);
                // Closing a connection with unread bytes resets it.
                return None;
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body).ok()?;
            let (status, extra, text) = if !expected.is_empty() && expected != self.id {
                (421, "X-Gentianwheel-Not-Executed: 1\r\n", String::new())
            } else if is_report {
                let born = self.born;
                let report = format!(
                    "{{\"stage\":\"combined\",\"models\":[],\"busy\":false,\"sequence\":0,\"waiting_count\":0,\
                     \"running_count\":0,\"kv_cache_used\":0,\"kv_cache_total\":0,\"handles\":0,\"born\":{born}}}"
                );
                (200, "Content-Type: application/json\r\n", report)
            } else {
                self.record.note(&format!("{} runs {id}", self.id));
                thread::sleep(Duration::from_millis(60));
                (200, "Content-Type: application/json\r\n", WHOLE.to_owned())
            };
            let answer = format!(
                "HTTP/1.1 {status} Status\r\n{extra}X-Gentianwheel-Request-Id: {id}\r\n\
                 X-Gentianwheel-Server-Stamp: {}\r\nContent-Length: {}\r\nKeep-Alive: timeout=5\r\n\r\n{text}",
                self.id,
                text.len()
            );
            writer.write_all(answer.as_bytes()).ok()?;
        }
    }

    fn is_in_trouble(&self) -> bool {
        let elapsed = self.started.elapsed().as_millis() % TROUBLE_PERIOD.as_millis();
        elapsed >= (TROUBLE_PERIOD - TROUBLE_TIME).as_millis()
    }

    fn entry(&self, beats: u64) -> String {
        format!(
            "{{\"service\":\"prenota\",\"address\":{},\"zone\":\"palermo\",\"version\":\"1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{beats},\"born\":{}}}",
            quote(&self.address.to_string()),
            self.born
        )
    }
}

fn configuration() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":2,\"service\":\"prenota\",\"attempts\":{attempts}}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"prenota\",\"connection_limit\":110}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":10000}},\"tenants\":[]}}",
        route("book", "unsafe", 1),
        route("look", "safe", 2)
    )
}

fn settings(subnet: Subnet, number: u8) -> String {
    let front = subnet.front(number);
    format!(
        "node_name = \"front-{number}\"\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\"]\n\
         ip = \"{}\"\nzone = \"palermo\"\nregion = \"sicilia\"\ninternal_ports = [7102, 7110]\nseeds = []\n\
         bootstrap = true\nheartbeat_ms = 1200\n[listen]\nfront = \"{front}\"\nready = \"{}\"\n\
         [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nfile_descriptors = 4100\n\
         [bounds]\ncontact_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\nconfiguration_ms = 2000\nbudget_ratio = 0.2\n\
         budget_window_s = 10\nbudget_extra_attempts = 58\nlease_ms = 3000\n\
         [platform]\naddress = \"{}\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\n",
        front.ip(),
        subnet.ready(number),
        subnet.store()
    )
}

/// Sends an upload and reads the answer; returns the status and the body if the answer is complete.
fn upload(front: SocketAddr, path: &str, id: &str) -> Option<(String, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(6_000))).ok()?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Gentianwheel-Request-Id: {id}\r\n\
         X-Gentianwheel-Deadline-Ms: 4000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(&vec![b'x'; UPLOAD_BYTES]).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.to_owned();
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let mut body = vec![0; length?.1.parse().ok()?];
    reader.read_exact(&mut body).ok()?;
    Some((status, body))
}

fn run(folder: &str, has_trouble: bool) -> Option<bool> {
    let record = Record::create(Path::new(folder)).ok()?;
    let subnet = Subnet::find()?;
    let temporary = TemporaryFolder::create().ok()?;
    let store = Store::start(subnet.store()).ok()?;
    store.put("op/config", &configuration());
    let spoilt: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    for number in 1..=REPLICAS {
        let replica = Arc::new(Replica {
            id: format!("i-{number:08x}"),
            address: subnet.replica(number),
            born: unix_millis(),
            is_garbling: has_trouble && number <= GARBLING,
            answers: AtomicU64::new(0),
            started: Instant::now(),
            spoilt: Arc::clone(&spoilt),
            record: record.clone(),
        });
        replica.serve().ok()?;
        let store = store.clone();
        thread::spawn(move || {
            for beats in 1.. {
                store.put(&format!("servers/{}", replica.id), &replica.entry(beats));
                thread::sleep(Duration::from_millis(1_200));
            }
        });
    }
    let mut fronts = Vec::new();
    for number in 1..=FRONTS {
        let path = temporary.0.join(format!("front-{number}.toml"));
        std::fs::write(&path, settings(subnet, number)).ok()?;
        fronts.push(Process::start(&path, &temporary.0.join(format!("front-{number}.log"))).ok()?);
    }
    let end = Instant::now() + Duration::from_secs(5);
    while !(1..=FRONTS).all(|number| is_ready(subnet.ready(number))) {
        if Instant::now() > end {
            record.say("the front machines are not ready");
            return None;
        }
        thread::sleep(Duration::from_millis(50));
    }
    let (must_end, next_id) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let parts: Arc<Mutex<Vec<String>>> = Arc::default();
    let served = Arc::new(AtomicU64::new(0));
    let clients = (0..8).map(|number| {
        let (must_end, next_id, parts) = (Arc::clone(&must_end), Arc::clone(&next_id), Arc::clone(&parts));
        let (served, record) = (Arc::clone(&served), record.clone());
        thread::spawn(move || {
            let mut random = Random(number);
            while !must_end.load(Ordering::Relaxed) {
                let id = format!("{:016x}", 0x00b0_0000 + next_id.fetch_add(1, Ordering::Relaxed));
                let path = if random.below(2) == 0 { "/book/1" } else { "/look/1" };
                let front = subnet.front(1 + random.below(u64::from(FRONTS)) as u8);
                let answer = upload(front, path, &id);
                let shown = answer.as_ref().map_or("no complete answer".to_owned(), |(status, body)| {
                    format!("{status}, complete with {} bytes", body.len())
                });
                record.note(&format!("client sends {id} to {path} and gets {shown}"));
                match answer {
                    Some((status, body)) if status == "200" && body == WHOLE.as_bytes() => {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    Some((status, body)) if status.starts_with('2') => {
                        lock(&parts).push(format!("{id} {path}: {}", String::from_utf8_lossy(&body)));
                    }
                    _ => {}
                }
                thread::sleep(Duration::from_millis(60));
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    while record.now() < RUN_TIME {
        thread::sleep(Duration::from_millis(100));
    }
    must_end.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(fronts);
    let (parts, spoilt) = (lock(&parts).clone(), lock(&spoilt).len());
    for part in &parts {
        record.say(&format!("a part as a complete answer: {part}"));
    }
    let (served, sent) = (served.load(Ordering::Relaxed), next_id.load(Ordering::Relaxed));
    record.say(&format!("{sent} uploads, {served} served whole, {spoilt} answers spoilt, {} parts as whole", parts.len()));
    if served * 2 < sent || (has_trouble && spoilt == 0) {
        record.say("too little was served, or nothing spoilt");
        return if parts.is_empty() { None } else { Some(true) };
    }
    Some(!parts.is_empty())
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    match run(&folder, has_trouble) {
        Some(true) => ExitCode::from(1),
        Some(false) => ExitCode::SUCCESS,
        None => ExitCode::from(2),
    }
}
