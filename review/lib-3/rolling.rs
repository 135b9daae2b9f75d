#![allow(dead_code)]
//! Front machines are stopped in turn under load; checks that the orders of two machines to one replica
//! are `lease_ms` apart.

#[path = "base.rs"]
mod base;
#[path = "engine.rs"]
mod engine;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base::{Process, Random, Record, SIGTERM, Store, Subnet, TemporaryFolder, is_ready, lock, read_head};
use engine::{Engine, EngineSettings, Order};

const FRONTS: u8 = 9;
const STOPPED: u8 = 4;
const REPLICAS: u8 = 2;
const ADAPTERS: u64 = 32;
const LEASE: Duration = Duration::from_millis(3_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// `gap_s` of the site's roll_term.
const GAP: Duration = Duration::from_millis(1_300);
const HOST: &str = "ice.example";

struct Caller {
    subnet: Subnet,
    record: Record,
    next_id: AtomicU64,
    must_end: AtomicBool,
    answers: Mutex<std::collections::BTreeMap<String, u32>>,
}

impl Caller {
    /// Sends a request for a stream and reads the answer to its end; returns its status and whether it is
    /// whole.
    fn ask(&self, front: SocketAddr, model: &str, events: u32, pause: u32, deadline: u64) -> (String, bool) {
        let id = format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed) + 0x5eed_0000);
        let connected = TcpStream::connect_timeout(&front, Duration::from_secs(1));
        let Ok(mut stream) = connected else { return ("no connection".to_owned(), false) };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(deadline + 500)));
        let request = format!(
            "POST /chat/{events}/{pause} HTTP/1.1\r\nHost: {HOST}\r\nX-Gentianwheel-Request-Id: {id}\r\n\
             X-Gentianwheel-Model: {model}\r\nX-Gentianwheel-Token-Count: 100,100\r\n\
             X-Gentianwheel-Prompt-Prefix: aa:50,{id}:50\r\nX-Gentianwheel-Deadline-Ms: {deadline}\r\n\
             Authorization: Token key-of-the-club\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        if stream.write_all(request.as_bytes()).is_err() {
            return ("not sent".to_owned(), false);
        }
        let mut reader = BufReader::new(stream);
        let Some((first, headers)) = read_head(&mut reader) else {
            return ("no answer".to_owned(), false);
        };
        let status = first.split(' ').nth(1).unwrap_or("").to_owned();
        let is_chunked = headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("transfer-encoding"));
        let mut is_whole = !is_chunked;
        while is_chunked {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                break;
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { break };
            let mut chunk = vec![0; length + 2];
            if reader.read_exact(&mut chunk).is_err() {
                break;
            }
            if length == 0 {
                is_whole = true;
                break;
            }
        }
        let outcome = if is_whole { status.clone() } else { format!("{status}, cut") };
        self.record.note(&format!("request {id} for {model} to {front}: {outcome}"));
        *lock(&self.answers).entry(outcome).or_default() += 1;
        (status, is_whole)
    }
}

fn configuration() -> String {
    let route = format!(
        "{{\"name\":\"chat\",\"host\":\"{HOST}\",\"path_prefix\":\"/chat/\",\"kind\":\"streaming\",\
         \"timeout_ms\":15000,\"target_latency_ms\":500,\"gap_target_ms\":400,\"priority\":0,\
         \"service\":\"ghiaccio-mind\",\"attempts\":2,\"resumable\":true}}"
    );
    let model = |name: &str, adapters: u64| {
        format!(
            "{{\"name\":\"{name}\",\"weights_mb\":70000,\"load_s\":6.0,\"disk_load_s\":1.2,\"warm_s\":0.6,\
             \"adapters\":{adapters},\"adapter_mb\":12.0}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{route}],\"services\":[{{\"name\":\"ghiaccio-mind\",\
         \"connection_limit\":370,\"engine\":{{\"slots\":64,\"kv_cache_tokens\":250000,\"models\":[{}],\
         \"weights_mb\":230000,\"adapter_slots\":8,\"loads_per_s\":1.6}}}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":10000}},\"tenants\":[{{\"name\":\"club\",\"api_keys\":[\"key-of-the-club\"],\
         \"unit\":\"token_count\",\"plain_tokens\":200,\"rate_per_s\":1000000,\"burst\":1000000}}]}}",
        [model("m0", ADAPTERS), model("m1", 0)].join(",")
    )
}

fn settings(subnet: Subnet, number: u8, is_first_start: bool) -> String {
    let front = subnet.front(number);
    format!(
        "node_name = \"front-{number}\"\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\"]\n\
         ip = \"{}\"\nzone = \"palermo\"\nregion = \"sicilia\"\ninternal_ports = [7102, 7110]\nseeds = []\n\
         bootstrap = {is_first_start}\nheartbeat_ms = 1200\n[listen]\nfront = \"{front}\"\nready = \"{}\"\n\
         [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nfile_descriptors = 4100\n\
         [bounds]\ncontact_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
         configuration_ms = 2000\nbudget_ratio = 0.2\nbudget_window_s = 10\nbudget_extra_attempts = 58\n\
         quota_window_s = 8\nquota_overshoot = 0.1\nquota_slack = 110000\ncold_overshoot = 1.5\n\
         cold_slack = 5\nevacuation_ms = 5000\nlease_ms = 3000\nthaw_ms = 300\nceiling_window_s = 5\n\
         ceiling_overshoot = 1.1\nrequire_fencing = true\n\
         [platform]\naddress = \"{}\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\n\
         history_s = 20\nvalue_bytes = 1048576\nttl_minimum_ms = 1000\n",
        front.ip(),
        subnet.ready(number),
        subnet.store()
    )
}

/// What one fleet showed.
struct Outcome {
    is_broken: bool,
    has_two_holders: bool,
}

/// Plays a fleet from its start; `None` if it couldn't run.
fn play(record: &Record, has_trouble: bool, seed: u64) -> Option<Outcome> {
    let subnet = Subnet::find()?;
    let folder = TemporaryFolder::create().ok()?;
    let store = Store::start(subnet.store()).ok()?;
    store.put("op/config", &configuration());
    let engines: Vec<Arc<Engine>> = (1..=REPLICAS)
        .map(|number| {
            let settings = EngineSettings {
                id: format!("i-{number:08x}"),
                service: "ghiaccio-mind".to_owned(),
                zone: "palermo".to_owned(),
                address: subnet.replica(number),
                holds: vec!["m0".to_owned()],
                adapter_slots: 8,
                model_slots: 3,
                load_time: Duration::from_secs(6),
                checks_fences: true,
            };
            Engine::start(settings, &store, record).ok()
        })
        .collect::<Option<_>>()?;
    // The machine that is stopped last starts first and so takes the lease.
    let mut fronts: Vec<(u8, Process)> = Vec::new();
    for number in [STOPPED, 1, 2, 3, 5, 6, 7, 8, 9] {
        let path = folder.0.join(format!("front-{number}.toml"));
        std::fs::write(&path, settings(subnet, number, true)).ok()?;
        fronts.push((number, Process::start(&path, &folder.0.join(format!("front-{number}.log"))).ok()?));
        thread::sleep(Duration::from_millis(if number == STOPPED { 100 } else { 25 }));
    }
    fronts.sort_by_key(|(number, _)| *number);
    let end = Instant::now() + Duration::from_secs(5);
    while !(1..=FRONTS).all(|number| is_ready(subnet.ready(number))) {
        if Instant::now() > end {
            record.say("the front machines are not ready");
            return None;
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.note("all front machines are ready");
    let caller = Arc::new(Caller {
        subnet,
        record: record.clone(),
        next_id: AtomicU64::new(seed << 20),
        must_end: AtomicBool::new(false),
        answers: Mutex::default(),
    });
    let mut threads = Vec::new();
    for worker in 0..24 {
        let caller = Arc::clone(&caller);
        threads.push(thread::spawn(move || {
            let mut random = Random(seed * 1_000 + worker);
            while !caller.must_end.load(Ordering::Relaxed) {
                let front = STOPPED + 1 + random.below(u64::from(FRONTS - STOPPED)) as u8;
                let model = format!("m0/a{}", random.below(ADAPTERS) + 1);
                caller.ask(caller.subnet.front(front), &model, 4, 25, 5_000);
            }
        }));
    }
    thread::sleep(Duration::from_millis(4_500));
    let mut stop_times: Vec<(String, Instant)> = Vec::new();
    if has_trouble {
        wait_for_read_phase(&store);
        for number in 1..=STOPPED {
            // A caller's stream keeps the process at work for most of its grace.
            let caller = Arc::clone(&caller);
            let front = caller.subnet.front(number);
            threads.push(thread::spawn(move || drop(caller.ask(front, "m0", 100, 100, 15_000))));
        }
        thread::sleep(Duration::from_millis(200));
        for (number, process) in fronts.iter().take(usize::from(STOPPED)) {
            process.signal(SIGTERM);
            stop_times.push((format!("front-{number}"), Instant::now()));
            record.note(&format!("SIGTERM to front-{number}"));
            if *number < STOPPED {
                thread::sleep(GAP);
            }
        }
        restart_ended(&mut fronts, subnet, &folder, record, Duration::from_secs(5));
    } else {
        thread::sleep(GAP * 3 + Duration::from_secs(5));
    }
    caller.must_end.store(true, Ordering::Relaxed);
    let mut outcome = Outcome { is_broken: false, has_two_holders: false };
    for engine in &engines {
        judge(&lock(&engine.orders), &stop_times, record, &mut outcome);
    }
    record.note(&format!("answers: {:?}", lock(&caller.answers)));
    if std::env::var_os("KEEP_LOGS").is_some() {
        let _ = std::process::Command::new("cp").arg("-r").arg(&folder.0).arg("/tmp/h/keep").status();
    }
    drop(fronts);
    for thread in threads {
        let _ = thread.join();
    }
    Some(outcome)
}

/// Starts processes again that have ended, as the platform does.
fn restart_ended(
    fronts: &mut [(u8, Process)],
    subnet: Subnet,
    folder: &TemporaryFolder,
    record: &Record,
    span: Duration,
) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        for (number, process) in fronts.iter_mut() {
            if process.has_ended() {
                record.note(&format!("front-{number} has ended and starts again"));
                let path = folder.0.join(format!("front-{number}.toml"));
                let log = folder.0.join(format!("front-{number}.log"));
                let is_written = std::fs::write(&path, settings(subnet, *number, false)).is_ok();
                if let (true, Ok(started)) = (is_written, Process::start(&path, &log)) {
                    *process = started;
                }
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Waits so that the last stop comes shortly before front machines look at the store's records again, as
/// it does by chance now and then: they read every 3.5 s.
fn wait_for_read_phase(store: &Store) {
    let interval = Duration::from_millis(3_500);
    let lead = Duration::from_millis(200) + GAP * 3 + Duration::from_millis(40);
    let now = Instant::now();
    let reads = lock(&store.stale_reads);
    let prefix = reads.iter().map(|(_, prefix)| prefix).find(|it| !it.starts_with("op/") && !it.starts_with("servers/")).cloned();
    let recent = reads.iter().filter(|(time, it)| {
        Some(it) == prefix.as_ref() && now.duration_since(*time) < interval
    });
    let times: Vec<Instant> = recent.map(|(time, _)| *time).collect();
    drop(reads);
    // The read that is followed by most others within a tenth of a second.
    let count = |time: &Instant| {
        times.iter().filter(|other| **other >= *time && other.duration_since(*time) < Duration::from_millis(100)).count()
    };
    let Some(first) = times.iter().max_by_key(|time| count(time)) else { return };
    let mut next = *first + interval;
    while next < now + lead {
        next += interval;
    }
    thread::sleep((next - lead).saturating_duration_since(Instant::now()));
}

/// ONE: orders of two machines to one replica within `lease_ms`, both in touch: neither was stopped in the
/// last `contact_ms` before its order.
fn judge(orders: &[Order], stop_times: &[(String, Instant)], record: &Record, outcome: &mut Outcome) {
    let is_in_touch = |order: &Order| {
        !stop_times.iter().any(|(vm, time)| {
            *vm == order.holder && order.at >= *time && order.at.duration_since(*time) < CONTACT
        })
    };
    for pair in orders.windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        if before.holder == after.holder {
            continue;
        }
        outcome.has_two_holders = true;
        let pause = after.at.duration_since(before.at);
        let is_counted = is_in_touch(before) && is_in_touch(after);
        record.say(&format!(
            "orders of {} (token {}) and then of {} (token {}) to one replica, {:.3} s apart{}",
            before.holder,
            before.fence,
            after.holder,
            after.fence,
            pause.as_secs_f64(),
            if is_counted { "" } else { " (a machine out of touch)" }
        ));
        outcome.is_broken |= is_counted && pause < LEASE;
    }
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let Ok(record) = Record::create(Path::new(&folder)) else { return ExitCode::from(2) };
    let mut has_two_holders = false;
    let mut seed = 0;
    while record.now() < 95.0 {
        seed += 1;
        record.say(&format!("fleet {seed}"));
        match play(&record, has_trouble, seed) {
            None => return ExitCode::from(2),
            Some(outcome) if outcome.is_broken => {
                record.say("ONE is broken: holders took turns within lease_ms");
                return ExitCode::from(1);
            }
            Some(outcome) => has_two_holders |= outcome.has_two_holders,
        }
        if !has_trouble {
            break;
        }
    }
    if has_trouble && !has_two_holders {
        record.say("no replica got orders of two machines");
        return ExitCode::from(2);
    }
    record.say("ONE held");
    ExitCode::SUCCESS
}
