#![allow(dead_code)]
//! Front machines are stopped in turn under load; checks that the orders of two machines to one replica
//! are `lease_ms` apart.

#[path = "base.rs"]
mod base;
#[path = "engine.rs"]
mod engine;
#[path = "fleet.rs"]
mod fleet;

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base::{Process, Random, Record, SIGTERM, Store, Subnet, TemporaryFolder, is_ready, lock};
use engine::{Engine, EngineSettings, Order};
use fleet::{ADAPTERS, Caller, VITALE_BOUNDS, configuration, settings};

const FRONTS: u8 = 9;
const STOPPED: u8 = 4;
const REPLICAS: u8 = 2;
/// Callers, and the time from one request of each to the next: 21 requests a second together, as on the site.
const CALLERS: u64 = 21;
const REQUEST_INTERVAL: Duration = Duration::from_millis(1_000);
const LEASE: Duration = Duration::from_millis(3_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// `gap_s` of the site's roll_term.
const GAP: Duration = Duration::from_millis(1_300);

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
        std::fs::write(&path, settings(subnet, number, true, VITALE_BOUNDS)).ok()?;
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
    for worker in 0..CALLERS {
        let caller = Arc::clone(&caller);
        threads.push(thread::spawn(move || {
            let mut random = Random(seed * 1_000 + worker);
            thread::sleep(REQUEST_INTERVAL * worker as u32 / CALLERS as u32);
            while !caller.must_end.load(Ordering::Relaxed) {
                let front = STOPPED + 1 + random.below(u64::from(FRONTS - STOPPED)) as u8;
                let model = format!("m0/a{}", random.below(ADAPTERS) + 1);
                let next = Instant::now() + REQUEST_INTERVAL;
                caller.ask(caller.subnet.front(front), &model, 4, 25, 5_000);
                thread::sleep(next.saturating_duration_since(Instant::now()));
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
        restart_ended(&mut fronts, subnet, &folder, record, &mut stop_times);
    } else {
        thread::sleep(GAP * 3 + Duration::from_secs(5));
    }
    caller.must_end.store(true, Ordering::Relaxed);
    let mut outcome = Outcome { is_broken: false, has_two_holders: false };
    for engine in &engines {
        judge(&lock(&engine.orders), &stop_times, record, &mut outcome);
    }
    record.note(&format!("answers: {:?}", lock(&caller.answers)));
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
    stop_times: &mut Vec<(String, Instant)>,
) {
    let end = Instant::now() + Duration::from_secs(5);
    while Instant::now() < end {
        for (number, process) in fronts.iter_mut() {
            if process.has_ended() {
                record.note(&format!("front-{number} has ended and starts again"));
                let path = folder.0.join(format!("front-{number}.toml"));
                let log = folder.0.join(format!("front-{number}.log"));
                let is_written = std::fs::write(&path, settings(subnet, *number, false, VITALE_BOUNDS)).is_ok();
                if let (true, Ok(started)) = (is_written, Process::start(&path, &log)) {
                    *process = started;
                    stop_times.push((format!("front-{number}"), Instant::now()));
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

/// ONE: orders of two machines to one replica within `lease_ms`, both in touch: neither was stopped or started in
/// the last `contact_ms` before its order.
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
    while record.now() < 88.0 {
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
