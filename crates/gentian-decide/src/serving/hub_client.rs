//! The exchange of an entry with the hub.

use gentian_core::peer::{EntryReport, FleetSummary};
use gentian_core::{FastMap, InstanceId, MonoTime, OrganisationId, SequenceNumber, TimeSpan, VmId};

use super::report_interval::{
    NEWS_SPACING, digest_spacing, hot_spacing, silent_limit, work_spacing,
};
use super::{CallScheduler, FleetPartition, UpstreamTable};

/// Part of the time in which leaving upstreams still get requests for which an entry goes by the hub's
/// registrations. In the rest it reads them itself and connects to an upstream.
const LISTING_PART: f64 = 0.6;

/// What an entry knows of the hub.
#[derive(Debug)]
pub struct HubClient {
    vm: VmId,
    instance: InstanceId,
    entries: usize,
    sequence: SequenceNumber,
    sent: MonoTime,
    told_work: MonoTime,
    heard: Option<MonoTime>,
    /// When the hub had read the registrations that it last told of.
    listed: MonoTime,
    hub: InstanceId,
    answered: SequenceNumber,
    revision: SequenceNumber,
    spent: FastMap<OrganisationId, u64>,
}

impl HubClient {
    /// Creates the link of an entry that has not heard of a hub.
    pub fn new(vm: VmId, instance: InstanceId) -> Self {
        Self {
            vm,
            instance,
            entries: 1,
            sequence: SequenceNumber::default(),
            sent: MonoTime::ORIGIN,
            told_work: MonoTime::ORIGIN,
            heard: None,
            listed: MonoTime::ORIGIN,
            hub: InstanceId::default(),
            answered: SequenceNumber::default(),
            revision: SequenceNumber::default(),
            spent: FastMap::default(),
        }
    }

    /// Takes the number of entries over, which sets the pace.
    pub fn update_entry_count(&mut self, entries: usize) {
        self.entries = entries;
    }

    /// Returns when the next digest is due.
    pub fn due(&self, desk: &CallScheduler) -> MonoTime {
        let spacing = if desk.has_unreported_wait() {
            NEWS_SPACING
        } else if desk.is_near_limit() {
            hot_spacing(self.entries)
        } else {
            digest_spacing(self.entries, desk.running_count() > 0)
        };
        self.sent + spacing
    }

    /// Makes a digest if one is due.
    pub fn next_report(&mut self, desk: &mut CallScheduler, now: MonoTime) -> Option<EntryReport> {
        if now < self.due(desk) {
            return None;
        }
        self.sent = now;
        self.sequence = self.sequence.next();
        let is_work_due = now.since(self.told_work) >= work_spacing(self.entries);
        if is_work_due {
            self.told_work = now;
        }
        Some(EntryReport {
            vm: self.vm.clone(),
            instance: self.instance,
            sequence: self.sequence,
            known_revision: (self.hub, self.revision),
            spent: desk.spent(),
            work: is_work_due.then(|| desk.work()),
            demands: desk.drain_demands(now),
        })
    }

    /// Takes a tally in; returns whether it was news.
    pub fn handle_summary(
        &mut self,
        tally: FleetSummary,
        all: u32,
        desk: &mut CallScheduler,
        table: &mut UpstreamTable,
        now: MonoTime,
    ) -> bool {
        let is_same_hub = tally.hub == self.hub;
        // The hub answers one digest again when something has changed since.
        let is_old = tally.sequence < self.answered || tally.revision < self.revision;
        if is_same_hub && is_old {
            return false;
        }
        if !is_same_hub {
            self.hub = tally.hub;
            self.revision = SequenceNumber::default();
            self.spent.clear();
        }
        self.answered = tally.sequence;
        self.heard = Some(now);
        self.listed = now - tally.listing_age;
        for (id, total) in &tally.spent {
            // The first count of a hub is only a base; one that it did not tell of before was zero.
            let known = self.spent.get(id).copied().or(is_same_hub.then_some(0));
            self.spent.insert(id.clone(), known.unwrap_or(0).max(*total));
            match known {
                Some(known) => desk.record_remote_use(id, total.saturating_sub(known), now),
                None => desk.assume_remote_use(id, now),
            }
        }
        desk.update_partition(
            FleetPartition {
                reachable: tally.reachable_entries,
                total: all.max(tally.reachable_entries),
            },
            now,
        );
        if let Some(work) = &tally.work {
            table.update_remote_work(work, now);
        }
        table.update_listings(tally.listings, now);
        table.update_resident_models(tally.hub, tally.resident_models);
        self.revision = tally.revision;
        true
    }

    /// Falls back to this entry's part when the hub is silent; returns whether that is new.
    pub fn check_timeout(
        &mut self,
        all: u32,
        desk: &mut CallScheduler,
        table: &mut UpstreamTable,
        now: MonoTime,
    ) -> bool {
        let limit = silent_limit(self.entries);
        let is_silent = self.heard.is_some_and(|heard| now.since(heard) > limit);
        if is_silent {
            self.heard = None;
            self.hub = InstanceId::default();
            self.revision = SequenceNumber::default();
            self.spent.clear();
            desk.update_partition(FleetPartition::isolated(all), now);
            table.update_remote_work(&[], now);
            table.clear_resident_models();
        }
        is_silent
    }

    /// Tells whether a hub answers.
    pub fn is_connected(&self) -> bool {
        self.heard.is_some()
    }

    /// Returns until when the hub's registrations are fresh enough to go by where leaving upstreams get
    /// no requests after `drain_time`.
    pub fn listings_fresh_until(&self, drain_time: TimeSpan) -> MonoTime {
        match self.is_connected() {
            true => self.listed + drain_time * LISTING_PART,
            false => MonoTime::ORIGIN,
        }
    }
}
