//! Totals of arrivals that one entry has reported to the hub. Load pattern: in a large fleet, a target
//! is missing from most reports of an entry and returns with its total.

use gentian_core::peer::{ServingDemand, TargetId};
use gentian_core::{FastMap, MonoTime, ServiceId, TimeSpan};

/// Time for which a total is kept after the last report that included it: longer than entries keep
/// counting for a target without requests, which is 10 s.
const TOTAL_RETENTION: TimeSpan = TimeSpan::from_secs(12);

/// Last reported total of each target, and when it was reported.
#[derive(Clone, Debug)]
pub(super) struct ArrivalTotals {
    /// Time of the first report, which gives the baseline.
    since: MonoTime,
    /// Bounded by the targets that one entry requests within the retention time.
    totals: FastMap<(ServiceId, TargetId), (u64, MonoTime)>,
}

impl ArrivalTotals {
    /// Creates the totals of an entry whose first report arrives now.
    pub(super) fn new(now: MonoTime) -> Self {
        Self { since: now, totals: FastMap::default() }
    }

    /// Records the total of a report, and returns the arrivals since the last one. An entry starts a
    /// target again at zero once it has had no requests for a while.
    pub(super) fn record(&mut self, demand: &ServingDemand, now: MonoTime) -> u64 {
        let key = (demand.service.clone(), demand.target.clone());
        match self.totals.insert(key, (demand.arrived, now)) {
            Some((last, _)) if last <= demand.arrived => demand.arrived - last,
            Some(_) => demand.arrived,
            None if now == self.since => 0,
            // The entry may have counted most of the total before its first report to this hub.
            None if now.since(self.since) < TOTAL_RETENTION => demand.arrived.min(1),
            None => demand.arrived,
        }
    }

    /// Forgets totals of long ago.
    pub(super) fn prune(&mut self, now: MonoTime) {
        self.totals.retain(|_, (_, time)| now.since(*time) < TOTAL_RETENTION);
    }
}
