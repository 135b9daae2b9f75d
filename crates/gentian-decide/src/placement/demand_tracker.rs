//! Demand for each target, summed over all entries.

use gentian_core::peer::{PlacementRequest, TargetId};
use gentian_core::{FastMap, InstanceId, MonoTime, TimeSpan};

/// Time for which the demand that an entry reported counts.
const DEMAND_TTL: TimeSpan = TimeSpan::from_millis(2_000);

/// Demand for one target that one entry reported.
#[derive(Clone, Copy, Debug)]
struct EntryDemand {
    waiting: u32,
    running: u32,
    deadline: MonoTime,
    reported_at: MonoTime,
}

/// Demand for one target, summed over all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TotalDemand {
    /// Requests that wait for a replica.
    pub waiting: u32,
    /// Requests that run on a replica.
    pub running: u32,
    /// Earliest deadline of a waiting request.
    pub deadline: MonoTime,
}

/// Tracks the last reported demand of each entry, and when each target was last in use.
#[derive(Debug, Default)]
pub struct DemandTracker {
    demands: FastMap<TargetId, FastMap<InstanceId, EntryDemand>>,
    last_used: FastMap<TargetId, MonoTime>,
}

impl DemandTracker {
    /// Creates a tracker without demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the demand that an entry reported before.
    pub fn update_demand(&mut self, request: &PlacementRequest, now: MonoTime) {
        for entries in self.demands.values_mut() {
            entries.remove(&request.entry);
        }
        for demand in &request.demands {
            let entry_demand = EntryDemand {
                waiting: demand.waiting,
                running: demand.running,
                deadline: now + demand.slack,
                reported_at: now,
            };
            self.demands
                .entry(demand.target.clone())
                .or_default()
                .insert(request.entry, entry_demand);
            self.last_used.insert(demand.target.clone(), now);
            self.last_used.insert(demand.target.base(), now);
        }
        self.demands.retain(|_, entries| !entries.is_empty());
    }

    /// Returns the targets that requests wait for, in order of their earliest deadline.
    pub fn waiting(&self, now: MonoTime) -> Vec<(TargetId, TotalDemand)> {
        let total_demands =
            self.demands.keys().map(|target| (target.clone(), self.demand(target, now)));
        let mut waiting: Vec<_> = total_demands.filter(|(_, demand)| demand.waiting > 0).collect();
        waiting.sort_by(|a, b| (a.1.deadline, &a.0).cmp(&(b.1.deadline, &b.0)));
        waiting
    }

    /// Returns the demand for `target`, summed over all entries.
    pub fn demand(&self, target: &TargetId, now: MonoTime) -> TotalDemand {
        let entry_demands = self.demands.get(target).into_iter().flat_map(FastMap::values);
        let live =
            entry_demands.filter(|entry_demand| now.since(entry_demand.reported_at) < DEMAND_TTL);
        live.fold(TotalDemand::default(), |sum, entry_demand| TotalDemand {
            waiting: sum.waiting + entry_demand.waiting,
            running: sum.running + entry_demand.running,
            deadline: match sum.waiting {
                0 => entry_demand.deadline,
                _ if entry_demand.waiting == 0 => sum.deadline,
                _ => sum.deadline.min(entry_demand.deadline),
            },
        })
    }

    /// Returns the time since an entry last reported demand for `target` or, for a model, for one
    /// of its adapters. Without any report, it counts from `since`.
    pub fn idle_time(&self, target: &TargetId, since: MonoTime, now: MonoTime) -> TimeSpan {
        now.since(self.last_used.get(target).copied().unwrap_or(since))
    }
}
