//! A stand-in for a model replica: it registers itself, runs streams, and carries out orders as the
//! pages say. An adapter that a run uses is unloaded once its runs have ended.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::rig::{self, Record, ReplicaRequest, Rig, is_closed, json_member, respond};

/// Places for adapters and models, as in the configuration.
pub const ADAPTER_SLOTS: usize = 8;
pub const MODEL_SLOTS: usize = 3;
/// Stands for an order on which the replica crashes, so that nobody gets an answer.
const CRASHED: u16 = 0;

/// How a stream ends early.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StreamEnd {
    /// With its last event.
    Whole,
    /// In the middle of this event, with the end of the chunked body.
    InsideEvent(u64),
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
    run_tokens: Vec<(Instant, String, u64)>,
    is_dark: bool,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    zone: &'static str,
    born: u128,
    events: u64,
    event_time: Duration,
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
        let mut state = State::default();
        for model in models {
            state.models.insert((*model).to_owned(), BTreeSet::new());
        }
        let engine = Arc::new(Engine {
            id: format!("i-mind-{number}"),
            address: rig::free_address(rig.ip(100 + number)),
            zone: ["palermo", "catania", "agrigento"][usize::from(number) % 3],
            born: rig::unix_millis(),
            events,
            event_time,
            record: rig.record.clone(),
            state: Mutex::new(state),
            end: Mutex::new(Box::new(|_| StreamEnd::Whole)),
        });
        let shared = Arc::clone(&engine);
        rig::serve(engine.address, move |request, stream| shared.serve(request, stream));
        let (beating, store) = (Arc::clone(&engine), rig.store());
        std::thread::spawn(move || {
            loop {
                if !beating.lock().is_dark {
                    rig::put_item(store, &format!("servers/{}", beating.id), &beating.beat());
                }
                std::thread::sleep(Duration::from_millis(1_200));
            }
        });
        engine
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
        let models = self.lock().describe_models();
        format!(
            "{{\"service\":\"mind\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"combined\",\
             {models},\"sequence\":{},\"born\":{}}}",
            self.address,
            self.zone,
            self.lock().sequence,
            self.born
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
                    self.born
                );
                drop(state);
                respond(stream, 200, &[("Content-Type", "application/json")], report.as_bytes())
            }
            "/-/order" => {
                let status = self.take_order(&String::from_utf8_lossy(&request.body));
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
            if !state.holds(&key) {
                return respond(stream, 421, &[not_run, named], b"");
            }
            *state.runs.entry(key.clone()).or_default() += 1;
            let tokens = request.field("x-gentianwheel-token-count");
            let tokens = tokens.split(',').filter_map(|it| it.parse::<u64>().ok()).sum();
            state.run_tokens.push((Instant::now(), id.clone(), tokens));
            state.crashes
        };
        let after: u64 = request.field("last-event-id").parse().unwrap_or(0);
        self.record.line(format!("{} runs {id} target={target} after={after}", self.id));
        let end = {
            let end = self.end.lock().unwrap_or_else(|it| it.into_inner());
            (*end)(request)
        };
        let sent = self.send_stream(&id, after, end, crashes, stream);
        self.lock().end_run(&key);
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
            std::thread::sleep(self.event_time);
            if self.lock().crashes != crashes {
                return "crashed under";
            }
            if is_closed(stream) {
                return "lost its caller for";
            }
            let mut text = event_text(event);
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
        }
        match stream.write_all(b"0\r\n\r\n") {
            Ok(()) => "ended",
            Err(_) => "lost its caller for",
        }
    }
}

/// Returns an event of a stream.
pub fn event_text(event: u64) -> String {
    format!("id: {event}\ndata: piece {event} of the answer, which has some more words\n\n")
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
        let names: Vec<String> = self.models.keys().map(|it| format!("\"{it}\"")).collect();
        let (models, names) = (models.join(","), names.join(","));
        format!(
            "\"models\":[{models}],\"available\":{{\"in_memory\":[{names}],\"on_disk\":[{names}]}}"
        )
    }

    fn carry_out(&mut self, operation: &str, model: &str, adapter: Option<String>) -> u16 {
        match (operation, adapter) {
            ("load", Some(adapter)) => self.load_adapter(model, adapter),
            ("unload", Some(adapter)) => self.unload_adapter(model, adapter),
            ("load", None) if self.models.contains_key(model) => 200,
            ("load", None) => {
                if self.models.len() >= MODEL_SLOTS {
                    self.crash(format!("load {model} beside {} models", self.models.len()));
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
        let time = Duration::from_millis(if is_load { 6_000 } else { 50 });
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
            self.crash(format!("load {model}/{adapter} beside {held} adapters"));
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

    fn end_run(&mut self, key: &(String, String)) {
        if let Some(count) = self.runs.get_mut(key) {
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

    /// Ends all runs; the replica restarts empty but for its models, which the case needs no more.
    fn crash(&mut self, cause: String) {
        self.over_limit.push(cause);
        self.crashes += 1;
    }

    fn complete_orders(&mut self) {
        let is_used = |state: &Self, model: &str| state.runs.keys().any(|key| key.0 == model);
        let Some((model, is_load, until)) = self.open.clone() else { return };
        if until > Instant::now() || (!is_load && is_used(self, &model)) {
            return;
        }
        self.open = None;
        match is_load {
            true => self.models.insert(model, BTreeSet::new()),
            false => self.models.remove(&model),
        };
    }
}
