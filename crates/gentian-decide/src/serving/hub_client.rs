//! An entry's side of the exchange with the hub.

use gentian_core::peer::{
    EntryReport, FleetSummary, FleetUse, ListRead, ListingNotice, UseHistory, UseNotice, UseReport,
};
use gentian_core::{
    FastMap, FenceNumber, InstanceId, MonoTime, OrganisationId, SequenceNumber, StoreRevision,
    TimeSpan, VmId,
};

use super::report_interval::{
    UNREPORTED_WAIT_INTERVAL, entry_timeout, hub_timeout, is_report_interval_longest,
    near_limit_interval, report_interval, scale_interval, work_interval,
};
use super::row_page::MAX_RESIDENT_ROWS;
use super::{CallScheduler, FleetPartition, UpstreamTable};
use crate::selection::hash_of;

/// Fraction of the drain time for which an entry relies on the listings from the hub. The rest is
/// left for the entry to read the registrations itself and to connect to an upstream.
const LISTING_FRACTION: f64 = 0.6;

/// Interval at which an entry asks a new hub for the use of the others until the hub knows it, for up
/// to 25 entries.
const HISTORY_INTERVAL: TimeSpan = TimeSpan::from_millis(150);

/// Time after which a report without a reply is sent again: a lost datagram must not make the entry and
/// the hub take each other for lost.
const REPEAT_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Reports without a reply in a row after which the next ones are not sent sooner.
const MAX_REPEATS: u32 = 3;
/// Time after which the next report is sent if the hub has further rows for this entry, for up to 25 entries.
const NEXT_PAGE_INTERVAL: TimeSpan = TimeSpan::from_millis(20);
/// Time per entry over which the first reports to a new hub are spread, so that none is lost in the
/// queue of its socket.
const FIRST_REPORT_SPREAD: TimeSpan = TimeSpan::from_micros(500);

/// State of the exchange with the hub.
#[derive(Debug)]
pub struct HubClient {
    vm: VmId,
    instance: InstanceId,
    entry_count: usize,
    sequence: SequenceNumber,
    last_report: MonoTime,
    /// When the first report to a new hub is due.
    first_report_due: Option<MonoTime>,
    /// Reports since the last reply.
    unanswered: u32,
    work_sent: MonoTime,
    last_summary: Option<MonoTime>,
    /// When the hub read the listings that it last reported.
    listings_time: MonoTime,
    /// When the first summary of this hub arrived that had listings. What changed before is seen
    /// only in a list that this entry reads itself after that time.
    first_listings: Option<MonoTime>,
    has_own_list: bool,
    /// Whether the last summary had rows but not the last ones.
    awaits_rows: bool,
    hub: InstanceId,
    /// Fencing number of the newest hub that this entry knows.
    fence: FenceNumber,
    last_summary_sequence: SequenceNumber,
    revision: SequenceNumber,
    remote_spent: FastMap<OrganisationId, u64>,
    /// When the first summary of this hub arrived, as long as the hub doesn't know the use of all
    /// entries.
    use_unknown_since: Option<MonoTime>,
    /// When the first summary of this hub arrived.
    hub_since: MonoTime,
    history_sent: MonoTime,
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
            first_report_due: None,
            unanswered: 0,
            work_sent: MonoTime::ORIGIN,
            last_summary: None,
            listings_time: MonoTime::ORIGIN,
            first_listings: None,
            has_own_list: false,
            awaits_rows: false,
            hub: InstanceId::default(),
            fence: FenceNumber::default(),
            last_summary_sequence: SequenceNumber::default(),
            revision: SequenceNumber::default(),
            remote_spent: FastMap::default(),
            use_unknown_since: None,
            hub_since: MonoTime::ORIGIN,
            history_sent: MonoTime::ORIGIN,
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
        let is_repeat = (1..=MAX_REPEATS).contains(&self.unanswered);
        let interval = if is_repeat { interval.min(REPEAT_INTERVAL) } else { interval };
        let next_page = scale_interval(NEXT_PAGE_INTERVAL, self.entry_count);
        let interval = if self.awaits_rows { interval.min(next_page) } else { interval };
        let due = self.last_report + interval;
        self.first_report_due.map_or(due, |first| first.min(due))
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
        self.awaits_rows = false;
        self.first_report_due = None;
        self.unanswered += 1;
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
            spent: scheduler.quotas.spent(),
            work: is_work_due.then(|| scheduler.work()),
            demands: scheduler.report_demands(now),
        })
    }

    /// Records the fencing number of a hub; summaries of earlier hubs are out of date from then on. A
    /// new hub knows nothing until it has a report of each entry, so this one reports soon.
    pub fn record_hub(&mut self, fence: FenceNumber, now: MonoTime) {
        if fence <= self.fence {
            return;
        }
        self.fence = fence;
        let spread = FIRST_REPORT_SPREAD * self.entry_count as u64;
        let delay = hash_of(&self.vm) % spread.as_micros().max(1);
        self.first_report_due = Some(now + TimeSpan::from_micros(delay));
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
            self.use_unknown_since = Some(now);
            self.hub_since = now;
            scheduler.quotas.record_new_hub();
            self.history_sent = MonoTime::ORIGIN;
        }
        self.last_summary_sequence = summary.sequence;
        self.last_summary = Some(now);
        self.unanswered = 0;
        self.listings_time = now - summary.listing_age;
        let has_rows = !summary.listings.is_empty() || !summary.resident_models.is_empty();
        self.awaits_rows = (has_rows && self.listings_time == MonoTime::ORIGIN)
            || summary.resident_models.len() >= MAX_RESIDENT_ROWS;
        if self.listings_time > MonoTime::ORIGIN {
            self.first_listings.get_or_insert(now);
        }
        self.record_spent(&summary.spent, is_same_hub, scheduler, now);
        let reachable = self.reachable_entries(summary.reachable_entries, scheduler, now);
        let partition = FleetPartition { reachable, total: fleet_size.max(reachable) };
        scheduler.quotas.update_partition(partition, now);
        if let Some(work) = &summary.work {
            table.update_remote_work(work, now);
        }
        table.update_listings(summary.listings, now);
        table.update_resident_models(summary.hub, summary.resident_models, now);
        self.revision = summary.revision;
        true
    }

    /// Returns how many entries reach the hub. One that is new has not heard of all of them yet; until
    /// it had the time for it, as many are assumed as reached its predecessor.
    fn reachable_entries(&self, reported: u32, scheduler: &CallScheduler, now: MonoTime) -> u32 {
        match now.since(self.hub_since) < entry_timeout(self.entry_count) {
            true => reported.max(scheduler.quotas.partition().reachable),
            false => reported,
        }
    }

    /// Records what the other entries have spent since a hub began to count.
    fn record_spent(
        &mut self,
        spent: &[(OrganisationId, u64)],
        is_same_hub: bool,
        scheduler: &mut CallScheduler,
        now: MonoTime,
    ) {
        for (id, total) in spent {
            // The first total of a new hub is only a baseline. An organisation that this hub did
            // not list before had a total of zero.
            let known = self.remote_spent.get(id).copied().or(is_same_hub.then_some(0));
            self.remote_spent.insert(id.clone(), known.unwrap_or(0).max(*total));
            let quotas = &mut scheduler.quotas;
            match known {
                Some(known) => quotas.record_remote_use(id, total.saturating_sub(known), now),
                None => quotas.assume_remote_use(id, now),
            }
        }
    }

    /// Applies a notice that the hub has read the registrations again; `false` if this entry lacks rows that the hub
    /// has, or the notice is of another hub.
    pub fn handle_listing_notice(&mut self, notice: &ListingNotice, now: MonoTime) -> bool {
        let is_current = notice.hub == self.hub
            && self.is_connected()
            && notice.revision <= self.revision
            && self.listings_time > MonoTime::ORIGIN;
        if is_current {
            self.listings_time = self.listings_time.max(now - notice.listing_age);
        }
        is_current
    }

    /// Builds the message that tells the hub between two reports what this entry has spent, if that
    /// is much.
    pub fn next_use_report(
        &self,
        scheduler: &mut CallScheduler,
        now: MonoTime,
    ) -> Option<UseReport> {
        if !self.is_connected() {
            return None;
        }
        let (spent, wants_notice) = scheduler.quotas.drain_unreported(now);
        let (vm, instance) = (self.vm.clone(), self.instance);
        (!spent.is_empty()).then_some(UseReport { vm, instance, spent, wants_notice })
    }

    /// Applies a notice of what the others have spent; `false` if it is of another hub.
    pub fn handle_use_notice(
        &mut self,
        notice: &UseNotice,
        scheduler: &mut CallScheduler,
        now: MonoTime,
    ) -> bool {
        let is_same_hub = notice.hub == self.hub && self.is_connected();
        if is_same_hub {
            self.record_spent(&notice.spent, true, scheduler, now);
        }
        is_same_hub
    }

    /// Builds the message that tells a new hub what this entry used, if it is due. The hub replies
    /// with the use of the others; this entry asks again until the hub knows that of every entry, for
    /// at most the window in which quotas are counted.
    pub fn next_history(
        &mut self,
        scheduler: &mut CallScheduler,
        now: MonoTime,
    ) -> Option<UseHistory> {
        let since = self.use_unknown_since?;
        if now.since(since) > scheduler.quotas.window() {
            self.use_unknown_since = None;
            return None;
        }
        let interval = scale_interval(HISTORY_INTERVAL, self.entry_count);
        if now.since(self.history_sent) < interval {
            return None;
        }
        self.history_sent = now;
        let (uses, earlier_uses) = scheduler.quotas.history(now);
        Some(UseHistory { vm: self.vm.clone(), instance: self.instance, uses, earlier_uses })
    }

    /// Applies the use of all other entries; `false` if it is of another hub.
    pub fn handle_fleet_use(
        &mut self,
        fleet_use: &FleetUse,
        fleet_size: u32,
        scheduler: &mut CallScheduler,
        now: MonoTime,
    ) -> bool {
        if fleet_use.hub != self.hub || fleet_use.fence < self.fence {
            return false;
        }
        if self.use_unknown_since.is_none() {
            return true;
        }
        let missing = fleet_size.saturating_sub(fleet_use.known_entries);
        let unknown_fraction = f64::from(missing) / f64::from(fleet_size.max(1));
        scheduler.quotas.apply_fleet_use(fleet_use, unknown_fraction, now);
        if missing == 0 {
            self.use_unknown_since = None;
        }
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
            self.use_unknown_since = None;
            scheduler.quotas.update_partition(FleetPartition::isolated(fleet_size), now);
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

    /// Returns the message that tells the hub of a large fleet as of which revision this entry has read the registrations.
    pub fn list_read(&self, revision: StoreRevision) -> Option<ListRead> {
        let (vm, instance) = (self.vm.clone(), self.instance);
        is_report_interval_longest(self.entry_count).then_some(ListRead { vm, instance, revision })
    }

    /// Returns as of when the table of upstreams is complete by the listings from the hub; `None` if it
    /// may not be.
    pub fn listings_time(&self) -> Option<MonoTime> {
        (self.is_connected() && self.has_own_list).then_some(self.listings_time)
    }

    /// Returns until when the listings from the hub are recent enough to use, given that
    /// draining upstreams must get no requests after `drain_time`. A new hub reports no upstream
    /// that was removed before its first list, so this entry needs a list of its own first.
    pub fn listings_fresh_until(&self, drain_time: TimeSpan) -> MonoTime {
        self.listings_time().map_or(MonoTime::ORIGIN, |time| time + drain_time * LISTING_FRACTION)
    }
}
