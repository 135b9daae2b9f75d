//! Quotas of all organisations at one entry.

use std::sync::Arc;

use gentian_config::serving::ServingConfig;
use gentian_core::peer::{FleetUse, OrganisationUse, UseTrace};
use gentian_core::{FastMap, MonoTime, OrganisationId, TimeSpan, TokenCount};

use super::{FleetPartition, QuotaLimit, QuotaLimiter, QuotaOutcome, ServingBounds};
use crate::request::{Refusal, RefusalCode};

/// Number of entries assumed before the members are known.
const DEFAULT_FLEET_ENTRIES: u32 = 16;

/// The limiters of all organisations.
#[derive(Debug)]
pub struct OrganisationQuotas {
    limiters: FastMap<OrganisationId, QuotaLimiter>,
    partition: FleetPartition,
    window: TimeSpan,
    /// Whether organisations may have used all of their limits before this process started.
    is_past_unknown: bool,
    /// Stored trace of the use before this process started.
    trace: Option<UseTrace>,
    /// Differs from entry to entry.
    seed: u64,
}

impl OrganisationQuotas {
    /// Creates the quotas of a process before the first configuration.
    pub fn new() -> Self {
        Self {
            limiters: FastMap::default(),
            partition: FleetPartition::isolated(DEFAULT_FLEET_ENTRIES),
            window: TimeSpan::ZERO,
            is_past_unknown: true,
            trace: None,
            seed: 0,
        }
    }

    /// Returns the quotas of a process of a system that starts for the first time, so that no
    /// organisation has used anything.
    pub fn with_first_start(self) -> Self {
        Self { is_past_unknown: false, ..self }
    }

    /// Returns the quotas with a number that differs from entry to entry.
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Replaces the configuration.
    pub fn update(&mut self, config: &Arc<ServingConfig>, bounds: &ServingBounds, now: MonoTime) {
        self.window = bounds.quota_window;
        // Organisations that a later configuration adds are new.
        let is_past_unknown = self.is_past_unknown && self.limiters.is_empty();
        let limiter = QuotaLimiter::new(self.partition, now).with_seed(self.seed);
        let new_limiter = || match is_past_unknown {
            true => limiter.clone(),
            false => limiter.clone().with_past_within_rate(),
        };
        for (id, organisation) in &config.organisations {
            let limiter = self.limiters.entry(id.clone()).or_insert_with(new_limiter);
            limiter.update(QuotaLimit::new(organisation, bounds), now);
        }
        self.apply_stored_trace(now);
    }

    /// Applies the stored trace of the use before this process started; later ones have no effect.
    pub fn apply_trace(&mut self, trace: UseTrace, now: MonoTime) {
        if self.trace.is_none() {
            self.trace = Some(trace);
            self.apply_stored_trace(now);
        }
    }

    fn apply_stored_trace(&mut self, now: MonoTime) {
        let Some(trace) = &self.trace else { return };
        for (id, limiter) in &mut self.limiters {
            limiter.apply_trace(find_slices(&trace.uses, id), now);
        }
    }

    /// Returns which entries share their counts of use with this one.
    pub fn partition(&self) -> FleetPartition {
        self.partition
    }

    /// Sets which entries share their counts of use with this one.
    pub fn update_partition(&mut self, partition: FleetPartition, now: MonoTime) {
        self.partition = partition;
        self.limiters.values_mut().for_each(|limiter| limiter.update_partition(partition, now));
    }

    /// Records what other entries spent.
    pub fn record_remote_use(&mut self, organisation: &OrganisationId, tokens: u64, now: MonoTime) {
        if let Some(limiter) = self.limiters.get_mut(organisation) {
            limiter.record_remote_use(tokens, now);
        }
    }

    /// Assumes that other entries went on spending since their use was last reported.
    pub fn assume_remote_use(&mut self, organisation: &OrganisationId, now: MonoTime) {
        if let Some(limiter) = self.limiters.get_mut(organisation) {
            limiter.assume_remote_use(now);
        }
    }

    /// Records that there is a new hub, which doesn't know the use of any entry yet.
    pub fn record_new_hub(&mut self) {
        self.limiters.values_mut().for_each(QuotaLimiter::record_new_hub);
    }

    /// Applies what the hub knows of the use of all other entries; it doesn't know that of a fraction
    /// of them.
    pub fn apply_fleet_use(&mut self, fleet_use: &FleetUse, unknown_fraction: f64, now: MonoTime) {
        for (id, limiter) in &mut self.limiters {
            let slices = find_slices(&fleet_use.uses, id);
            let earlier_slices = find_slices(&fleet_use.earlier_uses, id);
            limiter.apply_fleet_use(slices, earlier_slices, unknown_fraction, now);
        }
    }

    /// Returns what organisations used at this entry, and what they used, or may have used, at earlier
    /// processes on its VM.
    pub fn history(&mut self, now: MonoTime) -> (Vec<OrganisationUse>, Vec<OrganisationUse>) {
        let (mut uses, mut earlier_uses) = (Vec::new(), Vec::new());
        for (id, limiter) in &mut self.limiters {
            let Some((own, earlier)) = limiter.history(now) else { continue };
            for (list, slices) in [(&mut uses, own), (&mut earlier_uses, earlier)] {
                if slices.iter().any(|tokens| *tokens > 0) {
                    list.push(OrganisationUse { organisation: id.clone(), slices });
                }
            }
        }
        (uses, earlier_uses)
    }

    /// Returns the window in which quotas are counted.
    pub fn window(&self) -> TimeSpan {
        self.window
    }

    /// Returns the limit of an organisation, if it has one.
    pub fn limit(&self, organisation: &OrganisationId) -> Option<QuotaLimit> {
        self.limiters.get(organisation)?.limit()
    }

    /// Returns the tokens spent at this entry, per organisation.
    pub fn spent(&self) -> Vec<(OrganisationId, u64)> {
        let spent = self.limiters.iter().map(|(id, limiter)| (id.clone(), limiter.spent()));
        spent.filter(|(_, tokens)| *tokens > 0).collect()
    }

    /// Returns whether an organisation near its limit has unreported use.
    pub fn has_urgent_use(&self) -> bool {
        self.limiters.values().any(QuotaLimiter::has_urgent_use)
    }

    /// Returns the totals spent at this entry of which much is not reported to the hub, and marks them
    /// as reported. Also returns whether an organisation is near its limit, so that the hub is to
    /// reply.
    pub fn drain_unreported(&mut self, now: MonoTime) -> (Vec<(OrganisationId, u64)>, bool) {
        let unreported = self.limiters.iter_mut().filter(|(_, it)| it.has_much_unreported());
        let (mut spent, mut wants_notice) = (Vec::new(), false);
        for (id, limiter) in unreported {
            wants_notice |= limiter.mark_reported_at_once(now);
            spent.push((id.clone(), limiter.spent()));
        }
        (spent, wants_notice)
    }

    /// Marks all use as reported to the hub.
    pub fn mark_reported(&mut self) {
        self.limiters.values_mut().for_each(QuotaLimiter::mark_reported);
    }

    /// Charges a request, or returns the refusal of one that its organisation has no tokens for.
    pub fn charge(
        &mut self,
        organisation: &OrganisationId,
        cost: TokenCount,
        now: MonoTime,
    ) -> Result<(), Refusal> {
        let partition = self.partition;
        let new_limiter = || QuotaLimiter::new(partition, now);
        let limiter = self.limiters.entry(organisation.clone()).or_insert_with(new_limiter);
        match limiter.charge(cost, now) {
            QuotaOutcome::Charged => Ok(()),
            QuotaOutcome::Exceeded(wait) => {
                let message =
                    format!("the organisation's tokens are used up: {}", limiter.describe(now));
                Err(Refusal::new(RefusalCode::RateLimited, message).with_retry_after(wait))
            }
        }
    }

    /// Takes the charge of a request back that did not run.
    pub fn refund(&mut self, organisation: &OrganisationId, cost: TokenCount, now: MonoTime) {
        if let Some(limiter) = self.limiters.get_mut(organisation) {
            limiter.refund(cost, now);
        }
    }
}

impl Default for OrganisationQuotas {
    fn default() -> Self {
        Self::new()
    }
}

fn find_slices<'a>(uses: &'a [OrganisationUse], organisation: &OrganisationId) -> &'a [u64] {
    let found = uses.iter().find(|it| it.organisation == *organisation);
    found.map_or(&[], |it| it.slices.as_slice())
}
