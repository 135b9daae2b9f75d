//! Addresses, settings files and the configuration of the fleet under test.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use gentian_core::TimeSpan;
use gentian_http::ProcessClock;
use gentian_http::forward::{CallLimits, ConnectionPool, HeaderList, PooledClient, RequestHead};
use serde_json::{Value, json};

use crate::usage_log::{LATE_MILLIS, WINDOW_MILLIS};

pub(crate) const HOST: &str = "soak.example";
/// The two organisations and their API keys.
pub(crate) const KEYS: [(&str, &str); 2] =
    [("club", "key-of-the-club"), ("crew", "key-of-the-crew")];
pub(crate) const MODELS: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];
/// Part of a prompt on which engines crash.
pub(crate) const CRASH_PART: &str = "dead0";
/// End of the path of requests on which replicas crash.
pub(crate) const CRASH_PATH: &str = "/crash";
/// Memory that an entry may use.
pub(crate) const ENTRY_MEMORY_MB: u64 = 160;
/// Timeout of each route.
pub(crate) const ROUTE_TIMEOUT_MILLIS: u64 = 4_000;

/// Prefix of the names of the routes that versions add.
pub(crate) const VERSION_ROUTE_PREFIX: &str = "since-";
/// Versions of the configuration increase in uneven steps in the field; here they skip some.
pub(crate) const FIRST_VERSION: u64 = 1;
pub(crate) const VERSION_STEP: usize = 3;

const CALLER_PORT: u16 = 7_100;
const READY_PORT: u16 = 7_101;
const PEER_PORT: u16 = 7_102;
const REPLICA_PORT: u16 = 7_200;
const STORE_PORT: u16 = 7_300;
const PROXY_PORT: u16 = 7_400;
const API_PORT: u16 = 7_500;
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// Addresses of one run: every process has its own loopback address, in a subnet chosen by the
/// seed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetLayout {
    subnet: u8,
}

impl FleetLayout {
    /// Creates the layout of the run with this seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self { subnet: (seed % 200 + 20) as u8 }
    }

    fn address(self, host: usize, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, 77, self.subnet, host as u8), port))
    }

    /// Returns the address on which an entry accepts requests of callers.
    pub(crate) fn caller_address(self, entry: usize) -> SocketAddr {
        self.address(10 + entry, CALLER_PORT)
    }

    /// Returns the address of the readiness endpoint of an entry.
    pub(crate) fn readiness_address(self, entry: usize) -> SocketAddr {
        self.address(10 + entry, READY_PORT)
    }

    /// Returns the address on which a replica listens.
    pub(crate) fn replica_address(self, replica: usize) -> SocketAddr {
        self.address(100 + replica, REPLICA_PORT)
    }

    /// Returns the address of the proxy through which entries reach a replica.
    pub(crate) fn replica_proxy_address(self, replica: usize) -> SocketAddr {
        self.address(100 + replica, PROXY_PORT)
    }

    /// Returns the address on which the store listens.
    pub(crate) fn store_address(self) -> SocketAddr {
        self.address(2, STORE_PORT)
    }

    /// Returns the address of the proxy through which entries reach the store.
    pub(crate) fn store_proxy_address(self) -> SocketAddr {
        self.address(2, PROXY_PORT)
    }

    /// Returns the address of the platform's API for duties.
    pub(crate) fn api_address(self) -> SocketAddr {
        self.address(2, API_PORT)
    }

    /// Writes the settings file of an entry.
    pub(crate) fn write_settings(
        self,
        entry: usize,
        has_duties: bool,
        path: &Path,
    ) -> eyre::Result<()> {
        let ip = self.caller_address(entry).ip();
        let (front, ready) = (self.caller_address(entry), self.readiness_address(entry));
        let store = self.store_proxy_address();
        let zone = zone_name(entry);
        let cloud = match has_duties {
            true => format!(
                "[cloud]\naddress = \"{}\"\nduties = [\"usage\"]\nduty_per_s = 50\n",
                self.api_address()
            ),
            false => String::new(),
        };
        let (window, late) = (WINDOW_MILLIS as f64 / 1e3, LATE_MILLIS as f64 / 1e3);
        let text = format!(
            "node_name = \"vm-{entry}\"\nbootstrap = true\nzone = \"{zone}\"\nip = \"{ip}\"\n\
             internal_ports = [{PEER_PORT}, {PEER_PORT}]\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\n\
             [limits]\ncpu_share = 1.0\ncores = 1\nmemory_mb = {ENTRY_MEMORY_MB}\nfile_descriptors = 4100\n\
             [bounds]\nbudget_extra_attempts = 60\nquota_slack = 100000\ngrace_s = 8\n\
             window_s = {window}\nusage_late_s = {late}\n\
             [platform]\naddress = \"{store}\"\n{cloud}"
        );
        Ok(std::fs::write(path, text)?)
    }

    /// Writes the configuration with `version` to the store.
    pub(crate) fn publish(self, version: u64) -> eyre::Result<()> {
        self.put_record("op/config", &make_config(version))
    }

    /// Evacuates a zone, or ends its evacuation.
    pub(crate) fn set_evacuated(self, zone: &str, is_evacuated: bool) -> eyre::Result<()> {
        let key = format!("op/evacuate/{zone}");
        match is_evacuated {
            true => self.put_record(&key, &json!({})),
            false => self.transact(&json!({ "expected": [], "writes": [], "remove": [key] })),
        }
    }

    /// Has the store go back to what it held `age` ago, all leases included.
    pub(crate) fn restore_store(self, age: Duration) -> eyre::Result<()> {
        let target = format!("/control/restore?age_ms={}", age.as_millis());
        let status = self.call(self.store_address(), "POST", &target, b"")?;
        eyre::ensure!(status == 200, "the store responded with status {status}");
        Ok(())
    }

    /// Returns the number of entries that have a record in the store.
    pub(crate) fn count_entry_records(self) -> eyre::Result<usize> {
        let target = "/-/kv-range?path_prefix=gentianwheel/entries/";
        let (_, body) = self.call_and_read(self.store_address(), "GET", target, b"")?;
        let range: Value = serde_json::from_slice(&body)?;
        Ok(range["items"].as_array().map_or(0, Vec::len))
    }

    /// Sets a fault of a stand-in; `extent` is its unit (`count` or `millis`) and amount.
    pub(crate) fn set_fault(
        self,
        address: SocketAddr,
        name: &str,
        extent: (&str, u64),
    ) -> eyre::Result<()> {
        let (unit, amount) = extent;
        let target = format!("/control/fault?name={name}&{unit}={amount}");
        self.call(address, "POST", &target, b"").map(drop)
    }

    fn put_record(self, key: &str, value: &Value) -> eyre::Result<()> {
        let value = STANDARD.encode(value.to_string());
        let write = json!({ "key": key, "value": value, "lease": 0 });
        self.transact(&json!({ "expected": [], "writes": [write], "remove": [] }))
    }

    fn transact(self, change: &Value) -> eyre::Result<()> {
        let body = change.to_string();
        let status = self.call(self.store_address(), "POST", "/-/kv-txn", body.as_bytes())?;
        eyre::ensure!(status == 200, "the store responded with status {status}");
        Ok(())
    }

    fn call(
        self,
        address: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> eyre::Result<u16> {
        Ok(self.call_and_read(address, method, target, body)?.0)
    }

    fn call_and_read(
        self,
        address: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> eyre::Result<(u16, Vec<u8>)> {
        let clock = ProcessClock::new();
        let client = PooledClient::new(ConnectionPool::new(clock), clock);
        let headers = HeaderList::new()
            .with("Host", address.to_string())
            .with("Connection", "close")
            .with("Content-Length", body.len().to_string());
        let (method, target) = (method.to_owned(), target.to_owned());
        let head = RequestHead { method, target, is_http11: true, headers };
        let limits = CallLimits {
            connect: CALL_TIMEOUT,
            response: CALL_TIMEOUT,
            body: CALL_TIMEOUT,
            send_until: None,
        };
        let (head, body) = client.call(address, &head, body, limits)?;
        Ok((head.status, body))
    }
}

/// Returns the zone of an entry or a replica.
pub(crate) fn zone_name(number: usize) -> &'static str {
    ["north", "south"][number % 2]
}

/// Returns the name of the route that `version` of the configuration adds.
pub(crate) fn version_route(version: u64) -> String {
    format!("{VERSION_ROUTE_PREFIX}{version}")
}

fn make_config(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": ROUTE_TIMEOUT_MILLIS, "target_latency_ms": 500, "priority": 1,
            "service": service, "attempts": attempts, "resumable": kind == "streaming",
        })
    };
    let models = MODELS.iter().map(|name| {
        json!({
            "name": name, "weights_mb": 70_000, "load_s": 0.3, "disk_load_s": 0.3, "warm_s": 0.3,
            "adapters": 4, "adapter_mb": 10,
        })
    });
    let engine = json!({
        "slots": 16, "models": models.collect::<Vec<Value>>(), "weights_mb": 150_000,
        "adapter_slots": 2, "loads_per_s": 10,
    });
    let tenants = KEYS.iter().map(|(name, key)| {
        json!({
            "name": name, "api_keys": [key], "unit": "token_count", "plain_tokens": 10,
            "rate_per_s": 2_000_000, "burst": 2_000_000,
        })
    });
    let mut routes = vec![
        route("advice", "streaming", "engines", 2),
        route("look", "safe", "desk", 2),
        route("book", "unsafe", "desk", 1),
    ];
    // Each version adds a route, which shows whether it is in force.
    let versions = (FIRST_VERSION..=version).step_by(VERSION_STEP);
    routes.extend(versions.map(|added| route(&version_route(added), "safe", "desk", 2)));
    json!({
        "version": version,
        "routes": routes,
        "services": [
            { "name": "engines", "connection_limit": 200, "engine": engine },
            { "name": "desk", "connection_limit": 200 },
        ],
        "limits": {
            "header_bytes": 16384, "body_bytes": 1_000_000, "header_timeout_ms": 3000,
            "idle_timeout_ms": 10000,
        },
        "tenants": tenants.collect::<Vec<Value>>(),
    })
}
