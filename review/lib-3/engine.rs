//! A model replica as PROTOCOL.md describes it: orders, reports and streams of events.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::{Json, Record, Request, Store, lock, quote, respond, serve, unix_millis};

/// An order that a replica got.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
    pub status: u16,
    pub text: String,
}

struct Change {
    model: String,
    adapter: Option<String>,
    is_load: bool,
    /// When it is done; an unload also waits for its runs.
    end: Instant,
}

#[derive(Default)]
struct EngineState {
    loaded: BTreeMap<String, BTreeSet<String>>,
    /// Models that were loaded before, whose copies load faster.
    copies: BTreeSet<String>,
    change: Option<Change>,
    sequence: u64,
    fence: u64,
    /// Running requests by model and adapter.
    running: BTreeMap<String, u32>,
}

pub struct EngineSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub holds: Vec<String>,
    pub adapter_slots: usize,
    /// Number of models that fit.
    pub model_slots: usize,
    pub load_time: Duration,
    /// Whether a fencing token that is lower than one seen is refused.
    pub checks_fences: bool,
}

pub struct Engine {
    settings: EngineSettings,
    born: u64,
    state: Mutex<EngineState>,
    pub orders: Mutex<Vec<Order>>,
    record: Record,
}

impl Engine {
    /// Starts the replica, with a heartbeat to the store every 1.2 s.
    pub fn start(settings: EngineSettings, store: &Store, record: &Record) -> std::io::Result<Arc<Engine>> {
        let loaded: BTreeMap<_, _> =
            settings.holds.iter().map(|name| (name.clone(), BTreeSet::new())).collect();
        let copies = settings.holds.iter().cloned().collect();
        let state = EngineState { loaded, copies, ..EngineState::default() };
        let engine = Arc::new(Engine {
            settings,
            born: unix_millis(),
            state: Mutex::new(state),
            orders: Mutex::default(),
            record: record.clone(),
        });
        let served = Arc::clone(&engine);
        serve(engine.settings.address, move |request, stream| served.handle(&request, stream))?;
        let (beating, store) = (Arc::clone(&engine), store.clone());
        thread::spawn(move || {
            let mut beats = 0;
            loop {
                beats += 1;
                store.put(&format!("servers/{}", beating.settings.id), &beating.entry(beats));
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        Ok(engine)
    }

    fn entry(&self, beats: u64) -> String {
        let it = &self.settings;
        format!(
            "{{\"service\":{},\"address\":{},\"zone\":{},\"version\":\"1\",\"slots\":64,\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"sequence\":{beats},\"born\":{},{}}}",
            quote(&it.service),
            quote(&it.address.to_string()),
            quote(&it.zone),
            self.born,
            self.models()
        )
    }

    fn models(&self) -> String {
        let mut state = lock(&self.state);
        state.settle();
        let models = state.loaded.iter().map(|(name, adapters)| {
            let adapters: Vec<String> = adapters.iter().map(|it| quote(it)).collect();
            format!("{{\"name\":{},\"version\":1,\"adapters\":[{}]}}", quote(name), adapters.join(","))
        });
        let models: Vec<String> = models.collect();
        let copies: Vec<String> = state.copies.iter().map(|it| quote(it)).collect();
        format!(
            "\"models\":[{}],\"available\":{{\"in_memory\":[{}],\"on_disk\":[]}}",
            models.join(","),
            copies.join(",")
        )
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let expected = request.header("X-Gentianwheel-Expect-Instance");
        let instance = ("X-Gentianwheel-Instance-Id", self.settings.id.as_str());
        if !expected.is_empty() && expected != self.settings.id {
            return respond(stream, 421, &[instance], b"");
        }
        match request.path() {
            "/-/report" => {
                let models = self.models();
                let state = lock(&self.state);
                let running: u32 = state.running.values().sum();
                let body = format!(
                    "{{\"stage\":\"combined\",{models},\"busy\":{},\"sequence\":{},\"waiting_count\":0,\
                     \"running_count\":{running},\"kv_cache_used\":0,\"kv_cache_total\":200000,\"handles\":0,\
                     \"incoming\":[],\"born\":{}}}",
                    state.change.is_some(),
                    state.sequence,
                    self.born
                );
                drop(state);
                respond(stream, 200, &[("Content-Type", "application/json")], body.as_bytes())
            }
            "/-/order" => self.handle_order(request, stream),
            _ => self.run(request, stream),
        }
    }

    fn handle_order(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let at = Instant::now();
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let status = self.decide(&body);
        let text = |name| body.text(name).unwrap_or("").to_owned();
        let order = Order {
            at,
            holder: text("holder"),
            fence: body.number("fencing_token").unwrap_or(0),
            status,
            text: format!("{} {}/{}", text("operation"), text("model"), text("adapter")),
        };
        self.record.note(&format!(
            "order at {}: {} holder={} fencing_token={} answer={status}",
            self.settings.id, order.text, order.holder, order.fence
        ));
        lock(&self.orders).push(order);
        respond(stream, status, &[], b"")
    }

    fn decide(&self, body: &Json) -> u16 {
        let (Some(operation), Some(model), Some(_), Some(fence)) = (
            body.text("operation"),
            body.text("model"),
            body.text("holder"),
            body.number("fencing_token"),
        ) else {
            return 400;
        };
        let mut state = lock(&self.state);
        state.settle();
        if self.settings.checks_fences && fence < state.fence {
            return 412;
        }
        state.fence = state.fence.max(fence);
        let adapter = body.text("adapter").map(ToOwned::to_owned);
        let has_other_sequence = body.number("expected").is_some_and(|it| it != state.sequence);
        if state.change.is_some() || has_other_sequence {
            return 409;
        }
        let is_load = operation == "load";
        let count: usize = state.loaded.values().map(BTreeSet::len).sum();
        let models = state.loaded.len();
        let known = state.loaded.get(model);
        let holds = match &adapter {
            Some(adapter) => known.is_some_and(|adapters| adapters.contains(adapter)),
            None => known.is_some(),
        };
        if holds == is_load {
            return 200;
        }
        if is_load && adapter.is_some() && known.is_none() {
            return 400;
        }
        let is_too_much = is_load
            && match adapter {
                Some(_) => count >= self.settings.adapter_slots,
                None => models >= self.settings.model_slots,
            };
        if is_too_much {
            self.record.note(&format!("{} is ordered to load more than it holds", self.settings.id));
        }
        state.sequence += 1;
        let now = Instant::now();
        let end = match (&adapter, is_load) {
            (Some(_), true) => now,
            (None, true) if state.copies.contains(model) => now + Duration::from_millis(600),
            (None, true) => now + self.settings.load_time,
            _ => now,
        };
        state.change = Some(Change { model: model.to_owned(), adapter, is_load, end });
        state.settle();
        // An adapter that no request uses is unloaded at once.
        match state.change.is_none() && !is_load {
            true => 200,
            false => 202,
        }
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let id = request.header("X-Gentianwheel-Request-Id").to_owned();
        let target = request.header("X-Gentianwheel-Model").to_owned();
        let (model, adapter) = match target.split_once('/') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (target.as_str(), None),
        };
        {
            let mut state = lock(&self.state);
            state.settle();
            let holds = state.loaded.get(model).is_some_and(|adapters| {
                adapter.is_none_or(|adapter| adapters.contains(adapter))
            });
            let leaves = state.change.as_ref().is_some_and(|it| !it.is_load && it.model == model && it.adapter.is_none());
            if !holds || leaves {
                drop(state);
                let not_run = ("X-Gentianwheel-Not-Executed", "1");
                return respond(stream, 421, &[not_run, ("X-Gentianwheel-Request-Id", &id)], b"");
            }
            *state.running.entry(target.clone()).or_default() += 1;
        }
        let is_whole = self.stream_events(request, &id, stream);
        let mut state = lock(&self.state);
        if let Some(count) = state.running.get_mut(&target) {
            *count -= 1;
        }
        state.running.retain(|_, count| *count > 0);
        is_whole
    }

    /// Sends as many events as the path names, with the pause that it names: /.../EVENTS/PAUSE_MS.
    fn stream_events(&self, request: &Request, id: &str, stream: &mut TcpStream) -> bool {
        let mut numbers = request.path().rsplit('/').map(|it| it.parse::<u64>().unwrap_or(0));
        let (pause, events) = (numbers.next().unwrap_or(0), numbers.next().unwrap_or(0));
        let after: u64 = request.header("Last-Event-Id").parse().unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Gentianwheel-Request-Id: {id}\r\n\
             X-Gentianwheel-Server-Stamp: {}\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n",
            self.settings.id
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in after + 1..=events {
            thread::sleep(Duration::from_millis(pause));
            let text = format!("id: {event}\ndata: {id} {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

impl EngineState {
    /// Completes the open change once it is due.
    fn settle(&mut self) {
        let Some(change) = &self.change else { return };
        let prefix = format!("{}/", change.model);
        let is_used = !change.is_load
            && self.running.keys().any(|target| match &change.adapter {
                Some(adapter) => *target == format!("{prefix}{adapter}"),
                None => *target == change.model || target.starts_with(&prefix),
            });
        if change.end > Instant::now() || is_used {
            return;
        }
        let Some(change) = self.change.take() else { return };
        match (change.adapter, change.is_load) {
            (Some(adapter), true) => drop(self.loaded.entry(change.model).or_default().insert(adapter)),
            (Some(adapter), false) => {
                if let Some(adapters) = self.loaded.get_mut(&change.model) {
                    adapters.remove(&adapter);
                }
            }
            (None, true) => {
                self.copies.insert(change.model.clone());
                self.loaded.entry(change.model).or_default();
            }
            (None, false) => drop(self.loaded.remove(&change.model)),
        }
    }
}
