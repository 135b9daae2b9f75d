//! One run of the soak.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use eyre::eyre;
use gentian_core::TimeSpan;
use gentian_http::ProcessClock;
use gentian_http::forward::{CallLimits, ConnectionPool, HeaderList, PooledClient, RequestHead};
use rustix::process::Signal;

use crate::SoakReport;
use crate::call_record::{CallOutcome, CallRecord};
use crate::fleet_layout::{FleetLayout, MODELS, zone_name};
use crate::loopback_proxy::{LinkMode, LoopbackProxy};
use crate::process_set::ProcessSet;
use crate::soak_caller::SoakCaller;
use crate::soak_check::check_run;
use crate::soak_fault::{PlannedFault, SoakFault, draw_faults};

/// Replicas: model engines first, plain ones behind.
const ENGINES: usize = 4;
const REPLICAS: usize = 6;
/// Longest wait until every entry is ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time after the last fault in which the fleet recovers, and time in which it then serves.
const RECOVERY: Duration = Duration::from_secs(10);
const TAIL: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(50);

/// What a run is.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Seed of the faults and the calls.
    pub seed: u64,
    /// Seconds of faults.
    pub seconds: u64,
    /// Entries.
    pub entries: usize,
    /// Callers.
    pub callers: usize,
    /// Folder with the programs.
    pub programs: PathBuf,
    /// Folder for settings, logs and journals; it is emptied.
    pub folder: PathBuf,
}

struct SoakFleet {
    layout: FleetLayout,
    settings: SoakSettings,
    processes: ProcessSet,
    links: Vec<LoopbackProxy>,
    store_link: LoopbackProxy,
    /// What ends at a time: paused processes go on, links heal, zones come back.
    pending: Vec<(Instant, PendingEnd)>,
    /// When each entry was last harmed.
    harmed: Vec<Instant>,
    version: u64,
}

#[derive(Clone, Debug)]
enum PendingEnd {
    Resume(String),
    Heal(Option<usize>),
    Return(&'static str),
}

/// Runs the fleet, its faults and its callers, and checks what was seen.
///
/// # Errors
///
/// Returns an error if a process cannot be started or the fleet never becomes ready.
pub fn run_soak(settings: &SoakSettings) -> eyre::Result<SoakReport> {
    if settings.folder.exists() {
        std::fs::remove_dir_all(&settings.folder)?;
    }
    std::fs::create_dir_all(&settings.folder)?;
    let mut fleet = SoakFleet::start(settings)?;
    fleet.wait_ready()?;
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<JoinHandle<Vec<CallRecord>>> = (0..settings.callers as u64)
        .map(|number| {
            let (layout, stop) = (fleet.layout, Arc::clone(&stop));
            let caller = SoakCaller::new(layout, settings.entries, settings.seed, number);
            std::thread::spawn(move || caller.run(&stop))
        })
        .collect();
    let span = Duration::from_secs(settings.seconds);
    let faults = draw_faults(settings.seed, span, settings.entries, REPLICAS);
    for planned in &faults {
        fleet.inject(planned)?;
    }
    fleet.go_on(RECOVERY)?;
    let calm = Instant::now();
    fleet.go_on(TAIL)?;
    stop.store(true, Ordering::Release);
    let mut records = Vec::new();
    for caller in callers {
        records.extend(caller.join().map_err(|_| eyre!("a caller ended by a broken invariant"))?);
    }
    let is_overdue = |record: &&CallRecord| record.outcome == CallOutcome::Overdue;
    let overdue: Vec<String> = records
        .iter()
        .filter(is_overdue)
        .filter(|record| fleet.harmed[record.entry] < record.sent)
        .map(|record| format!("{:?} {} had no answer in time", record.kind, record.id))
        .collect();
    let tail: Vec<CallRecord> =
        records.iter().filter(|record| record.sent >= calm).cloned().collect();
    fleet.end();
    let mut report = check_run(&records, &tail, &settings.folder, faults.len())?;
    report.broken.extend(overdue);
    Ok(report)
}

impl SoakFleet {
    fn start(settings: &SoakSettings) -> eyre::Result<Self> {
        let layout = FleetLayout::new(settings.seed);
        let mut processes = ProcessSet::new(&settings.programs, &settings.folder);
        let address = layout.store().to_string();
        let words = ["gentian-standin", "fleet-store", "--address", &address];
        processes.start("store", words.map(ToOwned::to_owned).to_vec())?;
        let store_link = LoopbackProxy::start(layout.store_proxy(), layout.store())?;
        let mut links = Vec::new();
        for replica in 0..REPLICAS {
            let (address, proxy) = (layout.replica(replica), layout.replica_proxy(replica));
            links.push(LoopbackProxy::start(proxy, address)?);
            processes
                .start(&format!("replica-{replica}"), replica_command(settings, layout, replica))?;
        }
        let now = Instant::now();
        let mut fleet = Self {
            layout,
            settings: settings.clone(),
            processes,
            links,
            store_link,
            pending: Vec::new(),
            harmed: vec![now; settings.entries],
            version: 1,
        };
        fleet.retry(|fleet| fleet.layout.publish(1))?;
        for entry in 0..settings.entries {
            let path = settings.folder.join(format!("entry-{entry}.toml"));
            layout.write_settings(entry, &path)?;
            let path = path.display().to_string();
            let words = ["gentianwheel", "--settings", &path];
            let words = words.map(ToOwned::to_owned).to_vec();
            fleet.processes.start(&entry_name(entry), words)?;
        }
        Ok(fleet)
    }

    fn retry(&mut self, act: impl Fn(&Self) -> eyre::Result<()>) -> eyre::Result<()> {
        let end = Instant::now() + READY_LIMIT;
        loop {
            match act(self) {
                Err(error) if Instant::now() > end => return Err(error),
                Err(_) => std::thread::sleep(STEP),
                Ok(()) => return Ok(()),
            }
        }
    }

    fn wait_ready(&mut self) -> eyre::Result<()> {
        let entries = self.settings.entries;
        self.retry(|fleet| {
            let is_ready = |entry| is_ready(fleet.layout, entry);
            eyre::ensure!((0..entries).all(is_ready), "not every entry became ready");
            Ok(())
        })
    }

    fn inject(&mut self, planned: &PlannedFault) -> eyre::Result<()> {
        self.go_on(planned.pause)?;
        log::info!("fault {:?}", planned.fault);
        let now = Instant::now();
        match planned.fault {
            SoakFault::StopEntry(entry) => {
                self.harmed[entry] = now + Duration::from_secs(9);
                self.processes.signal(&entry_name(entry), Signal::TERM);
            }
            SoakFault::KillEntry(entry) => self.kill_entry(entry),
            SoakFault::KillEntries => {
                (0..self.settings.entries).for_each(|entry| self.kill_entry(entry));
            }
            SoakFault::PauseEntry(entry, span) => {
                self.harmed[entry] = now + span;
                self.pause(entry_name(entry), now + span);
            }
            SoakFault::ReloadEntry(entry) => {
                self.processes.signal(&entry_name(entry), Signal::HUP);
            }
            SoakFault::KillReplica(replica) => {
                self.processes.signal(&format!("replica-{replica}"), Signal::KILL);
            }
            SoakFault::PauseReplica(replica, span) => {
                self.pause(format!("replica-{replica}"), now + span);
            }
            SoakFault::LoseAnswers(replica, count) => {
                self.set_fault(self.layout.replica(replica), "lost-answer", ("count", count));
            }
            SoakFault::CutAnswers(replica, count) => {
                self.set_fault(self.layout.replica(replica), "cut-answer", ("count", count));
            }
            SoakFault::HarmReplicaLink(replica, mode, span) => {
                self.links[replica].set_mode(mode);
                self.pending.push((now + span, PendingEnd::Heal(Some(replica))));
            }
            SoakFault::HarmStoreLink(mode, span) => {
                self.store_link.set_mode(mode);
                self.pending.push((now + span, PendingEnd::Heal(None)));
            }
            SoakFault::StoreDown(span) => {
                let millis = span.as_millis() as u64;
                self.set_fault(self.layout.store(), "down", ("millis", millis));
            }
            SoakFault::LoseStoreAnswers(count) => {
                self.set_fault(self.layout.store(), "lost-answer", ("count", count));
            }
            SoakFault::Publish => {
                self.version += 3;
                report_failure("publication", self.layout.publish(self.version));
            }
            SoakFault::Evacuate(zone, span) => {
                report_failure("evacuation", self.layout.evacuate(zone, true));
                self.pending.push((now + span, PendingEnd::Return(zone)));
            }
        }
        Ok(())
    }

    fn kill_entry(&mut self, entry: usize) {
        self.harmed[entry] = Instant::now() + STEP * 4;
        self.processes.signal(&entry_name(entry), Signal::KILL);
    }

    fn pause(&mut self, name: String, end: Instant) {
        self.processes.signal(&name, Signal::STOP);
        self.pending.push((end, PendingEnd::Resume(name)));
    }

    fn set_fault(&self, address: std::net::SocketAddr, name: &str, extent: (&str, u64)) {
        report_failure("fault", self.layout.set_fault(address, name, extent));
    }

    /// Lets time pass: what has ended is put back, processes that are gone start again.
    fn go_on(&mut self, span: Duration) -> eyre::Result<()> {
        let end = Instant::now() + span;
        loop {
            let now = Instant::now();
            let (due, open) = self.pending.drain(..).partition(|(time, _)| *time <= now);
            self.pending = open;
            let due: Vec<(Instant, PendingEnd)> = due;
            due.into_iter().for_each(|(_, pending)| self.put_back(pending));
            for (name, status) in self.processes.revive()? {
                log::info!("{name} ended with {status} and starts again");
            }
            if now >= end {
                return Ok(());
            }
            std::thread::sleep(STEP.min(end - now));
        }
    }

    fn put_back(&mut self, pending: PendingEnd) {
        match pending {
            PendingEnd::Resume(name) => self.processes.signal(&name, Signal::CONT),
            PendingEnd::Heal(Some(replica)) => self.links[replica].set_mode(LinkMode::Pass),
            PendingEnd::Heal(None) => self.store_link.set_mode(LinkMode::Pass),
            PendingEnd::Return(zone) => {
                // While the store is down the zone stays out a little longer.
                if self.layout.evacuate(zone, false).is_err() {
                    let later = Instant::now() + STEP * 4;
                    self.pending.push((later, PendingEnd::Return(zone)));
                }
            }
        }
    }

    fn end(self) {
        drop(self.processes);
        self.links.into_iter().for_each(LoopbackProxy::join);
        self.store_link.join();
    }
}

fn replica_command(settings: &SoakSettings, layout: FleetLayout, replica: usize) -> Vec<String> {
    let is_engine = replica < ENGINES;
    let journal = settings.folder.join(format!("replica-{replica}.journal"));
    let holds = MODELS[replica % MODELS.len()];
    let option = |name: &str, value: String| [format!("--{name}"), value];
    let mut words = vec!["gentian-standin".to_owned(), "fleet-replica".to_owned()];
    words.extend(option("address", layout.replica(replica).to_string()));
    words.extend(option("announce", layout.replica_proxy(replica).to_string()));
    words.extend(option("store", layout.store().to_string()));
    words.extend(option("service", if is_engine { "engines" } else { "desk" }.to_owned()));
    words.extend(option("zone", zone_name(replica).to_owned()));
    words.extend(option("journal", journal.display().to_string()));
    if is_engine {
        words.extend(option("memory", "150000".to_owned()));
        words.extend(option("holds", holds.to_owned()));
    }
    words
}

fn entry_name(entry: usize) -> String {
    format!("entry-{entry}")
}

fn is_ready(layout: FleetLayout, entry: usize) -> bool {
    let clock = ProcessClock::new();
    let caller = PooledClient::new(ConnectionPool::new(clock), clock);
    let headers = HeaderList::new().with("Host", "ready").with("Connection", "close");
    let (method, target) = ("GET".to_owned(), "/-/readiness".to_owned());
    let head = RequestHead { method, target, is_http11: true, headers };
    let limit = TimeSpan::from_millis(500);
    let limits = CallLimits { connect: limit, response: limit, send_until: None };
    let answer = caller.call(layout.ready(entry), &head, b"", limits);
    answer.is_ok_and(|(head, _)| head.status == 200)
}

fn report_failure(what: &str, result: eyre::Result<()>) {
    if let Err(error) = result {
        log::info!("{what} not carried out: {error:#}");
    }
}
