//! A fleet whose entries spend the quota of one organisation. Reports, summaries and histories are
//! those of the program; they are lost or late at random. Hubs are lost, and processes start anew.

use std::collections::VecDeque;
use std::sync::Arc;

use gentian_config::OrganisationSpec;
use gentian_config::serving::{ChargeUnit, ServingConfig, ServingOrganisation};
use gentian_core::peer::{
    EntryReport, FleetSummary, FleetUse, UseHistory, UseNotice, UseReport, UseTrace,
};
use gentian_core::{
    FenceNumber, InstanceId, MonoTime, OrganisationId, TimeSpan, TokenCount, TokenRate, VmId,
};
use gentian_decide::serving::{
    CallScheduler, FleetHub, FleetPartition, HubClient, QuotaLimit, ServingBounds, UpstreamTable,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub(crate) const START: MonoTime = MonoTime::from_millis(1_000_000);
const TICK: TimeSpan = TimeSpan::from_millis(5);
const LOST_PERCENT: u32 = 1;
/// Tokens of a request.
const COSTS: std::ops::Range<u64> = 1_000..12_000;

enum Message {
    Report(EntryReport),
    History(UseHistory),
    UseReport(UseReport),
    Notice(usize, UseNotice),
    Summary(usize, FleetSummary),
    FleetUse(usize, FleetUse),
}

struct Entry {
    vm: VmId,
    instance: InstanceId,
    scheduler: CallScheduler,
    client: HubClient,
    table: UpstreamTable,
    /// Whether its process runs.
    is_up: bool,
}

/// The hub's part of the process of one entry.
struct Hub {
    entry: usize,
    fleet_hub: FleetHub,
    fence: FenceNumber,
}

pub(crate) struct QuotaFleet {
    pub(crate) now: MonoTime,
    pub(crate) refused: u32,
    pub(crate) random: SmallRng,
    bounds: ServingBounds,
    config: Arc<ServingConfig>,
    entries: Vec<Entry>,
    hub: Option<Hub>,
    messages: Vec<(MonoTime, Message)>,
    /// Trace in the key-value service.
    stored: UseTrace,
    charged: VecDeque<(MonoTime, f64)>,
    in_window: f64,
    pub(crate) max_use: f64,
    pending_tokens: f64,
}

fn organisation() -> OrganisationId {
    "club".parse().unwrap()
}

impl QuotaFleet {
    /// Creates a fleet that starts for the first time.
    pub(crate) fn new(entries: usize, rate: u64, bounds: ServingBounds, seed: u64) -> Self {
        let spec = OrganisationSpec {
            id: organisation(),
            rate: TokenRate::new(rate),
            burst: TokenCount::new(rate * 8 / 5),
            weight: 1,
        };
        let unit = ChargeUnit::Tokens { default_tokens: TokenCount::new(1) };
        let organisation_config = ServingOrganisation { spec, unit, priority: None };
        let mut config = ServingConfig::default();
        config.organisations.insert(organisation(), Arc::new(organisation_config));
        let mut fleet = Self {
            now: START,
            refused: 0,
            random: SmallRng::seed_from_u64(seed),
            bounds,
            config: Arc::new(config),
            entries: Vec::new(),
            hub: None,
            messages: Vec::new(),
            stored: UseTrace::default(),
            charged: VecDeque::new(),
            in_window: 0.0,
            max_use: 0.0,
            pending_tokens: 0.0,
        };
        for index in 0..entries {
            let scheduler = CallScheduler::new(bounds).with_first_start().with_seed(index as u64);
            let entry = fleet.make_entry(index, entries, scheduler);
            fleet.entries.push(entry);
        }
        fleet
    }

    fn make_entry(&mut self, index: usize, total: usize, mut scheduler: CallScheduler) -> Entry {
        let vm: VmId = format!("vm-{index}").parse().unwrap();
        let instance = InstanceId::new(self.random.random());
        let isolated = FleetPartition::isolated(u32::try_from(total).unwrap());
        scheduler.quotas.update_partition(isolated, self.now);
        scheduler.quotas.apply_trace(self.stored.clone(), self.now);
        scheduler.update(&self.config, self.now);
        let mut client = HubClient::new(vm.clone(), instance);
        client.update_entry_count(total);
        let table = UpstreamTable::new("north".parse().unwrap(), self.bounds);
        Entry { vm, instance, scheduler, client, table, is_up: true }
    }

    /// Ends the process of an entry, and the hub with it if it is there.
    pub(crate) fn stop(&mut self, index: usize) {
        self.entries[index].is_up = false;
        if self.hub.as_ref().is_some_and(|hub| hub.entry == index) {
            self.hub = None;
        }
    }

    pub(crate) fn stop_all(&mut self) {
        (0..self.entries.len()).for_each(|index| self.stop(index));
    }

    /// Starts the process of an entry anew.
    pub(crate) fn start(&mut self, index: usize) {
        let scheduler = CallScheduler::new(self.bounds).with_seed(self.random.random());
        self.entries[index] = self.make_entry(index, self.entries.len(), scheduler);
    }

    pub(crate) fn start_all(&mut self) {
        (0..self.entries.len()).for_each(|index| self.start(index));
    }

    /// Ends the hub, whose process goes on serving.
    pub(crate) fn lose_hub(&mut self) {
        self.hub = None;
    }

    pub(crate) fn hub_entry(&self) -> Option<usize> {
        self.hub.as_ref().map(|hub| hub.entry)
    }

    /// Makes an entry the hub.
    pub(crate) fn start_hub(&mut self, index: usize) {
        let fence = FenceNumber::new(self.now.since(START).as_micros() + 1);
        let fleet_hub = FleetHub::new(self.entries[index].instance)
            .with_fence(fence)
            .with_quota_window(self.bounds.quota_window);
        for entry in &mut self.entries {
            entry.client.record_hub(fence, self.now);
        }
        self.hub = Some(Hub { entry: index, fleet_hub, fence });
    }

    pub(crate) fn limit(&self) -> QuotaLimit {
        QuotaLimit::new(&self.config.organisations[&organisation()], &self.bounds)
    }

    /// Runs the fleet while the organisation asks for `demand` times its rate.
    pub(crate) fn run(&mut self, span: TimeSpan, demand: f64) {
        let end = self.now + span;
        let rate = self.limit().rate;
        while self.now < end {
            self.now = self.now + TICK;
            self.pending_tokens += rate * demand * TICK.as_secs_f64();
            while self.pending_tokens > 0.0 {
                let cost = self.random.random_range(COSTS);
                self.pending_tokens -= cost as f64;
                self.ask(cost);
            }
            self.prune();
            self.deliver();
            (0..self.entries.len()).for_each(|index| self.step(index));
        }
    }

    fn ask(&mut self, cost: u64) {
        let index = self.random.random_range(0..self.entries.len());
        let (now, entry) = (self.now, &mut self.entries[index]);
        if !entry.is_up {
            return;
        }
        let tokens = TokenCount::new(cost);
        if entry.scheduler.quotas.charge(&organisation(), tokens, now).is_ok() {
            self.charged.push_back((now, cost as f64));
            self.in_window += cost as f64;
            self.prune();
            self.max_use = self.max_use.max(self.in_window);
        } else {
            self.refused += 1;
        }
    }

    fn prune(&mut self) {
        let window = self.bounds.quota_window;
        while self.charged.front().is_some_and(|(time, _)| self.now.since(*time) >= window) {
            self.in_window -= self.charged.pop_front().unwrap().1;
        }
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let total = u32::try_from(self.entries.len()).unwrap();
        let Entry { scheduler, client, table, is_up, .. } = &mut self.entries[index];
        if !*is_up {
            return;
        }
        client.check_timeout(total, scheduler, table, now);
        let history = client.next_history(scheduler, now);
        let use_report = client.next_use_report(scheduler, now);
        let report = client.next_report(scheduler, now);
        use_report.into_iter().for_each(|it| self.post(Message::UseReport(it)));
        history.into_iter().for_each(|it| self.post(Message::History(it)));
        report.into_iter().for_each(|it| self.post(Message::Report(it)));
    }

    fn post(&mut self, message: Message) {
        if !self.random.random_ratio(LOST_PERCENT, 100) {
            let delay = TimeSpan::from_millis(self.random.random_range(1..20));
            self.messages.push((self.now + delay, message));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |(time, _)| *time <= now).collect();
        for (_, message) in due {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.now;
        let total = u32::try_from(self.entries.len()).unwrap();
        let find = |vm: &VmId| self.entries.iter().position(|entry| entry.vm == *vm).unwrap();
        match message {
            Message::Report(report) => {
                let index = find(&report.vm);
                let Some(hub) = &mut self.hub else { return };
                if !hub.fleet_hub.handle_report(report, now) {
                    return;
                }
                self.push_use();
                let Some(hub) = &mut self.hub else { return };
                let (vm, fence) = (&self.entries[index].vm, hub.fence);
                let summary = hub.fleet_hub.make_summary(vm, fence, now);
                summary.into_iter().for_each(|it| self.post(Message::Summary(index, it)));
            }
            Message::UseReport(report) => {
                let Some(hub) = &mut self.hub else { return };
                hub.fleet_hub.handle_use_report(&report, now);
                if report.wants_notice {
                    let notice = hub.fleet_hub.make_notice(&report.vm, &[organisation()]);
                    let index = find(&report.vm);
                    notice.into_iter().for_each(|it| self.post(Message::Notice(index, it)));
                }
                self.push_use();
            }
            Message::Notice(index, notice) => {
                let Entry { scheduler, client, is_up, .. } = &mut self.entries[index];
                if *is_up {
                    client.handle_use_notice(&notice, scheduler, now);
                }
            }
            Message::History(history) => {
                let index = find(&history.vm);
                let Some(hub) = &mut self.hub else { return };
                let reply = hub.fleet_hub.handle_history(&history, hub.fence, now);
                self.post(Message::FleetUse(index, reply));
            }
            Message::Summary(index, summary) => {
                let Entry { scheduler, client, table, is_up, .. } = &mut self.entries[index];
                if *is_up {
                    client.handle_summary(summary, total, scheduler, table, now);
                }
            }
            Message::FleetUse(index, fleet_use) => {
                let Entry { scheduler, client, is_up, .. } = &mut self.entries[index];
                if *is_up {
                    client.handle_fleet_use(&fleet_use, total, scheduler, now);
                }
            }
        }
    }

    /// Stores a trace and tells the entries at once what was used, if that is due.
    fn push_use(&mut self) {
        let now = self.now;
        let total = u32::try_from(self.entries.len()).unwrap();
        let Some(hub) = &mut self.hub else { return };
        let quotas = &self.entries[hub.entry].scheduler.quotas;
        if let Some(trace) = hub.fleet_hub.next_trace(|it| quotas.limit(it), total, now) {
            self.stored = trace;
        }
        let organisations = [organisation()];
        let limit = |it: &OrganisationId| quotas.limit(it);
        let urgent = hub.fleet_hub.urgent_organisations(organisations.iter(), limit, now);
        if urgent.is_empty() {
            return;
        }
        let notice = |(index, entry): (usize, &Entry)| {
            Some(Message::Notice(index, hub.fleet_hub.make_notice(&entry.vm, &urgent)?))
        };
        let notices: Vec<_> = self.entries.iter().enumerate().filter_map(notice).collect();
        notices.into_iter().for_each(|it| self.post(it));
    }

    pub(crate) fn check_bound(&self, context: &str) {
        let limit = self.limit();
        let bound = limit.nominal + limit.tolerance;
        let (max_use, share) = (self.max_use, self.max_use / bound);
        assert!(max_use <= bound, "{context}: {max_use:.0} of {bound:.0} tokens, {share:.3}");
    }
}
