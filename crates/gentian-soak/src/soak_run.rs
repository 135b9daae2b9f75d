//! One run of the soak: starts the fleet, injects the faults and checks the results.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};

use eyre::eyre;
use gentian_core::{FastSet, TimeSpan};
use gentian_http::ProcessClock;
use gentian_http::forward::{CallLimits, ConnectionPool, HeaderList, PooledClient, RequestHead};
use rustix::process::Signal;

use crate::call_record::{CallOutcome, CallRecord};
use crate::config_probe::ConfigLog;
use crate::contact_log::ContactLog;
use crate::fleet_layout::{
    CRASH_PART, CRASH_PATH, ENTRY_MEMORY_MB, FIRST_VERSION, FleetLayout, MODELS, VERSION_STEP,
    zone_name,
};
use crate::loopback_proxy::{LinkMode, LoopbackProxy};
use crate::notice_check::{check_departures, check_pauses};
use crate::process_set::ProcessSet;
use crate::soak_caller::SoakCaller;
use crate::soak_check::{ExpectedService, check_crashes, check_drains, check_limits, check_run};
use crate::soak_fault::{PLAIN_REPLICAS, PlannedFault, SoakFault, draw_faults};
use crate::stop_check::StopLog;
use crate::usage_log::UsageLog;
use crate::version_log::VersionLog;
use crate::{FaultPlan, SoakReport, SoakSettings};

/// The first `ENGINES` replicas are model engines, the others plain services.
const ENGINES: usize = 4;
/// Models that an engine has room for.
const MODELS_PER_ENGINE: usize = 2;
const REPLICAS: usize = ENGINES + PLAIN_REPLICAS;
/// Longest wait for every entry to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after the last fault in which the fleet may recover.
const RECOVERY_TIME: Duration = Duration::from_secs(10);
/// Time after the recovery in which the percentage of served calls is checked.
const FINAL_PHASE: Duration = Duration::from_secs(4);
/// Longest pause of an idle caller between two calls.
const MAX_IDLE_TIME: Duration = Duration::from_millis(3_500);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

struct SoakFleet {
    layout: FleetLayout,
    settings: SoakSettings,
    processes: ProcessSet,
    links: Vec<LoopbackProxy>,
    store_link: LoopbackProxy,
    /// Reports of usage, if the deployment has the duty.
    usage_log: Option<UsageLog>,
    /// Faults that end at a given time: pauses of processes, link faults, evacuations of zones.
    pending: Vec<(Instant, FaultEnd)>,
    /// Time until which a fault may delay the responses of each entry.
    disturbed_until: Vec<Instant>,
    version: u64,
    config_log: Arc<ConfigLog>,
    contact_log: ContactLog,
    stop_log: StopLog,
    version_log: VersionLog,
    /// Version of the software of each replica.
    replica_versions: Vec<u32>,
    evacuated: FastSet<&'static str>,
}

#[derive(Clone, Debug)]
enum FaultEnd {
    Resume(String),
    RestoreLink(Option<usize>),
    ReopenZone(&'static str),
    RewriteRecords,
}

/// Runs the fleet with callers, injects the faults of the seed and checks the guarantees.
///
/// # Errors
///
/// Returns an error if a process cannot be started or the fleet does not become ready.
pub fn run_soak(settings: &SoakSettings) -> eyre::Result<SoakReport> {
    if settings.folder.exists() {
        std::fs::remove_dir_all(&settings.folder)?;
    }
    std::fs::create_dir_all(&settings.folder)?;
    let mut fleet = SoakFleet::start(settings)?;
    fleet.wait_ready()?;
    fleet.set_answer_fault();
    let stop = Arc::new(AtomicBool::new(false));
    let callers = start_callers(&fleet, &stop);
    let span = Duration::from_secs(settings.seconds);
    let faults = draw_faults(settings.fault_plan, settings.seed, span, settings.entries, REPLICAS);
    for planned in &faults {
        fleet.inject(planned)?;
    }
    let faults_ended_at = SystemTime::now();
    fleet.run_for(RECOVERY_TIME)?;
    let recovered_at = Instant::now();
    fleet.run_for(FINAL_PHASE)?;
    stop.store(true, Ordering::Release);
    let mut records = Vec::new();
    for caller in callers {
        records.extend(caller.join().map_err(|_| eyre!("a caller thread panicked"))?);
    }
    let violations = fleet.check(&records)?;
    fleet.stop();
    let final_records: Vec<CallRecord> =
        records.iter().filter(|record| record.sent >= recovered_at).cloned().collect();
    let expected_service = match settings.request_limit {
        Some(_) => ExpectedService::Limited,
        None => ExpectedService::Full,
    };
    let mut report =
        check_run(&records, &final_records, &settings.folder, faults.len(), expected_service)?;
    report.violations.extend(violations);
    report.violations.extend(check_journals(settings, faults_ended_at)?);
    Ok(report)
}

/// Returns a description of each guarantee that was violated, as the journals of the replicas show
/// once they have ended.
fn check_journals(
    settings: &SoakSettings,
    faults_ended_at: SystemTime,
) -> eyre::Result<Vec<String>> {
    let mut violations = check_crashes(&settings.folder, faults_ended_at)?;
    if let Some(limit) = settings.request_limit {
        violations.extend(check_limits(&settings.folder, limit)?);
    }
    if settings.answer_fault.as_deref() == Some("turned-away") {
        violations.extend(check_pauses(&settings.folder)?);
    }
    Ok(violations)
}

/// Starts the callers, and the one that probes which configuration is in force.
fn start_callers(fleet: &SoakFleet, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<Vec<CallRecord>>> {
    let (layout, settings) = (fleet.layout, &fleet.settings);
    let new_caller = |number: usize| {
        SoakCaller::new(layout, settings.entries, settings.seed, number as u64)
            .with_crash_percent(settings.crash_percent)
            .with_crash_request_percent(settings.crash_request_percent)
            .with_long_upload_percent(settings.long_upload_percent)
            .with_models(settings.models)
    };
    let prober = new_caller(settings.callers);
    let (config_log, probe_stop) = (Arc::clone(&fleet.config_log), Arc::clone(stop));
    let prober = std::thread::spawn(move || prober.run_probes(&config_log, &probe_stop));
    let busy = (0..settings.callers).map(new_caller);
    let idle = (0..settings.idle_callers).map(|number| new_caller(settings.callers + 1 + number));
    let callers = busy.chain(idle.map(|caller| caller.with_max_pause(MAX_IDLE_TIME)));
    let spawn = |caller: SoakCaller| {
        let stop = Arc::clone(stop);
        std::thread::spawn(move || caller.run(&stop))
    };
    callers.map(spawn).chain([prober]).collect()
}

impl SoakFleet {
    fn start(settings: &SoakSettings) -> eyre::Result<Self> {
        let layout = FleetLayout::new(settings.seed);
        let mut processes = ProcessSet::new(&settings.programs, &settings.folder);
        let address = layout.store_address().to_string();
        let command = ["gentian-standin", "fleet-store", "--address", &address];
        processes.start("store", command.map(ToOwned::to_owned).to_vec())?;
        let store_link =
            LoopbackProxy::start(layout.store_proxy_address(), layout.store_address())?;
        let usage_log = match settings.has_duties {
            true => Some(UsageLog::start(layout.api_address())?),
            false => None,
        };
        let mut links = Vec::new();
        for replica in 0..REPLICAS {
            let (address, proxy) =
                (layout.replica_address(replica), layout.replica_proxy_address(replica));
            links.push(LoopbackProxy::start(proxy, address)?);
            processes.start(
                &format!("replica-{replica}"),
                replica_command(settings, layout, replica, 1),
            )?;
        }
        let now = Instant::now();
        let mut fleet = Self {
            layout,
            settings: settings.clone(),
            processes,
            links,
            store_link,
            usage_log,
            pending: Vec::new(),
            disturbed_until: vec![now; settings.entries],
            version: FIRST_VERSION,
            config_log: Arc::default(),
            contact_log: ContactLog::default(),
            stop_log: StopLog::default(),
            version_log: VersionLog::default(),
            replica_versions: vec![1; REPLICAS],
            evacuated: FastSet::default(),
        };
        (0..ENGINES).for_each(|engine| fleet.record_engine_start(&format!("replica-{engine}")));
        fleet.retry(|fleet| fleet.layout.publish(FIRST_VERSION))?;
        for entry in 0..settings.entries {
            let path = settings.folder.join(format!("entry-{entry}.toml"));
            layout.write_settings(entry, settings.has_duties, &path)?;
            let path = path.display().to_string();
            let command = ["gentianwheel", "--settings", &path];
            let command = command.map(ToOwned::to_owned).to_vec();
            fleet.processes.start(&entry_name(entry), command)?;
        }
        Ok(fleet)
    }

    fn retry(&mut self, action: impl Fn(&Self) -> eyre::Result<()>) -> eyre::Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        loop {
            match action(self) {
                Err(error) if Instant::now() > end => return Err(error),
                Err(_) => std::thread::sleep(POLL_INTERVAL),
                Ok(()) => return Ok(()),
            }
        }
    }

    fn wait_ready(&mut self) -> eyre::Result<()> {
        let entries = self.settings.entries;
        self.retry(|fleet| {
            let is_ready = |entry| is_ready(fleet.layout, entry);
            eyre::ensure!((0..entries).all(is_ready), "not all entries are ready");
            Ok(())
        })
    }

    fn inject(&mut self, planned: &PlannedFault) -> eyre::Result<()> {
        self.run_for(planned.pause)?;
        log::info!("fault {:?}", planned.fault);
        let now = Instant::now();
        match planned.fault {
            SoakFault::StopEntry(entry) => {
                self.disturb(entry, Duration::from_secs(9));
                self.stop_log.record_stop(entry, now);
                self.processes.signal(&entry_name(entry), Signal::TERM);
            }
            SoakFault::KillEntry(entry) => self.kill_entry(entry),
            SoakFault::KillEntries => {
                (0..self.settings.entries).for_each(|entry| self.kill_entry(entry));
            }
            SoakFault::PauseEntry(entry, span) => {
                self.disturb(entry, span);
                self.stop_log.record_pause(entry, span, now);
                self.pause(entry_name(entry), now + span);
            }
            SoakFault::ReloadEntry(entry) => {
                self.processes.signal(&entry_name(entry), Signal::HUP);
            }
            SoakFault::KillReplica(replica) => {
                self.version_log.record_end(replica, now);
                self.processes.signal(&format!("replica-{replica}"), Signal::KILL);
            }
            SoakFault::PauseReplica(replica, span) => {
                self.pause(format!("replica-{replica}"), now + span);
            }
            SoakFault::LoseAnswers(replica, count) => {
                self.set_fault(
                    self.layout.replica_address(replica),
                    "lost-answer",
                    ("count", count),
                );
            }
            SoakFault::CutAnswers(replica, count) => {
                self.set_fault(
                    self.layout.replica_address(replica),
                    "cut-answer",
                    ("count", count),
                );
            }
            SoakFault::FaultyAnswers(replica, name, count) => {
                self.set_fault(self.layout.replica_address(replica), name, ("count", count));
            }
            SoakFault::HarmReplicaLink(replica, mode, span) => {
                self.links[replica].set_mode(mode);
                self.pending.push((now + span, FaultEnd::RestoreLink(Some(replica))));
            }
            SoakFault::StopReplica(replica) => {
                self.version_log.record_end(replica, now);
                self.processes.signal(&format!("replica-{replica}"), Signal::TERM);
            }
            SoakFault::ReplaceReplica(replica) => self.replace_replica(replica, Signal::TERM),
            SoakFault::ReturnReplica(replica) => {
                self.replace_replica(replica, Signal::KILL);
                let name = format!("replica-{replica}");
                self.processes.restart(&name)?;
                self.record_engine_start(&name);
            }
            SoakFault::RestoreStore(age, down) => self.restore_store(age, down),
            SoakFault::HarmStoreLink(mode, span) => {
                self.contact_log.record(None, now, span);
                self.store_link.set_mode(mode);
                self.pending.push((now + span, FaultEnd::RestoreLink(None)));
            }
            SoakFault::StoreDown(span) => {
                let millis = span.as_millis() as u64;
                self.contact_log.record(None, now, span);
                self.set_fault(self.layout.store_address(), "down", ("millis", millis));
            }
            SoakFault::LoseStoreAnswers(count) => {
                self.set_fault(self.layout.store_address(), "lost-answer", ("count", count));
            }
            SoakFault::Publish => self.publish(),
            SoakFault::Evacuate(zone, span) => {
                self.evacuated.insert(zone);
                log_failure("evacuation", self.layout.set_evacuated(zone, true));
                self.pending.push((now + span, FaultEnd::ReopenZone(zone)));
            }
        }
        Ok(())
    }

    fn set_answer_fault(&self) {
        let Some(name) = &self.settings.answer_fault else { return };
        let all: Vec<usize> = (0..REPLICAS).collect();
        for replica in self.settings.faulty_replicas.as_ref().unwrap_or(&all) {
            let address = self.layout.replica_address(*replica);
            self.set_fault(address, name, ("count", self.settings.faulty_answers));
        }
    }

    /// Returns a description of each guarantee that was violated, as far as it shows while the fleet
    /// runs.
    fn check(&self, records: &[CallRecord]) -> eyre::Result<Vec<String>> {
        let folder = &self.settings.folder;
        let mut violations = self.check_overdue(records);
        violations.extend(ConfigLog::check(records, &self.contact_log));
        violations.extend(check_drains(folder, &self.contact_log)?);
        violations.extend(check_departures(records, folder, &self.contact_log)?);
        violations.extend(self.stop_log.check(records));
        violations.extend(self.version_log.check(records, &self.contact_log));
        violations.extend(self.check_memory());
        violations.extend(self.check_entry_records()?);
        if let Some(usage_log) = &self.usage_log {
            violations.extend(usage_log.check(folder, self.settings.seconds == 0)?);
        }
        Ok(violations)
    }

    /// Returns a description of each call that an undisturbed entry did not answer in time.
    fn check_overdue(&self, records: &[CallRecord]) -> Vec<String> {
        let overdue = records.iter().filter(|record| record.outcome == CallOutcome::Overdue);
        overdue
            .filter(|record| self.disturbed_until[record.entry] < record.sent)
            .map(|record| format!("{:?} {} had no response in time", record.kind, record.id))
            .collect()
    }

    /// Returns a description of the entries without a record in the store, if there are some.
    fn check_entry_records(&self) -> eyre::Result<Option<String>> {
        let registered = self.layout.count_entry_records()?;
        let missing = self.settings.entries.saturating_sub(registered);
        Ok((missing > 0).then(|| format!("the store has no record of {missing} entries")))
    }

    /// Returns a description of each entry that has used more memory than its settings allow.
    fn check_memory(&self) -> Vec<String> {
        let entries = (0..self.settings.entries).map(entry_name);
        let peaks = entries.filter_map(|name| Some((self.processes.peak_memory(&name)?, name)));
        peaks
            .filter(|(bytes, _)| *bytes > ENTRY_MEMORY_MB << 20)
            .map(|(bytes, name)| format!("{name} used {} MB", bytes >> 20))
            .collect()
    }

    /// Takes the store down, and has it come back from a copy. The operators then write again what
    /// they wrote.
    fn restore_store(&mut self, age: Duration, down: Duration) {
        let now = Instant::now();
        self.contact_log.record(None, now, down);
        let millis = down.as_millis() as u64;
        self.set_fault(self.layout.store_address(), "down", ("millis", millis));
        log_failure("restoration", self.layout.restore_store(age));
        self.pending.push((now + down, FaultEnd::RewriteRecords));
    }

    fn rewrite_records(&self) -> eyre::Result<()> {
        self.layout.publish(self.version)?;
        for zone in ["north", "south"] {
            self.layout.set_evacuated(zone, self.evacuated.contains(zone))?;
        }
        Ok(())
    }

    fn publish(&mut self) {
        self.version += VERSION_STEP as u64;
        match self.layout.publish(self.version) {
            Ok(()) => self.config_log.record_version(self.version, Instant::now()),
            Err(error) => log::info!("publication failed: {error:#}"),
        }
    }

    /// Has a replica leave, or end, and start again with the next version.
    fn replace_replica(&mut self, replica: usize, signal: Signal) {
        let name = format!("replica-{replica}");
        self.replica_versions[replica] += 1;
        let version = self.replica_versions[replica];
        let command = replica_command(&self.settings, self.layout, replica, version);
        self.version_log.record_end(replica, Instant::now());
        self.processes.replace_command(&name, command);
        self.processes.signal(&name, signal);
    }

    /// Records which versions the engines have that start now.
    fn record_engine_start(&mut self, name: &str) {
        let engine = name.strip_prefix("replica-").and_then(|text| text.parse().ok());
        if let Some(engine) = engine.filter(|engine| *engine < ENGINES) {
            let version = version_name(self.replica_versions[engine]);
            self.version_log.record_start(engine, version, Instant::now());
        }
    }

    /// Records that a fault harms an entry for `span`.
    fn disturb(&mut self, entry: usize, span: Duration) {
        let now = Instant::now();
        self.disturbed_until[entry] = now + span;
        self.contact_log.record(Some(entry), now, span);
    }

    fn kill_entry(&mut self, entry: usize) {
        self.disturb(entry, POLL_INTERVAL * 4);
        self.processes.signal(&entry_name(entry), Signal::KILL);
    }

    fn pause(&mut self, name: String, end: Instant) {
        self.processes.signal(&name, Signal::STOP);
        self.pending.push((end, FaultEnd::Resume(name)));
    }

    fn set_fault(&self, address: std::net::SocketAddr, name: &str, extent: (&str, u64)) {
        log_failure("fault", self.layout.set_fault(address, name, extent));
    }

    /// Waits for `span`; meanwhile ends the faults that are due and restarts processes that have
    /// exited.
    fn run_for(&mut self, span: Duration) -> eyre::Result<()> {
        let end = Instant::now() + span;
        loop {
            let now = Instant::now();
            let (due, open) = self.pending.drain(..).partition(|(time, _)| *time <= now);
            self.pending = open;
            let due: Vec<(Instant, FaultEnd)> = due;
            due.into_iter().for_each(|(_, pending)| self.restore(pending));
            for (name, status) in self.processes.restart_ended()? {
                log::info!("{name} exited with {status}; restarting it");
                self.record_engine_start(&name);
            }
            if now >= end {
                return Ok(());
            }
            std::thread::sleep(POLL_INTERVAL.min(end - now));
        }
    }

    fn restore(&mut self, pending: FaultEnd) {
        match pending {
            FaultEnd::Resume(name) => self.processes.signal(&name, Signal::CONT),
            FaultEnd::RestoreLink(Some(replica)) => self.links[replica].set_mode(LinkMode::Pass),
            FaultEnd::RestoreLink(None) => self.store_link.set_mode(LinkMode::Pass),
            FaultEnd::ReopenZone(zone) => {
                self.evacuated.remove(zone);
                // While the store is down the zone stays evacuated.
                if self.layout.set_evacuated(zone, false).is_err() {
                    self.restore_later(FaultEnd::ReopenZone(zone));
                }
            }
            FaultEnd::RewriteRecords => {
                if self.rewrite_records().is_err() {
                    self.restore_later(FaultEnd::RewriteRecords);
                }
            }
        }
    }

    fn restore_later(&mut self, pending: FaultEnd) {
        self.pending.push((Instant::now() + POLL_INTERVAL * 4, pending));
    }

    fn stop(self) {
        drop(self.processes);
        self.links.into_iter().for_each(LoopbackProxy::join);
        self.store_link.join();
        if let Some(usage_log) = self.usage_log {
            usage_log.stop();
        }
    }
}

fn replica_command(
    settings: &SoakSettings,
    layout: FleetLayout,
    replica: usize,
    version: u32,
) -> Vec<String> {
    let is_engine = replica < ENGINES;
    let journal = settings.folder.join(format!("replica-{replica}.journal"));
    let holds = match settings.models {
        count @ 1..=MODELS_PER_ENGINE => MODELS[..count].join(","),
        count => MODELS[replica % count].to_owned(),
    };
    let option = |name: &str, value: String| [format!("--{name}"), value];
    let mut command = vec!["gentian-standin".to_owned(), "fleet-replica".to_owned()];
    command.extend(option("address", layout.replica_address(replica).to_string()));
    command.extend(option("announce", layout.replica_proxy_address(replica).to_string()));
    command.extend(option("store", layout.store_address().to_string()));
    command.extend(option("service", if is_engine { "engines" } else { "desk" }.to_owned()));
    command.extend(option("zone", zone_name(replica).to_owned()));
    command.extend(option("journal", journal.display().to_string()));
    if let Some(limit) = settings.request_limit {
        command.extend(option("request-limit", limit.to_string()));
    }
    command.extend(settings.slots.into_iter().flat_map(|slots| option("slots", slots.to_string())));
    command.extend(option("crash-path", CRASH_PATH.to_owned()));
    if settings.fault_plan.keeps_names() {
        command.extend(option("id", format!("i-{replica}")));
    }
    if is_engine {
        command.extend(option("memory", "150000".to_owned()));
        command.extend(option("holds", holds));
        command.extend(option("version", version_name(version)));
        command.extend(
            settings.event_time.into_iter().flat_map(|time| option("event-time", time.to_string())),
        );
        command.extend(option("crash-part", CRASH_PART.to_owned()));
        if settings.fault_plan == FaultPlan::UnframedStreams {
            command.push("--unframed".to_owned());
        }
    }
    command
}

fn version_name(version: u32) -> String {
    format!("v{version}")
}

fn entry_name(entry: usize) -> String {
    format!("entry-{entry}")
}

fn is_ready(layout: FleetLayout, entry: usize) -> bool {
    let clock = ProcessClock::new();
    let client = PooledClient::new(ConnectionPool::new(clock), clock);
    let headers = HeaderList::new().with("Host", "ready").with("Connection", "close");
    let (method, target) = ("GET".to_owned(), "/-/readiness".to_owned());
    let head = RequestHead { method, target, is_http11: true, headers };
    let limit = TimeSpan::from_millis(500);
    let limits = CallLimits { connect: limit, response: limit, body: limit, send_until: None };
    let response = client.call(layout.readiness_address(entry), &head, b"", limits);
    response.is_ok_and(|(head, _)| head.status == 200)
}

fn log_failure(what: &str, result: eyre::Result<()>) {
    if let Err(error) = result {
        log::info!("{what} failed: {error:#}");
    }
}
