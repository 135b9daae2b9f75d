//! A fleet of entries that count requests and report them, with a key-value service, links and a
//! platform that fail as a test says. The decisions are those of the program; only the threads, the
//! network and the services around them are the model's.

#![allow(dead_code)]

mod entry_node;
mod fake_platform;
mod fake_store;
mod service_calls;

use std::collections::{BTreeMap, BTreeSet};

use gentian_core::peer::{HubAnnouncement, UsageCopy, UsageMessage, UsageReply};
use gentian_core::{
    FastMap, FenceNumber, MonoTime, OrganisationId, StoreEra, TimeSpan, VmId, WindowNumber,
};
use gentian_decide::duties::{DutyReply, DutyTask, UsageCall, UsageRules, UsageStoreReply};
use gentian_decide::orders::LeaseReply;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use service_calls::LateCall;

use entry_node::{EPOCH, EntryNode, NodeAction};
pub(crate) use fake_platform::FakePlatform;
pub(crate) use fake_store::FakeStore;

pub(crate) const START: MonoTime = MonoTime::from_millis(1_000_000);
pub(crate) const LEASE_TIME: TimeSpan = TimeSpan::from_millis(3_000);
const READ_INTERVAL: TimeSpan = TimeSpan::from_millis(600);

/// Something that arrives at a process, at the store or at the platform.
enum Arrival {
    LeaseReply(LeaseReply, MonoTime),
    Records(Option<(VmId, FenceNumber)>, StoreEra),
    Usage(UsageMessage),
    Reply(UsageReply),
    Copy(UsageCopy),
    Announce(HubAnnouncement),
    HandOver(FenceNumber),
    Stored(UsageStoreReply),
    /// The worker's thread is about to send a call.
    Sending(UsageCall),
    Reported(UsageCall, DutyReply),
}

/// How services and links fail at present.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) is_store_silent: bool,
    /// Percentages of calls of the store, datagrams and calls of the platform.
    pub(crate) lost_store_replies: u32,
    /// The same for calls that are about records of windows only.
    pub(crate) lost_usage_replies: u32,
    pub(crate) lost_datagrams: u32,
    pub(crate) lost_reports: u32,
    /// Whether the platform answers 429.
    pub(crate) is_limited: bool,
    pub(crate) is_api_down: bool,
}

pub(crate) struct DutyFleet {
    pub(crate) time: MonoTime,
    pub(crate) random: SmallRng,
    pub(crate) rules: UsageRules,
    pub(crate) faults: Faults,
    pub(crate) store: FakeStore,
    pub(crate) platform: FakePlatform,
    pub(crate) nodes: Vec<Option<EntryNode>>,
    /// Processes that are suspended until then.
    pub(crate) suspended: Vec<MonoTime>,
    /// VMs whose datagrams and calls of the store are lost.
    pub(crate) cut: BTreeSet<usize>,
    vms: Vec<VmId>,
    next_instance: u64,
    arrivals: BTreeMap<(MonoTime, u64), (usize, gentian_core::InstanceId, Arrival)>,
    late_calls: BTreeMap<(MonoTime, u64), LateCall>,
    next_arrival: u64,
    next_reads: Vec<MonoTime>,
    tick: TimeSpan,
    /// Requests that began, by window and organisation.
    pub(crate) truth: BTreeMap<WindowNumber, FastMap<OrganisationId, u64>>,
    organisations: Vec<OrganisationId>,
    /// Requests that begin at each entry in a tick, on average.
    pub(crate) load: f64,
}

impl DutyFleet {
    pub(crate) fn new(entries: usize, seed: u64) -> Self {
        let rules = UsageRules::new(TimeSpan::from_secs(5), TimeSpan::from_secs(10))
            .with_call_interval(TimeSpan::from_millis(20))
            .with_takeover_delay(LEASE_TIME);
        let vms: Vec<VmId> =
            (0..entries).map(|number| format!("vm-{number}").parse().unwrap()).collect();
        let mut fleet = Self {
            time: START,
            random: SmallRng::seed_from_u64(seed),
            rules,
            faults: Faults::default(),
            store: FakeStore::new(),
            platform: FakePlatform::default(),
            nodes: Vec::new(),
            suspended: vec![START; entries],
            cut: BTreeSet::new(),
            vms,
            next_instance: 1,
            arrivals: BTreeMap::new(),
            late_calls: BTreeMap::new(),
            next_arrival: 0,
            next_reads: vec![START; entries],
            tick: TimeSpan::from_millis(if entries > 20 { 50 } else { 10 }),
            truth: BTreeMap::new(),
            organisations: ["hule930", "fida11", "ostrava-4"].map(|id| id.parse().unwrap()).into(),
            load: 0.3,
        };
        for number in 0..entries {
            let node = fleet.new_node(number, false);
            fleet.nodes.push(Some(node));
        }
        fleet
    }

    fn new_node(&mut self, number: usize, has_predecessor: bool) -> EntryNode {
        let instance = self.next_instance;
        self.next_instance += 1;
        let (vms, rules) = (&self.vms, self.rules);
        EntryNode::new(number as u64, instance, vms, rules, has_predecessor, self.time)
    }

    pub(crate) fn window(&self) -> WindowNumber {
        self.window_at(self.time)
    }

    pub(crate) fn window_at(&self, time: MonoTime) -> WindowNumber {
        let offset = gentian_core::ClockOffset::from_micros(EPOCH);
        self.rules.window_at(offset.wall_time(time))
    }

    /// Returns when a window ends, in the model's time.
    pub(crate) fn end(&self, window: WindowNumber) -> MonoTime {
        MonoTime::from_micros(self.rules.end(window).as_micros() - EPOCH as u64)
    }

    /// Returns the process that may act as the hub.
    pub(crate) fn holder(&self) -> Option<usize> {
        let acts = |node: &Option<EntryNode>| node.as_ref().is_some_and(|it| it.acts(self.time));
        self.nodes.iter().position(acts)
    }

    pub(crate) fn kill(&mut self, number: usize) {
        self.nodes[number] = None;
    }

    pub(crate) fn start(&mut self, number: usize) {
        let node = self.new_node(number, true);
        self.suspended[number] = self.time;
        self.nodes[number] = Some(node);
    }

    /// Stops a process as a signal does; it ends a second later.
    pub(crate) fn stop(&mut self, number: usize) {
        let time = self.time;
        if let Some(node) = &mut self.nodes[number] {
            let actions = node.stop(time);
            self.perform(number, actions);
        }
    }

    pub(crate) fn suspend(&mut self, number: usize, span: TimeSpan) {
        self.suspended[number] = self.time + span;
    }

    pub(crate) fn step_clock(&mut self, number: usize, micros: i64) {
        if let Some(node) = &mut self.nodes[number] {
            node.clock_error += micros;
        }
    }

    pub(crate) fn run(&mut self, span: TimeSpan) {
        let end = self.time + span;
        while self.time < end {
            self.time = self.time + self.tick;
            self.execute_late_calls();
            self.deliver();
            for number in 0..self.nodes.len() {
                if self.suspended[number] <= self.time {
                    self.serve(number);
                    self.step(number);
                }
            }
        }
    }

    fn percent(&mut self, percentage: u32) -> bool {
        percentage > 0 && self.random.random_ratio(percentage, 100)
    }

    fn delay(&mut self, millis: std::ops::Range<u64>) -> TimeSpan {
        TimeSpan::from_millis(self.random.random_range(millis))
    }

    /// Requests begin to run through an entry.
    fn serve(&mut self, number: usize) {
        let window = self.window();
        let Some(node) = &mut self.nodes[number] else { return };
        for organisation in &self.organisations {
            if self.random.random_bool(self.load) {
                node.count(organisation, self.time);
                let counts = self.truth.entry(window).or_default();
                *counts.entry(organisation.clone()).or_default() += 1;
            }
        }
    }

    fn step(&mut self, number: usize) {
        if self.next_reads[number] <= self.time {
            self.next_reads[number] = self.time + READ_INTERVAL;
            self.read_records(number);
        }
        let time = self.time;
        let Some(node) = &mut self.nodes[number] else { return };
        let actions = node.step(time);
        self.perform(number, actions);
    }

    fn read_records(&mut self, number: usize) {
        if self.faults.is_store_silent || self.cut.contains(&number) {
            return;
        }
        self.store.expire(self.time);
        let name = |instance| {
            let node = self.nodes.iter().flatten().find(|node| node.instance == instance);
            node.map_or_else(|| "gone".parse().unwrap(), |node| node.vm.clone())
        };
        let holder = self.store.holder;
        let holder = holder.map(|(revision, instance, _)| (name(instance), revision.fence()));
        let era = self.store.era;
        let delay = self.delay(2..30);
        self.arrive(number, delay, Arrival::Records(holder, era));
    }

    fn arrive(&mut self, number: usize, delay: TimeSpan, arrival: Arrival) {
        let Some(node) = &self.nodes[number] else { return };
        self.next_arrival += 1;
        let key = (self.time + delay, self.next_arrival);
        self.arrivals.insert(key, (number, node.instance, arrival));
    }

    fn send(&mut self, from: usize, vm: &VmId, arrival: Arrival) {
        let to = self.vms.iter().position(|other| other == vm);
        let Some(to) = to.filter(|to| !self.cut.contains(to) && !self.cut.contains(&from)) else {
            return;
        };
        if !self.percent(self.faults.lost_datagrams) {
            let delay = self.delay(1..20);
            self.arrive(to, delay, arrival);
        }
    }

    fn perform(&mut self, number: usize, actions: Vec<NodeAction>) {
        for action in actions {
            match action {
                NodeAction::Lease(task) => self.call_lease(number, task),
                NodeAction::Duty(DutyTask::Store(task)) => self.call_store(number, task),
                NodeAction::Duty(DutyTask::Report(call)) => {
                    let delay = self.delay(0..5);
                    self.arrive(number, delay, Arrival::Sending(call));
                }
                NodeAction::Count(vm, message) => self.send(number, &vm, Arrival::Usage(message)),
                NodeAction::Copy(vm, copy) => self.send(number, &vm, Arrival::Copy(copy)),
                NodeAction::Reply(vm, reply) => self.send(number, &vm, Arrival::Reply(reply)),
                NodeAction::Announce(announcement) => {
                    for vm in self.vms.clone().iter().filter(|vm| **vm != announcement.vm) {
                        self.send(number, vm, Arrival::Announce(announcement.clone()));
                    }
                }
                NodeAction::HandOver(fence) => {
                    for vm in self.vms.clone().iter().take(4) {
                        self.send(number, vm, Arrival::HandOver(fence));
                    }
                }
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.arrivals.first_entry()
            && entry.key().0 <= self.time
        {
            let (number, instance, arrival) = entry.remove();
            let is_same = |node: &EntryNode| node.instance == instance;
            if !self.nodes[number].as_ref().is_some_and(is_same) {
                continue;
            }
            if self.suspended[number] > self.time {
                let delay = self.suspended[number].since(self.time);
                self.arrive(number, delay, arrival);
                continue;
            }
            self.handle(number, arrival);
        }
    }

    fn handle(&mut self, number: usize, arrival: Arrival) {
        let time = self.time;
        let Some(node) = &mut self.nodes[number] else { return };
        let now = node.clock(time);
        let actions = match arrival {
            Arrival::LeaseReply(reply, sent) => node.handle_lease_reply(reply, sent, time),
            Arrival::Records(holder, era) => {
                node.handle_records(holder, era, time);
                Vec::new()
            }
            Arrival::Usage(message) => node.handle_usage(&message, time).into_iter().collect(),
            Arrival::Reply(reply) => {
                node.handle_reply(&reply, time);
                Vec::new()
            }
            Arrival::Copy(copy) => {
                node.handle_copy(&copy, time);
                Vec::new()
            }
            Arrival::Announce(announcement) => {
                node.update_hub(announcement.vm, announcement.fence, time);
                Vec::new()
            }
            Arrival::HandOver(fence) => {
                node.handle_handover(fence, time);
                Vec::new()
            }
            Arrival::Stored(reply) => {
                let (duty, ledger) = node.duty();
                duty.handle_store_reply(reply, ledger, now);
                Vec::new()
            }
            Arrival::Sending(call) => {
                self.send_report(number, call);
                return;
            }
            Arrival::Reported(call, reply) => {
                if reply == DutyReply::Fenced {
                    let refusal = (time, node.vm.clone(), call.fence);
                    self.platform.refusals.push(refusal);
                }
                let (duty, ledger) = node.duty();
                duty.handle_call_reply(&call, reply, ledger.as_deref(), now);
                Vec::new()
            }
        };
        self.perform(number, actions);
    }

    /// Returns whether the report of a window was accepted in time.
    pub(crate) fn is_in_time(&self, window: WindowNumber) -> bool {
        let due = self.end(window) + self.rules.report_delay;
        self.platform.accepted.get(&window).is_some_and(|(_, accepted)| *accepted <= due)
    }

    /// Returns the largest relative error of the accepted counts of a window.
    pub(crate) fn error(&self, window: WindowNumber) -> f64 {
        let Some((accepted, _)) = self.platform.accepted.get(&window) else { return 1.0 };
        let truth = self.truth.get(&window).cloned().unwrap_or_default();
        let reported: FastMap<_, _> = accepted.counts.iter().cloned().collect();
        let errors = truth.iter().map(|(organisation, count)| {
            let reported = reported.get(organisation).copied().unwrap_or(0);
            reported.abs_diff(*count) as f64 / *count as f64
        });
        errors.fold(0.0, f64::max)
    }

    /// Checks that the reports of these windows were accepted in time and are within 5%.
    pub(crate) fn check_windows(&self, first: WindowNumber, end: WindowNumber) {
        for number in first.get()..end.get() {
            let window = WindowNumber::new(number);
            let accepted = self.platform.accepted.get(&window);
            let after = accepted.map(|(_, accepted)| accepted.since(self.end(window)));
            assert!(self.is_in_time(window), "window {window} accepted {after:?} after its end");
            let error = self.error(window);
            assert!(error <= 0.05, "window {window} is off by {error:.3}");
        }
    }
}
