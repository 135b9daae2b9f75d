//! A store, a replica and an entry with little memory, as processes on loopback.

#![allow(clippy::unwrap_used)]

#[path = "../test_processes/mod.rs"]
mod test_processes;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use gentian_core::TimeSpan;
use gentian_http::ProcessClock;
use gentian_http::forward::{CallLimits, ConnectionPool, HeaderList, PooledClient, RequestHead};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use test_processes::{POLL_INTERVAL, START_TIMEOUT, TestProcesses};

/// Memory of the entry's VM in the settings.
pub(crate) const MEMORY_MB: u64 = 64;
/// Descriptors of the entry's VM in the settings.
pub(crate) const FILE_DESCRIPTORS: usize = 1_400;
/// Largest legal body in the configuration.
pub(crate) const BODY_BYTES: usize = 1_000_000;

const HOST: &str = "bodies.example";
const KEY: &str = "key-of-the-club";
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_secs(10);
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// Lets only one fleet run at a time.
static FLEET_LOCK: Mutex<()> = Mutex::new(());
/// Subnet of the next fleet; sockets of an earlier one may still be closing.
static NEXT_SUBNET: AtomicU8 = AtomicU8::new(1);

pub(crate) struct BodyFleet {
    _guard: MutexGuard<'static, ()>,
    /// The entry is the last one.
    processes: TestProcesses,
    subnet: u8,
}

impl BodyFleet {
    /// Starts the processes and waits until the entry is ready.
    pub(crate) fn start() -> Self {
        Self::start_with(MEMORY_MB, BODY_BYTES)
    }

    /// Starts the processes, with this memory of the entry's VM and this largest legal body.
    pub(crate) fn start_with(memory_mb: u64, body_bytes: usize) -> Self {
        let guard = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let subnet = NEXT_SUBNET.fetch_add(1, Ordering::Relaxed);
        let processes = TestProcesses::new("gentian-bodies", subnet);
        let mut fleet = Self { _guard: guard, processes, subnet };
        let (store, replica) = (fleet.store().to_string(), fleet.address(100, 7_200).to_string());
        let journal = fleet.processes.path("replica.journal").display().to_string();
        fleet.processes.spawn("gentian-standin", &["fleet-store", "--address", &store]);
        fleet.processes.spawn(
            "gentian-standin",
            &[
                "fleet-replica",
                "--address",
                &replica,
                "--announce",
                &replica,
                "--store",
                &store,
                "--service",
                "desk",
                "--zone",
                "north",
                "--journal",
                &journal,
            ],
        );
        fleet
            .processes
            .wait_until("the store takes the configuration", || fleet.publish(body_bytes));
        let settings = fleet.write_settings(memory_mb).display().to_string();
        fleet.processes.spawn("gentianwheel", &["--settings", &settings]);
        fleet.processes.wait_until("the entry is ready", || fleet.is_ready());
        fleet
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        // The last two thirds of the subnets belong to the seeds of the soak.
        SocketAddr::from(([127, 78, self.subnet, host], port))
    }

    fn store(&self) -> SocketAddr {
        self.address(2, 7_300)
    }

    /// Returns the address on which the entry accepts requests.
    pub(crate) fn entry_address(&self) -> SocketAddr {
        self.address(10, 7_100)
    }

    /// Returns the id of the entry's process.
    pub(crate) fn entry_id(&self) -> u32 {
        self.processes.last_id()
    }

    /// Returns the head of a request without its framing and the empty line.
    pub(crate) fn request_head() -> String {
        format!(
            "POST /look/1 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n\
             X-Gentianwheel-Request-Id: crowd\r\n"
        )
    }

    /// Sends the entry a stop signal and returns whether it ended with success in time.
    pub(crate) fn stop_entry(&mut self) -> bool {
        let entry = self.processes.last();
        kill_process(Pid::from_child(entry), Signal::TERM).unwrap();
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = entry.try_wait().unwrap() {
                return status.success();
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }

    /// Returns whether the entry's process has not ended.
    pub(crate) fn is_entry_alive(&mut self) -> bool {
        self.processes.last().try_wait().unwrap().is_none()
    }

    /// Returns the status of the response to a request with a body of `body_bytes`; zero without one.
    pub(crate) fn call_entry(&self, body_bytes: usize) -> u16 {
        let headers = HeaderList::new()
            .with("Host", HOST)
            .with("Authorization", format!("Token {KEY}"))
            .with("X-Gentianwheel-Request-Id", "ordinary");
        self.call(self.entry_address(), ("POST", "/look/1"), headers, &vec![b'o'; body_bytes])
    }

    fn call(
        &self,
        address: SocketAddr,
        (method, target): (&str, &str),
        headers: HeaderList,
        body: &[u8],
    ) -> u16 {
        let clock = ProcessClock::new();
        let client = PooledClient::new(ConnectionPool::new(clock), clock);
        let headers =
            headers.with("Connection", "close").with("Content-Length", body.len().to_string());
        let (method, target) = (method.to_owned(), target.to_owned());
        let head = RequestHead { method, target, is_http11: true, headers };
        let limits = CallLimits {
            connect: CONNECT_TIMEOUT,
            response: CALL_TIMEOUT,
            body: CALL_TIMEOUT,
            send_until: None,
        };
        client.call(address, &head, body, limits).map_or(0, |(head, _)| head.status)
    }

    fn publish(&self, body_bytes: usize) -> bool {
        let value = STANDARD.encode(config(body_bytes).to_string());
        let write = json!({ "key": "op/config", "value": value, "lease": 0 });
        let change = json!({ "expected": [], "writes": [write], "remove": [] }).to_string();
        let headers = HeaderList::new().with("Host", "store");
        self.call(self.store(), ("POST", "/-/kv-txn"), headers, change.as_bytes()) == 200
    }

    fn is_ready(&self) -> bool {
        let headers = HeaderList::new().with("Host", "ready");
        self.call(self.address(10, 7_101), ("GET", "/-/readiness"), headers, b"") == 200
    }

    fn write_settings(&self, memory_mb: u64) -> PathBuf {
        let (front, ready) = (self.entry_address(), self.address(10, 7_101));
        let (ip, store) = (front.ip(), self.store());
        let text = format!(
            "node_name = \"vm-0\"\nbootstrap = true\nzone = \"north\"\nip = \"{ip}\"\n\
             internal_ports = [7102, 7102]\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\n\
             [limits]\ncpu_share = 1.0\ncores = 1\nmemory_mb = {memory_mb}\n\
             file_descriptors = {FILE_DESCRIPTORS}\n\
             [bounds]\nbudget_extra_attempts = 60\nquota_slack = 100000\ngrace_s = 8\n\
             [platform]\naddress = \"{store}\"\n"
        );
        let path = self.processes.path("entry.toml");
        std::fs::write(&path, text).unwrap();
        path
    }
}

fn config(body_bytes: usize) -> Value {
    let route = json!({
        "name": "look", "host": HOST, "path_prefix": "/look/", "kind": "safe",
        "timeout_ms": 8_000, "target_latency_ms": 500, "priority": 1, "service": "desk",
        "attempts": 2, "resumable": false,
    });
    json!({
        "version": 1,
        "routes": [route],
        "services": [{ "name": "desk", "connection_limit": 200 }],
        "limits": {
            "header_bytes": 16384, "body_bytes": body_bytes, "header_timeout_ms": 3000,
            "idle_timeout_ms": 10000,
        },
        "tenants": [{
            "name": "club", "api_keys": [KEY], "unit": "token_count", "plain_tokens": 10,
            "rate_per_s": 2_000_000, "burst": 2_000_000,
        }],
    })
}
