//! Demand for each target over all entries.

use gentian_core::peer::{PlacementRequest, TargetId};
use gentian_core::{FastMap, InstanceId, MonoTime, TimeSpan};

/// Time after which the word of a silent entry no longer counts.
const DEMAND_LIFE: TimeSpan = TimeSpan::from_millis(2_000);

/// What one entry said of one target.
#[derive(Clone, Copy, Debug)]
struct EntryDemand {
    waiting: u32,
    running: u32,
    deadline: MonoTime,
    heard: MonoTime,
}

/// Demand of one target over all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that wait for a replica.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Nearest deadline of a waiting request.
    pub deadline: MonoTime,
}

/// Newest demand of each entry, and when each target was last in use.
#[derive(Debug, Default)]
pub struct DemandTracker {
    demands: FastMap<TargetId, FastMap<InstanceId, EntryDemand>>,
    used: FastMap<TargetId, MonoTime>,
}

impl DemandTracker {
    /// Creates an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the demand of an entry in; it replaces what the entry said before.
    pub fn handle_request(&mut self, ask: &PlacementRequest, now: MonoTime) {
        for entries in self.demands.values_mut() {
            entries.remove(&ask.entry);
        }
        for demand in &ask.demands {
            let word = EntryDemand {
                waiting: demand.waiting,
                running: demand.running,
                deadline: now + demand.slack,
                heard: now,
            };
            self.demands.entry(demand.target.clone()).or_default().insert(ask.entry, word);
            self.used.insert(demand.target.clone(), now);
            self.used.insert(demand.target.base(), now);
        }
        self.demands.retain(|_, entries| !entries.is_empty());
    }

    /// Returns the targets that requests wait for, nearest deadline first.
    pub fn waiting(&self, now: MonoTime) -> Vec<(TargetId, TargetLoad)> {
        let loads = self.demands.keys().map(|target| (target.clone(), self.load(target, now)));
        let mut waiting: Vec<_> = loads.filter(|(_, load)| load.waiting > 0).collect();
        waiting.sort_by(|a, b| (a.1.deadline, &a.0).cmp(&(b.1.deadline, &b.0)));
        waiting
    }

    /// Returns the demand of `target` over all entries.
    pub fn load(&self, target: &TargetId, now: MonoTime) -> TargetLoad {
        let words = self.demands.get(target).into_iter().flat_map(FastMap::values);
        let live = words.filter(|word| now.since(word.heard) < DEMAND_LIFE);
        live.fold(TargetLoad::default(), |sum, word| TargetLoad {
            waiting: sum.waiting + word.waiting,
            running: sum.running + word.running,
            deadline: match sum.waiting {
                0 => word.deadline,
                _ if word.waiting == 0 => sum.deadline,
                _ => sum.deadline.min(word.deadline),
            },
        })
    }

    /// Returns the time since `target` was last in use; a target never seen in use counts from
    /// `since`.
    pub fn idle_time(&self, target: &TargetId, since: MonoTime, now: MonoTime) -> TimeSpan {
        now.since(self.used.get(target).copied().unwrap_or(since))
    }
}
