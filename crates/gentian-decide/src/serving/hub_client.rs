//! An entry's side of the exchange with the hub.

use gentian_core::peer::{EntryReport, FleetSummary};
use gentian_core::{
    FastMap, FenceNumber, InstanceId, MonoTime, OrganisationId, SequenceNumber, TimeSpan, VmId,
};

use super::report_interval::{
    UNREPORTED_WAIT_INTERVAL, hub_timeout, near_limit_interval, report_interval, work_interval,
};
use super::{CallScheduler, FleetPartition, UpstreamTable};

/// Fraction of the drain time for which an entry relies on the listings from the hub. The rest is
/// left for the entry to read the registrations itself and to connect to an upstream.
const LISTING_FRACTION: f64 = 0.6;

/// State of the exchange with the hub.
#[derive(Debug)]
pub struct HubClient {
    vm: VmId,
    instance: InstanceId,
    entry_count: usize,
    sequence: SequenceNumber,
    last_report: MonoTime,
    work_sent: MonoTime,
    last_summary: Option<MonoTime>,
    /// When the hub read the listings that it last reported.
    listings_time: MonoTime,
    /// When the first summary of this hub arrived that had listings. What changed before is seen
    /// only in a list that this entry reads itself after that time.
    first_listings: Option<MonoTime>,
    has_own_list: bool,
    hub: InstanceId,
    /// Fencing number of the newest hub that this entry knows.
    fence: FenceNumber,
    last_summary_sequence: SequenceNumber,
    revision: SequenceNumber,
    remote_spent: FastMap<OrganisationId, u64>,
}

impl HubClient {
    /// Creates the client of an entry that does not know a hub yet.
    pub fn new(vm: VmId, instance: InstanceId) -> Self {
        Self {
            vm,
            instance,
            entry_count: 1,
            sequence: SequenceNumber::default(),
            last_report: MonoTime::ORIGIN,
            work_sent: MonoTime::ORIGIN,
            last_summary: None,
            listings_time: MonoTime::ORIGIN,
            first_listings: None,
            has_own_list: false,
            hub: InstanceId::default(),
            fence: FenceNumber::default(),
            last_summary_sequence: SequenceNumber::default(),
            revision: SequenceNumber::default(),
            remote_spent: FastMap::default(),
        }
    }

    /// Sets the number of entries, which determines the report interval.
    pub fn update_entry_count(&mut self, entry_count: usize) {
        self.entry_count = entry_count;
    }

    /// Returns when the next report is due.
    pub fn due(&self, scheduler: &CallScheduler) -> MonoTime {
        let interval = if scheduler.has_unreported_wait() {
            UNREPORTED_WAIT_INTERVAL
        } else if scheduler.has_urgent_use() {
            near_limit_interval(self.entry_count)
        } else {
            report_interval(self.entry_count, scheduler.running_count() > 0)
        };
        self.last_report + interval
    }

    /// Builds a report if one is due.
    pub fn next_report(
        &mut self,
        scheduler: &mut CallScheduler,
        now: MonoTime,
    ) -> Option<EntryReport> {
        if now < self.due(scheduler) {
            return None;
        }
        self.last_report = now;
        self.sequence = self.sequence.next();
        let is_work_due = now.since(self.work_sent) >= work_interval(self.entry_count);
        if is_work_due {
            self.work_sent = now;
        }
        Some(EntryReport {
            vm: self.vm.clone(),
            instance: self.instance,
            sequence: self.sequence,
            known_revision: (self.hub, self.revision),
            spent: scheduler.spent(),
            work: is_work_due.then(|| scheduler.work()),
            demands: scheduler.report_demands(now),
        })
    }

    /// Records the fencing number of a hub; summaries of earlier hubs are out of date from then on.
    pub fn record_hub(&mut self, fence: FenceNumber) {
        self.fence = self.fence.max(fence);
    }

    /// Applies a summary; `false` if it is out of date.
    pub fn handle_summary(
        &mut self,
        summary: FleetSummary,
        fleet_size: u32,
        scheduler: &mut CallScheduler,
        table: &mut UpstreamTable,
        now: MonoTime,
    ) -> bool {
        let is_same_hub = summary.hub == self.hub;
        // An equal sequence number is not old: after a change, the hub sends a second summary for
        // the same report.
        let is_old =
            summary.sequence < self.last_summary_sequence || summary.revision < self.revision;
        if summary.fence < self.fence || (is_same_hub && is_old) {
            return false;
        }
        self.fence = summary.fence;
        if !is_same_hub {
            self.hub = summary.hub;
            self.revision = SequenceNumber::default();
            self.remote_spent.clear();
            self.first_listings = None;
            self.has_own_list = false;
        }
        self.last_summary_sequence = summary.sequence;
        self.last_summary = Some(now);
        self.listings_time = now - summary.listing_age;
        if self.listings_time > MonoTime::ORIGIN {
            self.first_listings.get_or_insert(now);
        }
        for (id, total) in &summary.spent {
            // The first total of a new hub is only a baseline. An organisation that this hub did
            // not list before had a total of zero.
            let known = self.remote_spent.get(id).copied().or(is_same_hub.then_some(0));
            self.remote_spent.insert(id.clone(), known.unwrap_or(0).max(*total));
            match known {
                Some(known) => scheduler.record_remote_use(id, total.saturating_sub(known), now),
                None => scheduler.assume_remote_use(id, now),
            }
        }
        scheduler.update_partition(
            FleetPartition {
                reachable: summary.reachable_entries,
                total: fleet_size.max(summary.reachable_entries),
            },
            now,
        );
        if let Some(work) = &summary.work {
            table.update_remote_work(work, now);
        }
        table.update_listings(summary.listings, now);
        table.update_resident_models(summary.hub, summary.resident_models);
        self.revision = summary.revision;
        true
    }

    /// Isolates this entry once the hub has timed out; returns whether the hub has just timed out.
    pub fn check_timeout(
        &mut self,
        fleet_size: u32,
        scheduler: &mut CallScheduler,
        table: &mut UpstreamTable,
        now: MonoTime,
    ) -> bool {
        let limit = hub_timeout(self.entry_count);
        let has_timed_out =
            self.last_summary.is_some_and(|last_summary| now.since(last_summary) > limit);
        if has_timed_out {
            self.last_summary = None;
            self.hub = InstanceId::default();
            self.revision = SequenceNumber::default();
            self.remote_spent.clear();
            scheduler.update_partition(FleetPartition::isolated(fleet_size), now);
            table.update_remote_work(&[], now);
            table.clear_resident_models();
        }
        has_timed_out
    }

    /// Returns whether a hub replies to the reports.
    pub fn is_connected(&self) -> bool {
        self.last_summary.is_some()
    }

    /// Records that this entry has read the registrations itself, by a fresh read that was sent at
    /// `sent`.
    pub fn record_own_list(&mut self, sent: MonoTime) {
        self.has_own_list |= self.first_listings.is_some_and(|time| sent >= time);
    }

    /// Returns until when the listings from the hub are recent enough to use, given that
    /// draining upstreams must get no requests after `drain_time`. A new hub reports no upstream
    /// that was removed before its first list, so this entry needs a list of its own first.
    pub fn listings_fresh_until(&self, drain_time: TimeSpan) -> MonoTime {
        match self.is_connected() && self.has_own_list {
            true => self.listings_time + drain_time * LISTING_FRACTION,
            false => MonoTime::ORIGIN,
        }
    }
}
