//! One upstream as an entry sees it.

use gentian_core::peer::{ResidentModels, TargetId, UpstreamWork};
use gentian_core::{MonoTime, TimeSpan};

use super::{AttemptOutcome, ColdLimiter, EngineModels, UpstreamRegistration, UpstreamState};

/// Time for which an upstream is passed over after a connection failed.
const UNREACHABLE_PAUSE: TimeSpan = TimeSpan::from_millis(1_000);
/// Weight of the newest attempt in the failure share.
const FAILURE_WEIGHT: f64 = 0.2;
/// Time after which half of the remembered failures are forgiven, so that an upstream is tried again.
const FORGIVE_TIME: TimeSpan = TimeSpan::from_secs(3);

/// One upstream with its registration, the hub's row and this entry's experience.
#[derive(Clone, Debug)]
pub struct UpstreamRow {
    /// Its registration.
    pub registration: UpstreamRegistration,
    /// Whether its registration is still there.
    pub is_listed: bool,
    /// What the hub knows of its models; preferred to the registration, which lags.
    pub holding: Option<ResidentModels>,
    /// Work of this entry.
    pub own: UpstreamWork,
    /// Work of the other entries.
    pub others: UpstreamWork,
    /// Requests sent while it is cold.
    pub cold_limiter: ColdLimiter,
    cold_until: MonoTime,
    avoided_until: MonoTime,
    failure_share: f64,
    failure_time: MonoTime,
}

impl UpstreamRow {
    /// Creates the row of an upstream that was just seen.
    pub fn new(registration: UpstreamRegistration, now: MonoTime) -> Self {
        let cold_until = now + registration.cold_remaining;
        Self {
            registration,
            is_listed: true,
            holding: None,
            own: UpstreamWork::default(),
            others: UpstreamWork::default(),
            cold_limiter: ColdLimiter::default(),
            cold_until,
            avoided_until: MonoTime::ORIGIN,
            failure_share: 0.0,
            failure_time: now,
        }
    }

    /// Takes a newer registration of the same start over.
    pub fn update(&mut self, mut registration: UpstreamRegistration, now: MonoTime) {
        let is_listing = registration.models == Some(EngineModels::default());
        if is_listing {
            // The hub tells of models apart from registrations.
            registration.models = self.registration.models.take();
        }
        self.is_listed = true;
        if registration.cold_remaining > TimeSpan::ZERO {
            self.cold_until = self.cold_until.max(now + registration.cold_remaining);
        }
        self.registration = registration;
    }

    /// Tells whether the upstream takes new work now.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        self.registration.state == UpstreamState::Ready && self.avoided_until <= now
    }

    /// Tells whether the upstream still bears little.
    pub fn is_cold(&self, now: MonoTime) -> bool {
        self.cold_until > now
    }

    /// Tells whether requests for `target` can run.
    pub fn holds(&self, target: &TargetId) -> bool {
        if let Some(holding) = &self.holding {
            let is_changing = holding.in_transition.as_ref() == Some(&target.model);
            return !is_changing && holding.loaded.contains(target);
        }
        let Some(models) = &self.registration.models else { return false };
        let model = models.loaded.iter().find(|model| model.id == target.model);
        model.is_some_and(|model| match &target.adapter {
            Some(adapter) => model.adapters.contains(adapter),
            None => true,
        })
    }

    /// Returns the work of all entries.
    pub fn work(&self) -> UpstreamWork {
        UpstreamWork {
            running: self.own.running + self.others.running,
            pending_prefill_tokens: self
                .own
                .pending_prefill_tokens
                .saturating_add(self.others.pending_prefill_tokens),
        }
    }

    /// Returns the share of recent attempts that failed.
    pub fn failure_share(&self, now: MonoTime) -> f64 {
        let halves = now.since(self.failure_time).as_secs_f64() / FORGIVE_TIME.as_secs_f64();
        self.failure_share * 0.5_f64.powf(halves)
    }

    /// Takes the end of an attempt in.
    pub fn record_outcome(&mut self, end: AttemptOutcome, now: MonoTime) {
        let is_failure = match end {
            AttemptOutcome::Served(_) => false,
            AttemptOutcome::Failed | AttemptOutcome::Broken => true,
            AttemptOutcome::Unreachable => {
                self.avoided_until = now + UNREACHABLE_PAUSE;
                true
            }
            AttemptOutcome::Rejected | AttemptOutcome::Abandoned => return,
        };
        let past = self.failure_share(now);
        let newest = if is_failure { 1.0 } else { 0.0 };
        self.failure_share = past + (newest - past) * FAILURE_WEIGHT;
        self.failure_time = now;
    }
}
