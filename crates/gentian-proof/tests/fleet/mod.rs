//! Runs a small fleet of real processes on loopback and injects faults into it.

#![allow(clippy::unwrap_used, dead_code)]

mod caller;
mod link;

use std::collections::BTreeMap;
use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use gentian_config::digest_key;
use gentian_core::TimeSpan;
use gentian_http::HttpClient;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

#[allow(unused_imports)]
pub(crate) use caller::{CallResult, call, stream};
use link::Link;

pub(crate) const KEY_A: &str = "secret-key-of-club-a";
pub(crate) const KEY_B: &str = "secret-key-of-club-b";
const MAX_RESPONSE_BYTES: usize = 64 << 20;
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Ports of the processes.
const FIRST_PORT: u16 = 10_000;
const PORTS: u16 = 20_000;

/// Number of ports handed out so far.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Lets the tests of one binary run only one fleet at a time.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Number of processes of each kind in a fleet.
pub(crate) struct FleetSize {
    pub(crate) entries: usize,
    pub(crate) controllers: usize,
    pub(crate) engines: usize,
    pub(crate) services: usize,
}

struct Process {
    child: Child,
    command: Vec<String>,
}

pub(crate) struct Fleet {
    _guard: MutexGuard<'static, ()>,
    pub(crate) dir: PathBuf,
    processes: BTreeMap<String, Process>,
    addresses: BTreeMap<String, SocketAddr>,
    engine_arguments: Vec<String>,
    /// Link of `entry-1` to the key-value service, which a test can cut.
    pub(crate) link: Option<Link>,
}

/// Returns an address that no other process of this fleet gets. Its port lies outside the range from
/// which the system chooses ports of outgoing connections, so that none of these can take it before
/// the process opens it.
fn free_port() -> SocketAddr {
    let first = std::process::id() % u32::from(PORTS);
    loop {
        let number = NEXT_PORT.fetch_add(1, Ordering::Relaxed) + first;
        let port = FIRST_PORT + (number % u32::from(PORTS)) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        // The port must be free for both TCP and UDP.
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

fn binary(name: &str) -> PathBuf {
    let test = std::env::current_exe().unwrap();
    test.parent().unwrap().parent().unwrap().join(name)
}

impl Fleet {
    /// Starts a fleet, publishes its configuration and waits until every entry is ready.
    pub(crate) fn start(name: &str, size: FleetSize, engine_arguments: &[&str]) -> Self {
        let guard = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let dir = std::env::temp_dir().join(format!("gentian-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let mut fleet = Self {
            _guard: guard,
            dir,
            processes: BTreeMap::new(),
            addresses: BTreeMap::new(),
            engine_arguments: engine_arguments.iter().map(|a| (*a).to_owned()).collect(),
            link: None,
        };
        fleet.start_standin("key-value", &[]);
        fleet.start_standin("vm-list", &[]);
        fleet.link = Some(Link::new(fleet.address("key-value")));
        fleet.start_standin("weight-store", &["--model-time", "300ms", "--load-interval", "100ms"]);
        (1..=size.engines).for_each(|i| fleet.start_engine(i));
        let slow = ["--answer-time", "20ms"];
        (1..=size.services).for_each(|i| fleet.start_standin(&format!("service-{i}"), &slow));
        (1..=size.controllers).for_each(|i| fleet.start_controller(i));
        (1..=size.entries).for_each(|i| fleet.start_entry(i));
        fleet.publish(&fleet.config());
        for i in 1..=size.entries {
            fleet.wait_until("entry ready", |fleet| fleet.is_ready(&format!("entry-{i}")));
        }
        fleet
    }

    /// Returns the HTTP address of a process.
    pub(crate) fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    fn new_address(&mut self, name: &str) -> SocketAddr {
        *self.addresses.entry(name.to_owned()).or_insert_with(free_port)
    }

    fn start_standin(&mut self, name: &str, arguments: &[&str]) {
        let address = self.new_address(name).to_string();
        let kind = name.trim_end_matches(|c: char| c == '-' || c.is_ascii_digit());
        let mut command = vec![kind, "--address", &address];
        command.extend(arguments);
        self.spawn(name, "gentian-standin", &command);
    }

    fn start_engine(&mut self, i: usize) {
        let store = self.address("weight-store").to_string();
        let extra_arguments = self.engine_arguments.clone();
        let mut arguments = vec!["--store", &store];
        arguments.extend(extra_arguments.iter().map(String::as_str));
        self.start_standin(&format!("engine-{i}"), &arguments);
    }

    fn write_settings(&mut self, name: &str, domain: &str, section: &str) -> PathBuf {
        let peer = self.new_address(&format!("{name}-peer"));
        let admin = self.new_address(&format!("{name}-admin"));
        let text = format!(
            "[process]\nvm = {name}\ndomain = {domain}\npeer_address = {peer}\n\
             admin_address = {admin}\nkey_value_address = {}\nvm_list_address = {}\n\
             cluster_key = a cluster key for tests\n{section}",
            self.key_value_address_for(name),
            self.address("vm-list"),
        );
        let path = self.dir.join(format!("{name}.ini"));
        std::fs::write(&path, text).unwrap();
        path
    }

    fn key_value_address_for(&self, name: &str) -> SocketAddr {
        let link = self.link.as_ref().filter(|_| name == "entry-1");
        link.map_or(self.address("key-value"), |link| link.address)
    }

    fn start_controller(&mut self, i: usize) {
        let name = format!("controller-{i}");
        let settings = self.write_settings(&name, domain(i), "[controller]\n");
        self.spawn(&name, "gentian-controller", &["--settings", settings.to_str().unwrap()]);
    }

    fn start_entry(&mut self, i: usize) {
        let name = format!("entry-{i}");
        let listen = self.new_address(&name);
        let section = format!("[entry]\nlisten = {listen}\n");
        let settings = self.write_settings(&name, domain(i), &section);
        self.spawn(&name, "gentian-entry", &["--settings", settings.to_str().unwrap()]);
    }

    fn spawn(&mut self, name: &str, program: &str, arguments: &[&str]) {
        let mut command = vec![program.to_owned()];
        command.extend(arguments.iter().map(|argument| (*argument).to_owned()));
        let child = self.spawn_command(name, &command);
        self.processes.insert(name.to_owned(), Process { child, command });
    }

    fn spawn_command(&self, name: &str, command: &[String]) -> Child {
        let log = self.dir.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).unwrap();
        Command::new(binary(&command[0]))
            .args(&command[1..])
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap()
    }

    /// Returns a configuration with two organisations, the engines with six models, and the
    /// services.
    pub(crate) fn config(&self) -> String {
        let names = |kind: &str| -> Vec<String> {
            let is_kind = |name: &&String| name.starts_with(kind);
            self.addresses.keys().filter(is_kind).cloned().collect()
        };
        let mut text = "[fleet main]\nload_interval = 100ms\n".to_owned();
        for (club, key) in [("club-a", KEY_A), ("club-b", KEY_B)] {
            text += &format!("[organisation {club}]\nrate = 5000\nburst = 50000\n");
            text +=
                &format!("[key {club}-1]\norganisation = {club}\ndigest = {}\n", digest_key(key));
        }
        (1..=3).for_each(|i| text += &format!("[domain {}]\n", domain(i)));
        for i in 1..=6 {
            text += &format!("[model m{i}]\nmemory = 14GiB\n");
            text += &format!("[adapter a{i}]\nbase = m{i}\nmemory = 100MiB\n");
        }
        for (kind, path, extra) in [
            ("engine", "/desk", "models = m1, m2, m3, m4, m5, m6\ndeadline = 15s\n"),
            ("service", "/planner", "deadline = 5s\n"),
        ] {
            for (i, name) in names(kind).iter().enumerate() {
                text += &format!(
                    "[upstream {name}]\nkind = {kind}\naddress = {}\ndomain = {}\nslots = 8\n\
                     fresh_slots = 2\n",
                    self.address(name),
                    domain(i + 1)
                );
            }
            text += &format!(
                "[route {kind}s]\npath = {path}\nkind = {kind}\norganisations = club-a, club-b\n\
                 upstreams = {}\n{extra}",
                names(kind).join(", ")
            );
        }
        text
    }

    /// Publishes the configuration `text`, retrying for 10 s, and returns the output of the
    /// command.
    pub(crate) fn publish(&self, text: &str) -> String {
        let file = self.dir.join("config.ini");
        std::fs::write(&file, text).unwrap();
        let end = Instant::now() + Duration::from_secs(10);
        loop {
            let output = self.publish_command(&file).output().unwrap();
            let output_text =
                String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
            if output.status.success() || Instant::now() > end {
                assert!(output.status.success(), "{output_text}");
                return output_text;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Returns the command that publishes `file`.
    pub(crate) fn publish_command(&self, file: &Path) -> Command {
        let mut command = Command::new(binary("gentian-ctl"));
        command.args(["publish", "--key-value", &self.address("key-value").to_string()]).arg(file);
        command
    }

    /// Waits until `condition` returns true, for 20 s at most.
    pub(crate) fn wait_until(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let end = Instant::now() + Duration::from_secs(20);
        while !condition(self) {
            assert!(Instant::now() < end, "timed out waiting for: {what}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    pub(crate) fn is_ready(&self, name: &str) -> bool {
        let client = HttpClient::new(self.address(&format!("{name}-admin")), CALL_TIMEOUT);
        client
            .call_and_read("GET", "/readyz", &[], MAX_RESPONSE_BYTES)
            .is_ok_and(|(code, _)| code == 200)
    }

    /// Returns the status page of a process.
    pub(crate) fn status(&self, name: &str) -> Value {
        let client = HttpClient::new(self.address(&format!("{name}-admin")), CALL_TIMEOUT);
        let result = client.call_and_read("GET", "/status", &[], MAX_RESPONSE_BYTES);
        result.ok().and_then(|(_, body)| serde_json::from_slice(&body).ok()).unwrap_or_default()
    }

    /// Returns the controller that acts for the seat whose name starts with `seat`.
    pub(crate) fn holder(&self, seat: &str) -> Option<String> {
        let names = self.processes.keys().filter(|name| name.starts_with("controller"));
        let acts = |name: &&String| {
            let status = self.status(name);
            let seats = status["acting_seats"].as_array().cloned().unwrap_or_default();
            seats.iter().any(|text| text.as_str().is_some_and(|text| text.starts_with(seat)))
        };
        names.into_iter().find(acts).cloned()
    }

    /// Sets a fault of a stand-in, for example `down&millis=500` or `lost-answer&count=1`.
    pub(crate) fn set_fault(&self, name: &str, fault: &str) {
        let client = HttpClient::new(self.address(name), CALL_TIMEOUT);
        let path = format!("/control/fault?name={fault}");
        let (status, _) = client.call_and_read("POST", &path, &[], MAX_RESPONSE_BYTES).unwrap();
        assert_eq!(status, 204, "{fault}");
    }

    /// Returns the journal of a stand-in, empty if it does not respond.
    pub(crate) fn journal(&self, name: &str) -> Vec<Value> {
        let client = HttpClient::new(self.address(name), CALL_TIMEOUT);
        let result = client.call_and_read("GET", "/control/journal", &[], MAX_RESPONSE_BYTES);
        result.ok().and_then(|(_, body)| serde_json::from_slice(&body).ok()).unwrap_or_default()
    }

    /// Returns the journal entries with this event from all running upstreams.
    pub(crate) fn events(&self, event: &str) -> Vec<Value> {
        let is_upstream =
            |name: &&String| name.starts_with("engine") || name.starts_with("service");
        let names = self.processes.keys().filter(is_upstream);
        let lines = names.flat_map(|name| self.journal(name));
        lines.filter(|line| line["event"] == event).collect()
    }

    /// Returns the id of a process.
    pub(crate) fn id(&self, name: &str) -> u32 {
        self.processes[name].child.id()
    }

    /// Returns whether a process has not ended.
    pub(crate) fn is_alive(&mut self, name: &str) -> bool {
        let process = self.processes.get_mut(name).unwrap();
        process.child.try_wait().unwrap().is_none()
    }

    /// Sends a signal to a process.
    pub(crate) fn signal(&self, name: &str, signal: Signal) {
        let child = &self.processes[name].child;
        kill_process(Pid::from_child(child), signal).unwrap();
    }

    /// Kills a process and waits until it has exited.
    pub(crate) fn kill(&mut self, name: &str) {
        let process = self.processes.get_mut(name).unwrap();
        process.child.kill().unwrap();
        process.child.wait().unwrap();
    }

    /// Starts a killed process again with the same command.
    pub(crate) fn restart(&mut self, name: &str) {
        let command = self.processes[name].command.clone();
        let child = self.spawn_command(name, &command);
        self.processes.get_mut(name).unwrap().child = child;
    }

    /// Sends a process the stop signal and returns how long that took and whether its exit status
    /// was success.
    pub(crate) fn stop(&mut self, name: &str) -> (Duration, bool) {
        self.signal(name, Signal::TERM);
        let started = Instant::now();
        let child = &mut self.processes.get_mut(name).unwrap().child;
        loop {
            if let Some(status) = child.try_wait().unwrap() {
                return (started.elapsed(), status.success());
            }
            assert!(started.elapsed() < STOP_TIMEOUT, "{name} did not stop");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the logs of all processes.
    pub(crate) fn logs(&self) -> String {
        let names = self.processes.keys().map(|name| self.dir.join(format!("{name}.log")));
        names.filter_map(|path| std::fs::read_to_string(path).ok()).collect()
    }

    /// Checks invariants of every test: the journals of the upstreams show no overload, memory
    /// overcommitment or API key, and the logs show no API key and no panic.
    pub(crate) fn check_invariants(&self) {
        for event in ["overcommitted", "overloaded", "saw-key"] {
            let lines = self.events(event);
            assert!(lines.is_empty(), "{event}: {lines:?}");
        }
        let logs = self.logs();
        assert!(!logs.contains(KEY_A) && !logs.contains(KEY_B), "a log contains an API key");
        assert!(!logs.contains("panicked"), "a process panicked");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            let _ = process.child.kill();
        }
        for process in self.processes.values_mut() {
            let _ = process.child.wait();
        }
        if std::thread::panicking() {
            eprintln!("logs are kept in {}", self.dir.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

fn domain(i: usize) -> &'static str {
    ["palermo", "catania", "agrigento"][(i - 1) % 3]
}
