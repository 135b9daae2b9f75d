//! The hub: counts what all entries use, and knows what they ask for.

use gentian_core::peer::{
    EntryReport, FleetSummary, ResidentModels, ServingDemand, TargetId, UpstreamListing,
    UpstreamWork,
};
use gentian_core::{
    FastMap, FastSet, FenceNumber, InstanceId, MonoTime, OrganisationId, SequenceNumber, ServiceId,
    TimeSpan, UpstreamId, VmId,
};

use super::RevisedMap;
use super::report_interval::{heard_limit, work_spacing};

/// Time constant of the rates of arrival.
const RATE_TIME: TimeSpan = TimeSpan::from_secs(5);

/// Use of one target over all entries.
#[derive(Clone, Debug, Default)]
pub struct TargetUse {
    /// Requests that wait.
    pub waiting: u32,
    /// Time left to the most urgent waiting request.
    pub slack: TimeSpan,
    /// Requests that run, by upstream.
    pub running: FastMap<UpstreamId, u32>,
    /// Requests a second, smoothed.
    pub rate: f64,
    /// When a request last came.
    pub last: MonoTime,
}

impl TargetUse {
    /// Tells whether requests run or wait.
    pub fn is_active(&self) -> bool {
        self.waiting > 0 || !self.running.is_empty()
    }
}

#[derive(Debug)]
struct HeardEntry {
    digest: EntryReport,
    work: Vec<(UpstreamId, UpstreamWork)>,
    told_work: MonoTime,
    heard: MonoTime,
    spent: FastMap<OrganisationId, u64>,
}

#[derive(Debug, Default)]
struct ArrivalRate {
    rate: f64,
    updated: MonoTime,
    last: MonoTime,
}

/// Counts for all entries.
#[derive(Debug)]
pub struct FleetHub {
    instance: InstanceId,
    entries: FastMap<VmId, HeardEntry>,
    spent: FastMap<OrganisationId, u64>,
    rates: FastMap<(ServiceId, TargetId), ArrivalRate>,
    listings: RevisedMap<UpstreamId, UpstreamListing>,
    listed: MonoTime,
    rows: RevisedMap<UpstreamId, ResidentModels>,
    revision: SequenceNumber,
}

impl FleetHub {
    /// Creates a hub that has heard nobody.
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            entries: FastMap::default(),
            spent: FastMap::default(),
            rates: FastMap::default(),
            listings: RevisedMap::new(),
            listed: MonoTime::ORIGIN,
            rows: RevisedMap::new(),
            revision: SequenceNumber::new(1),
        }
    }

    /// Takes a digest in; `false` if it is older than a known one.
    pub fn handle_report(&mut self, digest: EntryReport, now: MonoTime) -> bool {
        let known = self.entries.get(&digest.vm);
        let same = known.filter(|entry| entry.digest.instance == digest.instance);
        if same.is_some_and(|entry| entry.digest.sequence >= digest.sequence) {
            return false;
        }
        // Without a digest shortly before, a total is only a base: what was spent meanwhile is
        // covered by the part of the rate that the entry kept to alone.
        let limit = heard_limit(self.entries.len());
        let earlier = same.filter(|entry| now.since(entry.heard) < limit);
        let mut own = known.map(|entry| entry.spent.clone()).unwrap_or_default();
        for (organisation, total) in &digest.spent {
            let before = earlier.map(|entry| find_spent(&entry.digest, organisation));
            let added = total.saturating_sub(before.unwrap_or(*total));
            *own.entry(organisation.clone()).or_default() += added;
            *self.spent.entry(organisation.clone()).or_default() += added;
        }
        let count_new = |demand: &ServingDemand| {
            let before = earlier.map(|entry| find_arrived(&entry.digest, demand));
            let key = (demand.service.clone(), demand.target.clone());
            (key, demand.arrived.saturating_sub(before.unwrap_or(demand.arrived)))
        };
        let arrivals: Vec<_> = digest.demands.iter().map(count_new).collect();
        for (key, count) in arrivals {
            self.rates.entry(key).or_default().record(count, now);
        }
        let told_work = known.map_or(MonoTime::ORIGIN, |entry| entry.told_work);
        let past_work = same.map(|entry| entry.work.clone()).unwrap_or_default();
        let work = digest.work.clone().unwrap_or(past_work);
        let entry = HeardEntry { digest, work, told_work, heard: now, spent: own };
        self.entries.insert(entry.digest.vm.clone(), entry);
        true
    }

    /// Answers the last digest of the entry on `vm`.
    pub fn make_summary(
        &mut self,
        vm: &VmId,
        fence: FenceNumber,
        now: MonoTime,
    ) -> Option<FleetSummary> {
        let tally = self.write_tally(vm, fence, now)?;
        if tally.work.is_some() {
            self.entries.get_mut(vm)?.told_work = now;
        }
        Some(tally)
    }

    fn write_tally(&self, vm: &VmId, fence: FenceNumber, now: MonoTime) -> Option<FleetSummary> {
        let entry = self.entries.get(vm)?;
        let spent = self.spent.iter().map(|(organisation, total)| {
            let own = entry.spent.get(organisation).copied().unwrap_or(0);
            (organisation.clone(), total.saturating_sub(own))
        });
        let work = self.is_work_due(entry, now).then(|| self.work_of_others(vm, now));
        let (hub, known) = entry.digest.known_revision;
        let known = if hub == self.instance { known } else { SequenceNumber::default() };
        Some(FleetSummary {
            hub: self.instance,
            fence,
            sequence: entry.digest.sequence,
            reachable_entries: u32::try_from(self.heard(now).count()).unwrap_or(u32::MAX),
            spent: spent.collect(),
            work,
            listing_age: now.since(self.listed),
            revision: self.revision,
            listings: self.listings.changed_since(known),
            resident_models: self.rows.changed_since(known),
        })
    }

    /// Takes over what upstreams hold; only rows that differ are sent again. Returns whether any does.
    pub fn update_resident_models(
        &mut self,
        rows: impl IntoIterator<Item = ResidentModels>,
    ) -> bool {
        let before = self.revision;
        for row in rows {
            self.rows.set(row.upstream.clone(), row, &mut self.revision);
        }
        self.revision > before
    }

    /// Takes the registrations over that were just read, as they were at `revision` of the service;
    /// only those that differ are sent again.
    pub fn update_listings(
        &mut self,
        rows: impl Iterator<Item = UpstreamListing>,
        revision: SequenceNumber,
        now: MonoTime,
    ) {
        self.listed = now;
        let mut gone: FastSet<UpstreamId> = self.listings.keys().cloned().collect();
        for listing in rows {
            gone.remove(&listing.upstream);
            let known = self.listings.get(&listing.upstream);
            let listing = match known {
                Some(known) => settle_listing(known, listing),
                None => listing,
            };
            self.listings.set(listing.upstream.clone(), listing, &mut self.revision);
        }
        for upstream in gone {
            if let Some(known) = self.listings.get(&upstream) {
                let stored = if known.is_ready { revision } else { known.revision };
                let listing =
                    UpstreamListing { is_ready: false, revision: stored, ..known.clone() };
                self.listings.set(upstream, listing, &mut self.revision);
            }
        }
    }

    /// Forgets the rows of upstreams that are not `listed`.
    pub fn retain_rows(&mut self, listed: impl Fn(&UpstreamId) -> bool) {
        self.rows.retain(listed);
    }

    /// Returns the VMs whose requests wait for an upstream.
    pub fn waiting_vms(&self, now: MonoTime) -> Vec<VmId> {
        let waits = |entry: &&HeardEntry| entry.digest.demands.iter().any(|it| it.waiting > 0);
        self.heard(now).filter(waits).map(|entry| entry.digest.vm.clone()).collect()
    }

    /// Returns the VMs of the entries that are heard.
    pub fn reachable_vms(&self, now: MonoTime) -> impl Iterator<Item = &VmId> {
        self.heard(now).map(|entry| &entry.digest.vm)
    }

    /// Returns the use of each target over all entries.
    pub fn target_uses(&self, now: MonoTime) -> FastMap<(ServiceId, TargetId), TargetUse> {
        let mut uses: FastMap<(ServiceId, TargetId), TargetUse> = FastMap::default();
        for (key, rate) in &self.rates {
            let current = TargetUse { rate: rate.at(now), last: rate.last, ..TargetUse::default() };
            uses.insert(key.clone(), current);
        }
        for demand in self.heard(now).flat_map(|entry| &entry.digest.demands) {
            let key = (demand.service.clone(), demand.target.clone());
            let sum = uses.entry(key).or_default();
            if demand.waiting > 0 {
                sum.slack =
                    if sum.waiting == 0 { demand.slack } else { sum.slack.min(demand.slack) };
            }
            sum.waiting += demand.waiting;
            for (upstream, count) in &demand.running {
                *sum.running.entry(upstream.clone()).or_default() += count;
            }
        }
        uses
    }

    fn is_work_due(&self, entry: &HeardEntry, now: MonoTime) -> bool {
        now.since(entry.told_work) >= work_spacing(self.entries.len())
    }

    fn work_of_others(&self, vm: &VmId, now: MonoTime) -> Vec<(UpstreamId, UpstreamWork)> {
        let others = self.heard(now).filter(|other| other.digest.vm != *vm);
        let mut work: FastMap<&UpstreamId, UpstreamWork> = FastMap::default();
        for (upstream, part) in others.flat_map(|other| &other.work) {
            let sum = work.entry(upstream).or_default();
            sum.running += part.running;
            sum.pending_prefill_tokens =
                sum.pending_prefill_tokens.saturating_add(part.pending_prefill_tokens);
        }
        work.into_iter().map(|(upstream, work)| (upstream.clone(), work)).collect()
    }

    fn heard(&self, now: MonoTime) -> impl Iterator<Item = &HeardEntry> {
        let limit = heard_limit(self.entries.len());
        self.entries.values().filter(move |entry| now.since(entry.heard) < limit)
    }
}

impl ArrivalRate {
    fn record(&mut self, count: u64, now: MonoTime) {
        self.rate = self.at(now) + count as f64 / RATE_TIME.as_secs_f64();
        self.updated = now;
        if count > 0 {
            self.last = now;
        }
    }

    fn at(&self, now: MonoTime) -> f64 {
        let spans = now.since(self.updated).as_secs_f64() / RATE_TIME.as_secs_f64();
        self.rate * (-spans).exp()
    }
}

/// Keeps a listing as it was if only what differs at every heartbeat has changed: the time for which
/// an upstream stays cold, and the revision.
fn settle_listing(known: &UpstreamListing, listing: UpstreamListing) -> UpstreamListing {
    let is_cold = |listing: &UpstreamListing| listing.cold_remaining > TimeSpan::ZERO;
    let is_same_start =
        known.incarnation == listing.incarnation && is_cold(known) == is_cold(&listing);
    let cold = if is_same_start { known.cold_remaining } else { listing.cold_remaining };
    let listing = UpstreamListing { cold_remaining: cold, ..listing };
    let is_same = UpstreamListing { revision: known.revision, ..listing.clone() } == *known;
    if is_same { known.clone() } else { listing }
}

fn find_spent(digest: &EntryReport, organisation: &OrganisationId) -> u64 {
    let mut spent = digest.spent.iter();
    spent.find(|(id, _)| id == organisation).map_or(0, |(_, total)| *total)
}

fn find_arrived(digest: &EntryReport, demand: &ServingDemand) -> u64 {
    let mut demands = digest.demands.iter();
    let is_same =
        |other: &&ServingDemand| other.target == demand.target && other.service == demand.service;
    demands.find(is_same).map_or(0, |other| other.arrived)
}
