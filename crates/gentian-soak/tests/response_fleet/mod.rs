//! A store and an entry as processes on loopback, before upstreams whose responses a test writes byte by
//! byte.

#![allow(clippy::unwrap_used)]

mod raw_client;
mod scripted_upstream;
#[path = "../test_processes/mod.rs"]
mod test_processes;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use gentian_core::TimeSpan;
use gentian_http::HttpClient;
use serde_json::{Value, json};

use test_processes::TestProcesses;

pub(crate) use raw_client::{RawCall, RawResponse};
pub(crate) use scripted_upstream::{Arrival, ResponseStep, ScriptedUpstreams};

/// Host and key of the calls.
pub(crate) const HOST: &str = "responses.example";
pub(crate) const KEY: &str = "key-of-the-club";
/// Time until an open request ends at the latest.
pub(crate) const ROUTE_TIMEOUT_MILLIS: u64 = 6_000;

const UPSTREAMS: u8 = 3;
/// Size of the receive buffers of the upstreams, so that connections don't take long requests unread.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
const BODY_BYTES: usize = 8_000_000;
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Lets only one fleet run at a time.
static FLEET_LOCK: Mutex<()> = Mutex::new(());
/// Subnet of the next fleet; sockets of an earlier one may still be closing.
static NEXT_SUBNET: AtomicU8 = AtomicU8::new(1);

/// An entry before upstreams that all response alike. The routes `/look/` (safe), `/book/` (unsafe),
/// `/chat/` (resumable streams) and `/season/` (other streams) lead to them.
pub(crate) struct ResponseFleet {
    _guard: MutexGuard<'static, ()>,
    processes: TestProcesses,
    subnet: u8,
    upstreams: ScriptedUpstreams,
}

impl ResponseFleet {
    /// Starts the processes and waits until the entry is ready.
    pub(crate) fn start() -> Self {
        Self::start_with(Some(RECEIVE_BUFFER_BYTES))
    }

    /// Starts the processes before upstreams with this receive buffer, or that of the system.
    pub(crate) fn start_with(receive_buffer: Option<usize>) -> Self {
        let guard = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let subnet = NEXT_SUBNET.fetch_add(1, Ordering::Relaxed);
        let processes = TestProcesses::new("gentian-responses", subnet);
        let addresses = (0..UPSTREAMS).map(|number| upstream_address(subnet, number));
        let upstreams = ScriptedUpstreams::start(addresses.collect(), receive_buffer);
        let mut fleet = Self { _guard: guard, processes, subnet, upstreams };
        let store = fleet.store().to_string();
        fleet.processes.spawn("gentian-standin", &["fleet-store", "--address", &store]);
        fleet
            .processes
            .wait_until("the store takes the configuration", || fleet.put("op/config", &config()));
        for number in 0..UPSTREAMS {
            let record = registration(upstream_address(subnet, number));
            assert!(fleet.put(&format!("servers/up-{number}"), &record));
        }
        let settings = fleet.write_settings().display().to_string();
        fleet.processes.spawn("gentianwheel", &["--settings", &settings]);
        fleet.processes.wait_until("the entry is ready", || fleet.is_ready());
        let first = RawCall::get("/look/0");
        fleet.processes.wait_until("the entry serves", || fleet.call(&first).status == 200);
        fleet.upstreams.take_arrivals();
        fleet
    }

    /// Has the next request that reaches an upstream be answered by these steps, and further ones by a
    /// sound response.
    pub(crate) fn script(&self, steps: &[ResponseStep]) {
        self.upstreams.script(steps);
    }

    /// Has all reports of the upstreams be answered by these steps from now on.
    pub(crate) fn script_reports(&self, steps: &[ResponseStep]) {
        self.upstreams.script_reports(steps);
    }

    /// Makes a call as a client of the entry.
    pub(crate) fn call(&self, call: &RawCall) -> RawResponse {
        call.send(self.address(10, 7_100))
    }

    /// Returns the requests that have reached upstreams since the last time.
    pub(crate) fn take_arrivals(&self) -> Vec<Arrival> {
        self.upstreams.take_arrivals()
    }

    /// Returns the sum of the metrics whose name and labels begin so; zero without them.
    pub(crate) fn metric(&self, start: &str) -> u64 {
        let client = HttpClient::new(self.address(10, 9_464), CALL_TIMEOUT);
        let read = client.call_and_read("GET", "/metrics", &[], MAX_RESPONSE_BYTES);
        let text = String::from_utf8(read.unwrap().1).unwrap();
        let lines = text.lines().filter(|line| line.starts_with(start));
        let values = lines.filter_map(|line| line.rsplit(' ').next());
        values.map(|value| value.parse::<u64>().unwrap()).sum()
    }

    /// Waits until the entry has logged this many lines with this text.
    pub(crate) fn wait_for_log_lines(&self, text: &str, count: usize) {
        let log = self.processes.path("1-gentianwheel.log");
        self.processes.wait_until(&format!("{count} lines with {text}"), || {
            let log = std::fs::read_to_string(&log).unwrap();
            log.lines().filter(|line| line.contains(text)).count() == count
        });
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, 79, self.subnet, host], port))
    }

    fn store(&self) -> SocketAddr {
        self.address(2, 7_300)
    }

    fn put(&self, key: &str, value: &Value) -> bool {
        let value = STANDARD.encode(value.to_string());
        let write = json!({ "key": key, "value": value, "lease": 0 });
        let change = json!({ "expected": [], "writes": [write], "remove": [] }).to_string();
        let client = HttpClient::new(self.store(), CALL_TIMEOUT);
        let written =
            client.call_and_read("POST", "/-/kv-txn", change.as_bytes(), MAX_RESPONSE_BYTES);
        written.is_ok_and(|(status, _)| status == 200)
    }

    fn is_ready(&self) -> bool {
        let client = HttpClient::new(self.address(10, 7_101), CALL_TIMEOUT);
        let read = client.call_and_read("GET", "/-/readiness", &[], MAX_RESPONSE_BYTES);
        read.is_ok_and(|(status, _)| status == 200)
    }

    fn write_settings(&self) -> PathBuf {
        let (front, ready) = (self.address(10, 7_100), self.address(10, 7_101));
        let (ip, store) = (front.ip(), self.store());
        let text = format!(
            "node_name = \"vm-0\"\nbootstrap = true\nzone = \"north\"\nip = \"{ip}\"\n\
             internal_ports = [7102, 7102]\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\n\
             [limits]\ncpu_share = 1.0\ncores = 1\nmemory_mb = 260\nfile_descriptors = 1400\n\
             [bounds]\nbudget_extra_attempts = 600\nquota_slack = 100000\ngrace_s = 8\n\
             [platform]\naddress = \"{store}\"\n"
        );
        let path = self.processes.path("entry.toml");
        std::fs::write(&path, text).unwrap();
        path
    }
}

fn upstream_address(subnet: u8, number: u8) -> SocketAddr {
    SocketAddr::from(([127, 79, subnet, 100 + number], 7_200))
}

fn registration(address: SocketAddr) -> Value {
    json!({
        "service": "desk", "address": address, "zone": "north", "version": "v1", "slots": 64,
        "state": "ready", "born": scripted_upstream::BORN, "cold_remaining_ms": 0,
    })
}

fn config() -> Value {
    let route = |name: &str, kind: &str, attempts: u32, is_resumable: bool| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": ROUTE_TIMEOUT_MILLIS, "target_latency_ms": 500, "priority": 1,
            "service": "desk", "attempts": attempts, "resumable": is_resumable,
        })
    };
    json!({
        "version": 1,
        "routes": [
            route("look", "safe", 2, false),
            route("book", "unsafe", 2, false),
            route("chat", "streaming", 2, true),
            route("season", "streaming", 2, false),
        ],
        "services": [{ "name": "desk", "connection_limit": 200 }],
        "limits": {
            "header_bytes": 16384, "body_bytes": BODY_BYTES, "header_timeout_ms": 3000,
            "idle_timeout_ms": 10000,
        },
        "tenants": [{
            "name": "club", "api_keys": [KEY], "unit": "token_count", "plain_tokens": 10,
            "rate_per_s": 2_000_000, "burst": 2_000_000,
        }],
    })
}
