//! The hub: counts what all entries use, and knows what they ask for.

use gentian_core::peer::{
    EntryDigest, FleetTally, HoldingRow, ServingDemand, TargetId, UpstreamWork,
};
use gentian_core::{
    FastMap, FenceNumber, InstanceId, MonoTime, OrganisationId, SequenceNumber, ServiceId,
    TimeSpan, UpstreamId, VmId,
};

/// Time after its last digest for which an entry counts as heard; shorter than the time after which
/// an entry itself gives up on the hub.
const HEARD_LIMIT: TimeSpan = TimeSpan::from_millis(700);
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

#[derive(Debug)]
struct HeardEntry {
    digest: EntryDigest,
    heard: MonoTime,
    spent: FastMap<OrganisationId, u64>,
}

#[derive(Debug, Default)]
struct ArrivalRate {
    rate: f64,
    updated: MonoTime,
    last: MonoTime,
}

#[derive(Debug)]
struct RevisedRow {
    revision: SequenceNumber,
    row: HoldingRow,
}

/// Counts for all entries.
#[derive(Debug)]
pub struct FleetHub {
    instance: InstanceId,
    entries: FastMap<VmId, HeardEntry>,
    spent: FastMap<OrganisationId, u64>,
    rates: FastMap<(ServiceId, TargetId), ArrivalRate>,
    rows: FastMap<UpstreamId, RevisedRow>,
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
            rows: FastMap::default(),
            revision: SequenceNumber::new(1),
        }
    }

    /// Takes a digest in; `false` if it is older than a known one.
    pub fn take_digest(&mut self, digest: EntryDigest, now: MonoTime) -> bool {
        let known = self.entries.get(&digest.vm);
        let same = known.filter(|entry| entry.digest.instance == digest.instance);
        if same.is_some_and(|entry| entry.digest.sequence >= digest.sequence) {
            return false;
        }
        // Without a digest shortly before, a total is only a base: what was spent meanwhile is
        // covered by the part of the rate that the entry kept to alone.
        let earlier = same.filter(|entry| now.since(entry.heard) < HEARD_LIMIT);
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
            self.rates.entry(key).or_default().note(count, now);
        }
        self.entries.insert(digest.vm.clone(), HeardEntry { digest, heard: now, spent: own });
        true
    }

    /// Answers the last digest of the entry on `vm`.
    pub fn make_tally(&self, vm: &VmId, fence: FenceNumber, now: MonoTime) -> Option<FleetTally> {
        let entry = self.entries.get(vm)?;
        let spent = self.spent.iter().map(|(organisation, total)| {
            let own = entry.spent.get(organisation).copied().unwrap_or(0);
            (organisation.clone(), total.saturating_sub(own))
        });
        let others = self.heard(now).filter(|other| other.digest.vm != *vm);
        let mut work: FastMap<UpstreamId, UpstreamWork> = FastMap::default();
        for (upstream, part) in others.flat_map(|other| &other.digest.work) {
            let sum = work.entry(upstream.clone()).or_default();
            sum.running += part.running;
            sum.unread_tokens = sum.unread_tokens.saturating_add(part.unread_tokens);
        }
        let (hub, known) = entry.digest.known;
        let known = if hub == self.instance { known } else { SequenceNumber::default() };
        let changed = self.rows.values().filter(|revised| revised.revision > known);
        Some(FleetTally {
            hub: self.instance,
            fence,
            sequence: entry.digest.sequence,
            heard: u32::try_from(self.heard(now).count()).unwrap_or(u32::MAX),
            spent: spent.collect(),
            work: work.into_iter().collect(),
            revision: self.revision,
            rows: changed.map(|revised| revised.row.clone()).collect(),
        })
    }

    /// Takes over what upstreams hold; only rows that differ are sent again. Returns whether any does.
    pub fn take_rows(&mut self, rows: impl IntoIterator<Item = HoldingRow>) -> bool {
        let before = self.revision;
        for row in rows {
            if self.rows.get(&row.upstream).is_some_and(|revised| revised.row == row) {
                continue;
            }
            self.revision = self.revision.next();
            let revised = RevisedRow { revision: self.revision, row };
            self.rows.insert(revised.row.upstream.clone(), revised);
        }
        self.revision > before
    }

    /// Forgets the rows of upstreams that are not `listed`.
    pub fn retain_rows(&mut self, listed: impl Fn(&UpstreamId) -> bool) {
        self.rows.retain(|id, _| listed(id));
    }

    /// Returns the VMs whose requests wait for an upstream.
    pub fn waiting_vms(&self, now: MonoTime) -> Vec<VmId> {
        let waits = |entry: &&HeardEntry| entry.digest.demands.iter().any(|it| it.waiting > 0);
        self.heard(now).filter(waits).map(|entry| entry.digest.vm.clone()).collect()
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

    fn heard(&self, now: MonoTime) -> impl Iterator<Item = &HeardEntry> {
        self.entries.values().filter(move |entry| now.since(entry.heard) < HEARD_LIMIT)
    }
}

impl ArrivalRate {
    fn note(&mut self, count: u64, now: MonoTime) {
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

fn find_spent(digest: &EntryDigest, organisation: &OrganisationId) -> u64 {
    let mut spent = digest.spent.iter();
    spent.find(|(id, _)| id == organisation).map_or(0, |(_, total)| *total)
}

fn find_arrived(digest: &EntryDigest, demand: &ServingDemand) -> u64 {
    let mut demands = digest.demands.iter();
    let is_same =
        |other: &&ServingDemand| other.target == demand.target && other.service == demand.service;
    demands.find(is_same).map_or(0, |other| other.arrived)
}
