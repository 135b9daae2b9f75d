//! A stand-in for a model replica: it registers itself, runs streams, and carries out orders as the
//! pages say. An adapter that a run uses is unloaded once its runs have ended.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::rig::{self, Record, ReplicaRequest, Rig, is_closed, json_member, respond};

/// Places for adapters and models, as in the configuration.
pub const ADAPTER_SLOTS: usize = 8;
pub const MODEL_SLOTS: usize = 3;
/// Interval of the heartbeats, as in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time in ms for which a replica is down after a crash, unless it is set.
const DOWN_MS: u64 = 2_000;
/// Stands for an order on which the replica crashes, so that nobody gets an answer.
const CRASHED: u16 = 0;

/// How a stream ends early.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StreamEnd {
    /// With its last event.
    Whole,
    /// In the middle of this event, with the end of the chunked body.
    InsideEvent(u64),
    /// The replica crashes once it has written this event.
    Crash(u64),
}

#[derive(Default)]
struct State {
    /// Models with their adapters.
    models: BTreeMap<String, BTreeSet<String>>,
    /// Adapters whose unload waits for their runs.
    unloading: BTreeSet<(String, String)>,
    /// Runs in progress by model and adapter; the adapter is empty for the model itself.
    runs: BTreeMap<(String, String), usize>,
    open: Option<(String, bool, Instant)>,
    sequence: u64,
    fence: u64,
    /// Names the holders that gave orders.
    holders: Vec<String>,
    over_limit: Vec<String>,
    /// Rises when the replica crashes, which ends its runs.
    crashes: u64,
    /// Since a crash, until the replica is back.
    down_until: Option<Instant>,
    /// Models that lie on the disk.
    on_disk: BTreeSet<String>,
    /// When the replica crashed.
    crash_times: Vec<Instant>,
    /// Requests that began to run: when, their ids and their parts.
    arrivals: Vec<(Instant, String, String)>,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    zone: &'static str,
    service: &'static str,
    born: AtomicU64,
    /// Version of the software, and those of the next starts.
    version: Mutex<String>,
    next_versions: Mutex<Vec<String>>,
    /// Whether a replica that starts again writes its entry at once, or a heartbeat later.
    beats_at_start: AtomicBool,
    down_ms: AtomicU64,
    events: u64,
    event_time: Duration,
    /// Time from the head of an answer to its first event.
    prefill_time: Duration,
    record: Record,
    state: Mutex<State>,
    end: Mutex<Box<dyn Fn(&ReplicaRequest) -> StreamEnd + Send + Sync>>,
}

impl Engine {
    /// Starts a replica that has loaded `models`.
    pub fn start(
        rig: &Rig,
        number: u8,
        models: &[&str],
        events: u64,
        event_time: Duration,
    ) -> Arc<Engine> {
        Engine::start_with_prefill(rig, number, models, events, event_time, event_time)
    }

    /// Starts a replica of the service `talk`, which streams and has no models.
    pub fn start_plain(rig: &Rig, number: u8, events: u64, event_time: Duration) -> Arc<Engine> {
        Engine::start_service(rig, ("talk", number), &[], events, (event_time, event_time))
    }

    /// Starts a replica that writes the head of an answer when it takes the request up, and the first
    /// event `prefill_time` later.
    pub fn start_with_prefill(
        rig: &Rig,
        number: u8,
        models: &[&str],
        events: u64,
        event_time: Duration,
        prefill_time: Duration,
    ) -> Arc<Engine> {
        Engine::start_service(rig, ("mind", number), models, events, (event_time, prefill_time))
    }

    fn start_service(
        rig: &Rig,
        (service, number): (&'static str, u8),
        models: &[&str],
        events: u64,
        (event_time, prefill_time): (Duration, Duration),
    ) -> Arc<Engine> {
        let mut state = State::default();
        for model in models {
            state.models.insert((*model).to_owned(), BTreeSet::new());
            state.on_disk.insert((*model).to_owned());
        }
        let engine = Arc::new(Engine {
            id: format!("i-{service}-{number}"),
            service,
            address: rig::free_address(rig.ip(100 + number)),
            zone: ["palermo", "catania", "agrigento"][usize::from(number) % 3],
            born: AtomicU64::new(rig::unix_millis() as u64),
            version: Mutex::new("v1".to_owned()),
            next_versions: Mutex::default(),
            beats_at_start: AtomicBool::new(true),
            down_ms: AtomicU64::new(DOWN_MS),
            events,
            event_time,
            prefill_time,
            record: rig.record.clone(),
            state: Mutex::new(state),
            end: Mutex::new(Box::new(|_| StreamEnd::Whole)),
        });
        let (watched, shared) = (Arc::clone(&engine), Arc::clone(&engine));
        rig::serve_while_up(
            engine.address,
            move || watched.is_up(),
            move |request, stream| shared.serve(request, stream),
        );
        let (beating, store) = (Arc::clone(&engine), rig.store());
        std::thread::spawn(move || {
            loop {
                let born = beating.born.load(Ordering::Relaxed);
                if beating.is_up() {
                    rig::put_item(store, &format!("servers/{}", beating.id), &beating.beat());
                }
                let is_new = || beating.born.load(Ordering::Relaxed) != born && beating.is_up();
                let mut waited = Duration::ZERO;
                while waited < HEARTBEAT {
                    std::thread::sleep(Duration::from_millis(20));
                    waited += Duration::from_millis(20);
                    if is_new() {
                        if !beating.beats_at_start.load(Ordering::Relaxed) {
                            std::thread::sleep(HEARTBEAT);
                        }
                        break;
                    }
                }
            }
        });
        engine
    }

    /// Returns whether the replica is up; brings it back after a crash if it is time.
    fn is_up(&self) -> bool {
        let mut state = self.lock();
        let Some(until) = state.down_until else { return true };
        if until > Instant::now() {
            return false;
        }
        state.down_until = None;
        let mut next_versions = self.next_versions.lock().unwrap_or_else(|it| it.into_inner());
        if !next_versions.is_empty() {
            *self.version.lock().unwrap_or_else(|it| it.into_inner()) = next_versions.remove(0);
        }
        self.born.store(rig::unix_millis() as u64, Ordering::Relaxed);
        self.record.line(format!("{} is back with software {}", self.id, self.version()));
        true
    }

    fn down_time(&self) -> Duration {
        Duration::from_millis(self.down_ms.load(Ordering::Relaxed))
    }

    /// Returns the version of the software that runs now.
    pub fn version(&self) -> String {
        self.version.lock().unwrap_or_else(|it| it.into_inner()).clone()
    }

    /// Sets the versions of the next starts, that each of them writes its entry a heartbeat later, and how
    /// long the replica is down before it.
    pub fn set_next_versions(&self, versions: &[&str], down_time: Duration) {
        self.down_ms.store(down_time.as_millis() as u64, Ordering::Relaxed);
        let versions = versions.iter().map(|it| (*it).to_owned()).collect();
        *self.next_versions.lock().unwrap_or_else(|it| it.into_inner()) = versions;
        self.beats_at_start.store(false, Ordering::Relaxed);
    }

    pub fn crash(&self, cause: &str) {
        let mut state = self.lock();
        if state.down_until.is_none() {
            state.crash();
            state.down_until = Some(Instant::now() + self.down_time());
            self.record.line(format!("{} crashes: {cause}", self.id));
        }
    }

    /// The end of a process closes its port before anybody can notice that its connections are closed.
    fn wait_for_closed_port(&self) {
        std::thread::sleep(Duration::from_millis(20));
    }

    pub fn crash_times(&self) -> Vec<Instant> {
        self.lock().crash_times.clone()
    }

    /// Returns when each request began to run, with its id and the parts of its prompt.
    pub fn arrivals(&self) -> Vec<(Instant, String, String)> {
        self.lock().arrivals.clone()
    }

    /// Sets how streams end.
    pub fn set_end(&self, end: impl Fn(&ReplicaRequest) -> StreamEnd + Send + Sync + 'static) {
        *self.end.lock().unwrap_or_else(|it| it.into_inner()) = Box::new(end);
    }

    pub fn holders(&self) -> Vec<String> {
        self.lock().holders.clone()
    }

    /// Returns the loads that were ordered beyond what the replica holds.
    pub fn over_limit(&self) -> Vec<String> {
        self.lock().over_limit.clone()
    }

    /// Returns the adapters that the replica holds, those included whose unload waits.
    pub fn adapters(&self) -> Vec<String> {
        let state = self.lock();
        state.models.values().flatten().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(|it| it.into_inner());
        state.complete_orders();
        state
    }

    fn beat(&self) -> String {
        let models = match self.service {
            "mind" => format!("{},", self.lock().describe_models()),
            _ => String::new(),
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"combined\",\
             {models}\"sequence\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.version(),
            self.lock().sequence,
            self.born.load(Ordering::Relaxed)
        )
    }

    fn serve(&self, request: &ReplicaRequest, stream: &mut TcpStream) -> bool {
        match request.path.as_str() {
            "/-/report" => {
                let state = self.lock();
                let report = format!(
                    "{{\"stage\":\"combined\",{},\"busy\":{},\"sequence\":{},\"waiting_count\":0,\
                     \"running_count\":{},\"kv_cache_used\":0,\"kv_cache_total\":252446,\
                     \"handles\":0,\"incoming\":[],\"born\":{}}}",
                    state.describe_models(),
                    state.open.is_some(),
                    state.sequence,
                    state.runs.values().sum::<usize>(),
                    self.born.load(Ordering::Relaxed)
                );
                drop(state);
                respond(stream, 200, &[("Content-Type", "application/json")], report.as_bytes())
            }
            "/-/order" => {
                let status = self.take_order(&String::from_utf8_lossy(&request.body));
                if status == CRASHED {
                    self.lock().down_until = Some(Instant::now() + self.down_time());
                }
                status != CRASHED && respond(stream, status, &[], b"")
            }
            _ => self.run(request, stream),
        }
    }

    fn take_order(&self, order: &str) -> u16 {
        let member = |name| json_member(order, name).map(str::to_owned);
        let number = |name| member(name).and_then(|it: String| it.parse::<u64>().ok());
        let mut state = self.lock();
        let (Some(operation), Some(model), Some(holder), Some(fence)) =
            (member("operation"), member("model"), member("holder"), number("fencing_token"))
        else {
            return 400;
        };
        let status = if fence < state.fence {
            412
        } else {
            state.fence = fence;
            let is_other = number("expected").is_some_and(|it| it != state.sequence);
            let is_busy = state.open.is_some() || !state.unloading.is_empty();
            match is_other || is_busy {
                true => 409,
                false => state.carry_out(&operation, &model, member("adapter")),
            }
        };
        if !state.holders.contains(&holder) {
            state.holders.push(holder);
        }
        let held: usize = state.models.values().map(BTreeSet::len).sum();
        drop(state);
        self.record.line(format!("{} order {order} -> {status}; adapters held: {held}", self.id));
        status
    }

    /// Runs a stream.
    fn run(&self, request: &ReplicaRequest, stream: &mut TcpStream) -> bool {
        let id = request.id().to_owned();
        let named = ("X-Gentianwheel-Request-Id", id.as_str());
        let not_run = ("X-Gentianwheel-Not-Executed", "1");
        if request.field("x-gentianwheel-expect-instance") != self.id {
            return respond(stream, 421, &[("X-Gentianwheel-Instance-Id", &self.id), named], b"");
        }
        let target = request.field("x-gentianwheel-model");
        let (model, adapter) = target.split_once('/').unwrap_or((target, ""));
        let key = (model.to_owned(), adapter.to_owned());
        let crashes = {
            let mut state = self.lock();
            if state.unloading.contains(&key) {
                return respond(stream, 503, &[not_run, named], b"");
            }
            if self.service == "mind" && !state.holds(&key) {
                return respond(stream, 421, &[not_run, named], b"");
            }
            *state.runs.entry(key.clone()).or_default() += 1;
            let parts = request.field("x-gentianwheel-prompt-prefix").to_owned();
            state.arrivals.push((Instant::now(), id.clone(), parts));
            state.crashes
        };
        let after: u64 = request.field("last-event-id").parse().unwrap_or(0);
        self.record.line(format!("{} runs {id} target={target} after={after}", self.id));
        let end = {
            let end = self.end.lock().unwrap_or_else(|it| it.into_inner());
            (*end)(request)
        };
        let sent = self.send_stream(&id, after, end, crashes, stream);
        self.lock().end_run(&key, crashes);
        self.record.line(format!("{} {sent} {id}", self.id));
        sent == "ended"
    }

    fn send_stream(
        &self,
        id: &str,
        after: u64,
        end: StreamEnd,
        crashes: u64,
        stream: &mut TcpStream,
    ) -> &'static str {
        use std::io::Write;
        let version = self.version();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\nX-Gentianwheel-Request-Id: {id}\r\n\
             X-Gentianwheel-Server-Stamp: {}.{id}\r\nX-Gentianwheel-Weight-Versions: 1\r\n\r\n",
            self.id
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return "lost its caller for";
        }
        for event in after + 1..=self.events {
            let is_first = event == after + 1;
            std::thread::sleep(if is_first { self.prefill_time } else { self.event_time });
            if self.lock().crashes != crashes {
                self.wait_for_closed_port();
                return "crashed under";
            }
            if is_closed(stream) {
                return "lost its caller for";
            }
            let mut text = event_text(event, &version);
            if end == StreamEnd::InsideEvent(event) {
                text.truncate(text.len() / 2);
                let last = format!("{:x}\r\n{text}\r\n0\r\n\r\n", text.len());
                return match stream.write_all(last.as_bytes()) {
                    Ok(()) => "stopped inside an event of",
                    Err(_) => "lost its caller for",
                };
            }
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return "lost its caller for";
            }
            if end == StreamEnd::Crash(event - after) {
                std::thread::sleep(Duration::from_millis(3));
                self.crash(id);
                self.wait_for_closed_port();
                return "crashed under";
            }
        }
        match stream.write_all(b"0\r\n\r\n") {
            Ok(()) => "ended",
            Err(_) => "lost its caller for",
        }
    }
}

/// Returns an event of a stream.
pub fn event_text(event: u64, version: &str) -> String {
    format!("id: {event}\ndata: {version} piece {event} of the answer with some more words\n\n")
}

impl State {
    fn holds(&self, (model, adapter): &(String, String)) -> bool {
        let adapters = self.models.get(model);
        adapters.is_some_and(|adapters| adapter.is_empty() || adapters.contains(adapter))
    }

    fn describe_models(&self) -> String {
        let model = |(name, adapters): (&String, &BTreeSet<String>)| {
            let adapters: Vec<String> = adapters.iter().map(|it| format!("\"{it}\"")).collect();
            let adapters = adapters.join(",");
            format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[{adapters}]}}")
        };
        let models: Vec<String> = self.models.iter().map(model).collect();
        let names: Vec<String> = self.on_disk.iter().map(|it| format!("\"{it}\"")).collect();
        let (models, names) = (models.join(","), names.join(","));
        format!(
            "\"models\":[{models}],\"available\":{{\"in_memory\":[],\"on_disk\":[{names}]}}"
        )
    }

    fn carry_out(&mut self, operation: &str, model: &str, adapter: Option<String>) -> u16 {
        match (operation, adapter) {
            ("load", Some(adapter)) => self.load_adapter(model, adapter),
            ("unload", Some(adapter)) => self.unload_adapter(model, adapter),
            ("load", None) if self.models.contains_key(model) => 200,
            ("load", None) => {
                if self.models.len() >= MODEL_SLOTS {
                    self.over_limit.push(format!("{model} beside {} models", self.models.len()));
                    self.crash();
                    return CRASHED;
                }
                self.begin(model, true)
            }
            ("unload", None) if self.models.contains_key(model) => self.begin(model, false),
            ("unload", None) => 200,
            _ => 400,
        }
    }

    fn begin(&mut self, model: &str, is_load: bool) -> u16 {
        self.sequence += 1;
        let load_time = if self.on_disk.contains(model) { 1_300 } else { 6_000 };
        let time = Duration::from_millis(if is_load { load_time } else { 50 });
        self.open = Some((model.to_owned(), is_load, Instant::now() + time));
        202
    }

    fn load_adapter(&mut self, model: &str, adapter: String) -> u16 {
        let held: usize = self.models.values().map(BTreeSet::len).sum();
        let Some(adapters) = self.models.get_mut(model) else { return 400 };
        let key = (model.to_owned(), adapter.clone());
        if adapters.contains(&adapter) && !self.unloading.contains(&key) {
            return 200;
        }
        if !adapters.contains(&adapter) && held >= ADAPTER_SLOTS {
            self.over_limit.push(format!("{model}/{adapter} beside {held} adapters"));
            self.crash();
            return CRASHED;
        }
        adapters.insert(adapter);
        self.unloading.remove(&key);
        self.sequence += 1;
        202
    }

    fn unload_adapter(&mut self, model: &str, adapter: String) -> u16 {
        let key = (model.to_owned(), adapter.clone());
        if !self.holds(&key) {
            return 200;
        }
        self.sequence += 1;
        if self.runs.contains_key(&key) {
            // "An unload waits for its runs to finish."
            self.unloading.insert(key);
            return 202;
        }
        if let Some(adapters) = self.models.get_mut(model) {
            adapters.remove(&adapter);
        }
        200
    }

    fn end_run(&mut self, key: &(String, String), crashes: u64) {
        if crashes == self.crashes
            && let Some(count) = self.runs.get_mut(key) {
            *count -= 1;
            if *count == 0 {
                self.runs.remove(key);
                if self.unloading.remove(key)
                    && let Some(adapters) = self.models.get_mut(&key.0)
                {
                    adapters.remove(&key.1);
                }
            }
        }
    }

    /// Ends all runs. The replica restarts empty; its disk stays.
    fn crash(&mut self) {
        self.crashes += 1;
        self.crash_times.push(Instant::now());
        self.models.clear();
        self.unloading.clear();
        self.runs.clear();
        self.open = None;
        self.sequence = 0;
        self.fence = 0;
    }

    fn complete_orders(&mut self) {
        let is_used = |state: &Self, model: &str| state.runs.keys().any(|key| key.0 == model);
        let Some((model, is_load, until)) = self.open.clone() else { return };
        if until > Instant::now() || (!is_load && is_used(self, &model)) {
            return;
        }
        self.open = None;
        match is_load {
            true => {
                self.on_disk.insert(model.clone());
                self.models.insert(model, BTreeSet::new())
            }
            false => self.models.remove(&model),
        };
    }
}
