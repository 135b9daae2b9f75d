//! The hub: aggregates use and demand over all entries.

use gentian_core::peer::{
    EntryReport, FleetSummary, FleetUse, ListRead, ListingNotice, ResidentModels, ServingDemand,
    TargetId, UpstreamListing, UpstreamWork, UseHistory, UseNotice, UseReport, UseTrace,
};
use gentian_core::{
    FastMap, FastSet, FenceNumber, InstanceId, MonoTime, OrganisationId, SequenceNumber, ServiceId,
    StoreRevision, TimeSpan, UpstreamId, VmId,
};

use super::fleet_work::{FleetWork, RequestedModels};
use super::registered_models::RegisteredModels;
use super::report_interval::{
    entry_timeout, is_report_interval_longest, report_interval, work_interval,
};
use super::target_history::record_prompts;
use super::{
    ArrivalTotals, FleetUses, HubRows, QuotaLimit, RevisedMap, RowPage, TargetHistory,
    UpstreamRegistration,
};

/// Age of the listings of a hub that has not read any list yet.
const UNKNOWN_AGE: TimeSpan = TimeSpan::from_micros(u64::MAX);

/// Use of one target, over all entries.
#[derive(Clone, Debug, Default)]
pub struct TargetUse {
    /// Requests that wait.
    pub waiting: u32,
    /// Time until the earliest queue deadline of a waiting request.
    pub time_left: TimeSpan,
    /// Requests that run, by upstream.
    pub running: FastMap<UpstreamId, u32>,
    /// Requests per second, as an exponential moving average.
    pub rate: f64,
    /// Requests per second in the last second, as an exponential moving average.
    pub recent_rate: f64,
    /// Mean length of a prompt in tokens; zero if it is not known.
    pub prompt_tokens: f64,
    /// When a request last arrived.
    pub last_arrival: MonoTime,
}

impl TargetUse {
    /// Returns whether requests run or wait.
    pub fn is_active(&self) -> bool {
        self.waiting > 0 || !self.running.is_empty()
    }
}

#[derive(Debug)]
struct EntryState {
    report: EntryReport,
    work: Vec<(UpstreamId, UpstreamWork)>,
    remote_work_sent: MonoTime,
    requested_models: RequestedModels,
    last_report: MonoTime,
    /// Spent on this VM since the hub began to count.
    spent: FastMap<OrganisationId, u64>,
    /// Highest totals that this process has reported.
    reported: FastMap<OrganisationId, u64>,
    arrival_totals: ArrivalTotals,
}

/// Aggregates the reports of all entries and distributes the state of upstreams to them.
#[derive(Debug)]
pub struct FleetHub {
    /// Identifies the hub towards entries.
    id: InstanceId,
    entries: FastMap<VmId, EntryState>,
    spent: FastMap<OrganisationId, u64>,
    uses: FleetUses,
    /// Bounded by the models and adapters that entries accept requests for.
    histories: FastMap<(ServiceId, TargetId), TargetHistory>,
    listings: RevisedMap<UpstreamId, UpstreamListing>,
    listings_time: Option<MonoTime>,
    /// Revision of the listing that changed last.
    listings_revision: SequenceNumber,
    resident_models: RevisedMap<UpstreamId, ResidentModels>,
    revision: SequenceNumber,
    fleet_work: FleetWork,
    registered: RegisteredModels,
    /// As of which revision entries have read all registrations themselves; at most one for each VM.
    own_lists: FastMap<VmId, (InstanceId, StoreRevision)>,
}

impl FleetHub {
    /// Creates a hub without reports in the process `instance`.
    pub fn new(instance: InstanceId) -> Self {
        Self {
            id: instance,
            entries: FastMap::default(),
            spent: FastMap::default(),
            uses: FleetUses::new(TimeSpan::ZERO),
            histories: FastMap::default(),
            listings: RevisedMap::new(),
            listings_time: None,
            listings_revision: SequenceNumber::default(),
            resident_models: RevisedMap::new(),
            revision: SequenceNumber::new(1),
            fleet_work: FleetWork::default(),
            registered: RegisteredModels::default(),
            own_lists: FastMap::default(),
        }
    }

    /// Returns the hub with an id that differs from those of earlier hubs of the same process, which
    /// had other fencing numbers. Entries would take its summaries for older ones otherwise.
    pub fn with_fence(self, fence: FenceNumber) -> Self {
        let id = self.id.get() ^ fence.get();
        Self { id: InstanceId::new(id), ..self }
    }

    /// Returns the hub with an account of the use within `window`, in which quotas are counted.
    pub fn with_quota_window(self, window: TimeSpan) -> Self {
        Self { uses: FleetUses::new(window), ..self }
    }

    /// Applies what an entry says that it used before it knew this hub, and returns what all others
    /// used.
    pub fn handle_history(
        &mut self,
        history: &UseHistory,
        fence: FenceNumber,
        now: MonoTime,
    ) -> FleetUse {
        self.uses.handle_history(history, self.id, fence, now)
    }

    /// Returns the trace of the use that is due to be stored. `limit` returns the limit of an
    /// organisation that has one. While the use of some of the entries is unknown, the stored trace of
    /// the former hub says more.
    pub fn next_trace(
        &mut self,
        limit: impl Fn(&OrganisationId) -> Option<QuotaLimit>,
        entry_count: u32,
        now: MonoTime,
    ) -> Option<UseTrace> {
        self.uses.next_trace(limit, entry_count, now)
    }

    /// Applies a report; `false` if it is not newer than the last one of its process.
    pub fn handle_report(&mut self, report: EntryReport, now: MonoTime) -> bool {
        let known = self.entries.get(&report.vm);
        let same_process = known.filter(|entry| entry.report.instance == report.instance);
        if same_process.is_some_and(|entry| entry.report.sequence >= report.sequence) {
            return false;
        }
        // Without a recent report of the same process, a total is only a new baseline: an isolated
        // entry limits itself to its fraction of the rate, which covers what it spent meanwhile.
        let limit = entry_timeout(self.entries.len());
        let previous = same_process.filter(|entry| now.since(entry.last_report) < limit);
        let entry_spent = known.map(|entry| entry.spent.clone()).unwrap_or_default();
        let reported = match previous {
            Some(entry) => entry.reported.clone(),
            None => report.spent.iter().cloned().collect(),
        };
        let known_totals = previous.map(|entry| entry.arrival_totals.clone());
        let mut arrival_totals = known_totals.unwrap_or_else(|| ArrivalTotals::new(now));
        arrival_totals.prune(now);
        let count_new = |demand: &ServingDemand| {
            let key = (demand.service.clone(), demand.target.clone());
            (key, arrival_totals.record(demand, now))
        };
        let arrivals: Vec<_> = report.demands.iter().map(count_new).collect();
        for (key, count) in arrivals {
            self.histories.entry(key).or_default().record_arrivals(count, now);
        }
        let remote_work_sent = known.map_or(MonoTime::ORIGIN, |entry| entry.remote_work_sent);
        let mut requested_models =
            same_process.map(|it| it.requested_models.clone()).unwrap_or_default();
        requested_models.record_demands(&report.demands, now);
        record_prompts(&mut self.histories, &report);
        let previous_work = same_process.map(|entry| entry.work.clone()).unwrap_or_default();
        let work = report.work.clone().unwrap_or(previous_work);
        let use_report = UseReport {
            vm: report.vm.clone(),
            instance: report.instance,
            spent: report.spent.clone(),
            wants_notice: false,
        };
        let entry = EntryState {
            report,
            work,
            remote_work_sent,
            requested_models,
            last_report: now,
            spent: entry_spent,
            reported,
            arrival_totals,
        };
        self.entries.insert(use_report.vm.clone(), entry);
        self.handle_use_report(&use_report, now);
        true
    }

    /// Applies what an entry has spent. It is ignored if the process has not sent a full report
    /// recently, which gives the baseline.
    pub fn handle_use_report(&mut self, report: &UseReport, now: MonoTime) {
        let timeout = entry_timeout(self.entries.len());
        let Some(entry) = self.entries.get_mut(&report.vm) else { return };
        if entry.report.instance != report.instance || now.since(entry.last_report) >= timeout {
            return;
        }
        for (organisation, total) in &report.spent {
            let before = entry.reported.entry(organisation.clone()).or_default();
            let added = total.saturating_sub(*before);
            *before = (*before).max(*total);
            for spent in [&mut entry.spent, &mut self.spent] {
                let total = spent.entry(organisation.clone()).or_default();
                *total = total.saturating_add(added);
            }
            self.uses.record_use((&report.vm, report.instance), organisation, added, now);
        }
    }

    /// Returns which organisations of a report all entries are to be told about at once.
    pub fn urgent_organisations<'a>(
        &mut self,
        organisations: impl Iterator<Item = &'a OrganisationId>,
        limit: impl Fn(&OrganisationId) -> Option<QuotaLimit>,
        now: MonoTime,
    ) -> Vec<OrganisationId> {
        let entries = self.entries.len();
        let horizon = report_interval(entries, false);
        self.uses.urgent_organisations(organisations, limit, (entries, horizon), now)
    }

    /// Returns what the others than the entry on `vm` spent of these organisations' quotas.
    pub fn make_notice(&self, vm: &VmId, organisations: &[OrganisationId]) -> Option<UseNotice> {
        let entry = self.entries.get(vm)?;
        let remote_spent = |organisation: &OrganisationId| {
            let total = self.spent.get(organisation).copied().unwrap_or(0);
            let own = entry.spent.get(organisation).copied().unwrap_or(0);
            (organisation.clone(), total.saturating_sub(own))
        };
        let spent = organisations.iter().map(remote_spent).collect();
        Some(UseNotice { hub: self.id, spent })
    }

    /// Returns whether `report` is the first one of its process, or the first after a time in which
    /// the entry may have missed messages.
    pub fn is_returning(&self, report: &EntryReport, now: MonoTime) -> bool {
        let known = self.entries.get(&report.vm);
        let same_process = known.filter(|entry| entry.report.instance == report.instance);
        let limit = entry_timeout(self.entries.len());
        same_process.is_none_or(|entry| now.since(entry.last_report) >= limit)
    }

    /// Builds the reply to the last report of the entry on `vm`, and marks the work that it
    /// includes as sent.
    pub fn make_summary(
        &mut self,
        vm: &VmId,
        fence: FenceNumber,
        now: MonoTime,
    ) -> Option<FleetSummary> {
        self.update_work(now);
        let summary = self.build_summary(vm, fence, now)?;
        if summary.work.is_some() {
            self.entries.get_mut(vm)?.remote_work_sent = now;
        }
        Some(summary)
    }

    fn build_summary(&self, vm: &VmId, fence: FenceNumber, now: MonoTime) -> Option<FleetSummary> {
        let entry = self.entries.get(vm)?;
        let spent = self.spent.iter().map(|(organisation, total)| {
            let entry_spent = entry.spent.get(organisation).copied().unwrap_or(0);
            (organisation.clone(), total.saturating_sub(entry_spent))
        });
        let work = self.is_work_due(entry, now).then(|| self.remote_work(entry, now));
        let (hub, known) = entry.report.known_revision;
        let known = if hub == self.id { known } else { SequenceNumber::default() };
        let rows = HubRows {
            listings: &self.listings,
            resident_models: &self.resident_models,
            registered: &self.registered,
            newest: self.revision,
        };
        let read = self.own_lists.get(vm).filter(|(process, _)| *process == entry.report.instance);
        let page = RowPage::new(rows, known, read.map(|(_, revision)| *revision));
        Some(FleetSummary {
            hub: self.id,
            fence,
            sequence: entry.report.sequence,
            reachable_entries: u32::try_from(self.reachable_entries(now).count())
                .unwrap_or(u32::MAX),
            spent: spent.collect(),
            work,
            // The table of an entry is as recent as the list only with the last listing.
            listing_age: self
                .listings_time
                .filter(|_| page.has_last_listing)
                .map_or(UNKNOWN_AGE, |time| now.since(time)),
            revision: page.revision,
            listings: page.listings,
            resident_models: page.resident_models,
        })
    }

    /// Updates the resident models of upstreams; only changed ones are sent again. Returns whether
    /// any changed.
    pub fn update_resident_models(
        &mut self,
        resident_models: impl IntoIterator<Item = ResidentModels>,
    ) -> bool {
        let before = self.revision;
        for models in resident_models {
            let is_changed = self.resident_models.get(&models.upstream) != Some(&models);
            if is_changed {
                self.registered.record_change(&models);
            }
            self.resident_models.set(models.upstream.clone(), models, &mut self.revision);
        }
        self.revision > before
    }

    /// Updates the listings to those just read, as of `revision` of the key-value service, and marks
    /// missing ones as not ready; only changed ones are sent again.
    pub fn update_listings(
        &mut self,
        listings: impl Iterator<Item = UpstreamListing>,
        revision: StoreRevision,
        now: MonoTime,
    ) {
        self.listings_time = Some(now);
        let before = self.revision;
        let mut removed: FastSet<UpstreamId> = self.listings.keys().cloned().collect();
        for listing in listings {
            removed.remove(&listing.upstream);
            let known = self.listings.get(&listing.upstream);
            let listing = match known {
                Some(known) => merge_listing(known, listing),
                None => listing,
            };
            self.listings.set(listing.upstream.clone(), listing, &mut self.revision);
        }
        for upstream in removed {
            if let Some(known) = self.listings.get(&upstream) {
                let last_revision = if known.is_ready { revision } else { known.revision };
                let listing =
                    UpstreamListing { is_ready: false, revision: last_revision, ..known.clone() };
                self.listings.set(upstream, listing, &mut self.revision);
            }
        }
        if self.revision > before {
            self.listings_revision = self.revision;
        }
    }

    /// Records what the registrations say of the models of engines. Entries of a large fleet that have read the same
    /// get no rows for it.
    pub fn update_registered_models(&mut self, registrations: &[UpstreamRegistration]) {
        if FleetWork::is_selective(registrations.len()) {
            self.registered.update(registrations, &self.resident_models);
        }
    }

    /// Records that an entry of a large fleet has read all registrations itself.
    pub fn handle_own_list(&mut self, read: &ListRead) {
        let known = self.own_lists.entry(read.vm.clone()).or_insert((read.instance, read.revision));
        if known.0 != read.instance || known.1 < read.revision {
            *known = (read.instance, read.revision);
        }
    }

    /// Returns the notice that the entries of a large fleet get after each read of the registrations, since they
    /// would hear of it too late with the summaries, and all read the registrations themselves; `None` in a smaller
    /// fleet. Listings that changed go to the entries in summaries, at once.
    pub fn listing_notice(&self, now: MonoTime) -> Option<ListingNotice> {
        let listing_age = now.since(self.listings_time?);
        let notice = ListingNotice { hub: self.id, revision: self.listings_revision, listing_age };
        is_report_interval_longest(self.entries.len()).then_some(notice)
    }

    /// Returns the VMs of the entries that have not confirmed the newest listings.
    pub fn outdated_vms(&self, now: MonoTime) -> Vec<VmId> {
        let is_outdated = |entry: &&EntryState| {
            let (hub, known) = entry.report.known_revision;
            hub != self.id || known < self.listings_revision
        };
        let outdated = self.reachable_entries(now).filter(is_outdated);
        outdated.map(|entry| entry.report.vm.clone()).collect()
    }

    /// Drops the resident models of upstreams for which `is_known` returns `false`.
    pub fn retain_resident_models(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.resident_models.retain(is_known);
    }

    /// Returns the VMs whose requests wait for an upstream.
    pub fn waiting_vms(&self, now: MonoTime) -> Vec<VmId> {
        let is_waiting = |entry: &&EntryState| entry.report.demands.iter().any(|it| it.waiting > 0);
        self.reachable_entries(now)
            .filter(is_waiting)
            .map(|entry| entry.report.vm.clone())
            .collect()
    }

    /// Returns the VMs of the entries that reported recently.
    pub fn reachable_vms(&self, now: MonoTime) -> impl Iterator<Item = &VmId> {
        self.reachable_entries(now).map(|entry| &entry.report.vm)
    }

    /// Returns the use of each target, over all entries.
    pub fn target_uses(&self, now: MonoTime) -> FastMap<(ServiceId, TargetId), TargetUse> {
        let mut uses: FastMap<(ServiceId, TargetId), TargetUse> = FastMap::default();
        for (key, history) in &self.histories {
            let current = TargetUse {
                rate: history.rate(now),
                recent_rate: history.recent_rate(now),
                prompt_tokens: history.prompt_tokens(),
                last_arrival: history.last_arrival(),
                ..TargetUse::default()
            };
            uses.insert(key.clone(), current);
        }
        for demand in self.reachable_entries(now).flat_map(|entry| &entry.report.demands) {
            let key = (demand.service.clone(), demand.target.clone());
            let sum = uses.entry(key).or_default();
            if demand.waiting > 0 {
                sum.time_left =
                    if sum.waiting == 0 { demand.slack } else { sum.time_left.min(demand.slack) };
            }
            sum.waiting = sum.waiting.saturating_add(demand.waiting);
            for (upstream, count) in &demand.running {
                let running = sum.running.entry(upstream.clone()).or_default();
                *running = running.saturating_add(*count);
            }
        }
        uses
    }

    fn is_work_due(&self, entry: &EntryState, now: MonoTime) -> bool {
        now.since(entry.remote_work_sent) >= work_interval(self.entries.len())
    }

    fn remote_work(&self, entry: &EntryState, now: MonoTime) -> Vec<(UpstreamId, UpstreamWork)> {
        if FleetWork::is_selective(self.listings.len()) {
            return self.fleet_work.select(&entry.work, &entry.requested_models);
        }
        let vm = &entry.report.vm;
        let others = self.reachable_entries(now).filter(|other| other.report.vm != *vm);
        let mut work: FastMap<&UpstreamId, UpstreamWork> = FastMap::default();
        for (upstream, entry_work) in others.flat_map(|other| &other.work) {
            let sum = work.entry(upstream).or_default();
            sum.running = sum.running.saturating_add(entry_work.running);
            sum.pending_prefill_tokens =
                sum.pending_prefill_tokens.saturating_add(entry_work.pending_prefill_tokens);
        }
        work.into_iter().map(|(upstream, work)| (upstream.clone(), work)).collect()
    }

    /// Sums the work of all entries anew if the fleet is large and the sums are out of date.
    fn update_work(&mut self, now: MonoTime) {
        if !FleetWork::is_selective(self.listings.len()) || !self.fleet_work.is_outdated(now) {
            return;
        }
        let mut fleet_work = std::mem::take(&mut self.fleet_work);
        let work = self.reachable_entries(now).flat_map(|entry| &entry.work);
        fleet_work.update(work, &self.listings, &self.resident_models, now);
        self.fleet_work = fleet_work;
    }

    fn reachable_entries(&self, now: MonoTime) -> impl Iterator<Item = &EntryState> {
        let limit = entry_timeout(self.entries.len());
        self.entries.values().filter(move |entry| now.since(entry.last_report) < limit)
    }
}

/// Returns the known listing if the new one differs only in what changes with every heartbeat: the
/// revision, and the remaining time for which the upstream is cold. Otherwise returns the new one,
/// with the known remaining time unless the upstream has restarted, become cold or warmed up.
fn merge_listing(known: &UpstreamListing, listing: UpstreamListing) -> UpstreamListing {
    let is_cold = |listing: &UpstreamListing| listing.cold_remaining > TimeSpan::ZERO;
    let is_same_start =
        known.incarnation == listing.incarnation && is_cold(known) == is_cold(&listing);
    let cold = if is_same_start { known.cold_remaining } else { listing.cold_remaining };
    let listing = UpstreamListing { cold_remaining: cold, ..listing };
    let is_same = UpstreamListing { revision: known.revision, ..listing.clone() } == *known;
    if is_same { known.clone() } else { listing }
}
