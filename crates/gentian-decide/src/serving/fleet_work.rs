//! Which upstreams' work the hub sends to each entry.
//!
//! Load pattern: hundreds of entries before thousands of upstreams. If each entry got the work at all upstreams, the
//! hub's link would carry entries times upstreams, and all that it sends would be late.

use gentian_core::peer::{ResidentModels, ServingDemand, UpstreamListing, UpstreamWork};
use gentian_core::{FastMap, FastSet, ModelId, MonoTime, TimeSpan, UpstreamId};

use super::RevisedMap;

/// Fleets with at most this many upstreams send the work at all of them: the list is short.
const MAX_FULL_UPSTREAMS: usize = 256;
/// Most upstreams with an engine, and without one, whose work one summary of a larger fleet has.
const MAX_ENGINE_ROWS: usize = 48;
const MAX_PLAIN_ROWS: usize = 16;
/// Time for which a model counts as requested at an entry after the entry last reported a demand for it.
const DEMAND_RETENTION: TimeSpan = TimeSpan::from_secs(10);
/// Time for which sums over all entries are used again.
const SUM_LIFETIME: TimeSpan = TimeSpan::from_millis(100);
/// Prompt tokens whose prefill takes as long as a running request delays another one.
const TOKENS_PER_RUNNING: u64 = 60;

/// Models that are requested at an entry; at most as many as are configured.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestedModels {
    models: FastMap<ModelId, MonoTime>,
}

impl RequestedModels {
    /// Records the demands of a report.
    pub(super) fn record_demands(&mut self, demands: &[ServingDemand], now: MonoTime) {
        self.models.retain(|_, last| now.since(*last) < DEMAND_RETENTION);
        for demand in demands {
            self.models.insert(demand.target.model.clone(), now);
        }
    }
}

/// Work of all entries at the upstreams of a large fleet, and where the models are loaded.
#[derive(Debug, Default)]
pub(super) struct FleetWork {
    summed: Option<MonoTime>,
    /// At most one for each upstream.
    sums: FastMap<UpstreamId, UpstreamWork>,
    /// At most one for each model that an upstream has loaded.
    engines_by_model: FastMap<ModelId, Vec<UpstreamId>>,
    plain_upstreams: Vec<UpstreamId>,
}

impl FleetWork {
    /// Returns whether entries get only the work that matters to them.
    pub(super) fn is_selective(upstreams: usize) -> bool {
        upstreams > MAX_FULL_UPSTREAMS
    }

    /// Returns whether the sums are out of date.
    pub(super) fn is_outdated(&self, now: MonoTime) -> bool {
        self.summed.is_none_or(|time| now.since(time) >= SUM_LIFETIME)
    }

    /// Sums the work of all entries.
    pub(super) fn update<'a>(
        &mut self,
        work: impl Iterator<Item = &'a (UpstreamId, UpstreamWork)>,
        listings: &RevisedMap<UpstreamId, UpstreamListing>,
        resident_models: &RevisedMap<UpstreamId, ResidentModels>,
        now: MonoTime,
    ) {
        self.summed = Some(now);
        self.sums.clear();
        for (upstream, added) in work {
            let sum = self.sums.entry(upstream.clone()).or_default();
            sum.running = sum.running.saturating_add(added.running);
            sum.pending_prefill_tokens =
                sum.pending_prefill_tokens.saturating_add(added.pending_prefill_tokens);
        }
        self.engines_by_model.clear();
        for row in resident_models.values() {
            let models: FastSet<&ModelId> = row.loaded.iter().map(|target| &target.model).collect();
            for model in models {
                let engines = self.engines_by_model.entry(model.clone()).or_default();
                engines.push(row.upstream.clone());
            }
        }
        let plain = listings.values().filter(|listing| !listing.has_engine);
        self.plain_upstreams = plain.map(|listing| listing.upstream.clone()).collect();
    }

    /// Returns the work of the others than the entry with `own` work at the busiest of the upstreams that the entry
    /// may select: those without an engine, and those with a model that is requested there. An upstream that is
    /// left out has less work than those that are not, so that the entry prefers it.
    pub(super) fn select(
        &self,
        own: &[(UpstreamId, UpstreamWork)],
        requested: &RequestedModels,
    ) -> Vec<(UpstreamId, UpstreamWork)> {
        let own: FastMap<&UpstreamId, &UpstreamWork> =
            own.iter().map(|(id, it)| (id, it)).collect();
        let models = requested.models.keys();
        let engines: FastSet<&UpstreamId> =
            models.filter_map(|model| self.engines_by_model.get(model)).flatten().collect();
        let mut rows = self.busiest(engines.into_iter(), &own, MAX_ENGINE_ROWS);
        rows.extend(self.busiest(self.plain_upstreams.iter(), &own, MAX_PLAIN_ROWS));
        rows
    }

    fn busiest<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a UpstreamId>,
        own: &FastMap<&UpstreamId, &UpstreamWork>,
        count: usize,
    ) -> Vec<(UpstreamId, UpstreamWork)> {
        let work = upstreams.filter_map(|id| Some((id, subtract(self.sums.get(id)?, own.get(id)))));
        let mut rows: Vec<(&UpstreamId, UpstreamWork)> =
            work.filter(|(_, work)| *work != UpstreamWork::default()).collect();
        rows.sort_by_key(|(id, work)| (std::cmp::Reverse(weight(work)), *id));
        rows.truncate(count);
        rows.into_iter().map(|(id, work)| (id.clone(), work)).collect()
    }
}

fn weight(work: &UpstreamWork) -> u64 {
    u64::from(work.pending_prefill_tokens) + u64::from(work.running) * TOKENS_PER_RUNNING
}

fn subtract(sum: &UpstreamWork, own: Option<&&UpstreamWork>) -> UpstreamWork {
    let Some(own) = own else { return *sum };
    UpstreamWork {
        running: sum.running.saturating_sub(own.running),
        pending_prefill_tokens: sum
            .pending_prefill_tokens
            .saturating_sub(own.pending_prefill_tokens),
    }
}
