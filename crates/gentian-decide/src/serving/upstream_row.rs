//! State of one upstream at an entry.

use gentian_core::peer::{ResidentModels, TargetId, UpstreamWork};
use gentian_core::{MonoTime, RequestRate, TimeSpan};

use super::{AttemptOutcome, ColdLimiter, EngineModels, UpstreamRegistration, UpstreamState};
use crate::limits::RequestShare;
use crate::selection::{HeldPrompts, LoadReading, LoadRecord};
use crate::streams::KnownStart;

/// Time for which an upstream is skipped after a failed connection.
const UNREACHABLE_COOLDOWN: TimeSpan = TimeSpan::from_millis(1_000);
/// Weight of the newest attempt in the failure rate.
const NEWEST_ATTEMPT_WEIGHT: f64 = 0.2;
/// Half-life of the failure rate; its decay lets the upstream be tried again.
const FAILURE_HALF_LIFE: TimeSpan = TimeSpan::from_secs(3);

/// One upstream with its registration, the state reported by the hub, and what this entry observed.
#[derive(Clone, Debug)]
pub struct UpstreamRow {
    /// Registration of the upstream.
    pub registration: UpstreamRegistration,
    /// Whether the registration still exists.
    pub is_registered: bool,
    /// Models that the hub reports; preferred to those of the registration, which lag behind.
    pub resident_models: Option<ResidentModels>,
    /// Requests of this entry in progress there.
    pub local_work: UpstreamWork,
    /// Requests of the other entries in progress there.
    pub remote_work: UpstreamWork,
    /// Requests that it accepts from all entries together, as its responses name it.
    pub limit: Option<RequestRate>,
    /// Counts the requests of this entry while it names a limit.
    pub limit_share: RequestShare,
    limit_time: MonoTime,
    /// Load that its responses report; `None` if they don't.
    load: Option<LoadRecord>,
    /// Parts of prompts that it likely holds.
    pub held_prompts: HeldPrompts,
    /// Limits requests while the upstream is cold.
    pub cold_limiter: ColdLimiter,
    cold_until: MonoTime,
    /// Until when it is skipped after a failed connection.
    skipped_until: MonoTime,
    /// When a connection could last not be established, and when one last broke. It may have started
    /// again since, as another version.
    unreachable: MonoTime,
    broken: MonoTime,
    failure_rate: f64,
    failure_updated: MonoTime,
    /// Start that a report has named, other than that of the registration.
    reported_start: Option<u64>,
    /// Whether its reports name no start.
    names_no_start: bool,
}

impl UpstreamRow {
    /// Creates the row of a newly registered upstream.
    pub fn new(registration: UpstreamRegistration, now: MonoTime) -> Self {
        let cold_until = now + registration.cold_remaining;
        Self {
            registration,
            is_registered: true,
            resident_models: None,
            local_work: UpstreamWork::default(),
            remote_work: UpstreamWork::default(),
            limit: None,
            limit_share: RequestShare::default(),
            limit_time: MonoTime::ORIGIN,
            load: None,
            held_prompts: HeldPrompts::default(),
            cold_limiter: ColdLimiter::default(),
            cold_until,
            skipped_until: MonoTime::ORIGIN,
            unreachable: MonoTime::ORIGIN,
            broken: MonoTime::ORIGIN,
            failure_rate: 0.0,
            failure_updated: now,
            reported_start: None,
            names_no_start: false,
        }
    }

    /// Replaces the registration by a newer one of the same incarnation.
    pub fn update(&mut self, mut registration: UpstreamRegistration, now: MonoTime) {
        let is_from_hub = registration.models == Some(EngineModels::default());
        if is_from_hub {
            // The hub reports models separately from listings. The registration of an engine
            // without models looks the same.
            registration.models = self.registration.models.take();
        }
        // The hub reports versions separately too.
        registration.version = registration.version.or(self.registration.version.take());
        self.is_registered = true;
        if registration.cold_remaining > TimeSpan::ZERO {
            self.cold_until = self.cold_until.max(now + registration.cold_remaining);
        }
        self.registration = registration;
    }

    /// Replaces the models that the hub reports.
    pub fn update_resident_models(&mut self, models: ResidentModels, now: MonoTime) {
        self.held_prompts.update_models(models.loaded.iter().map(|target| &target.model), now);
        self.resident_models = Some(models);
    }

    /// Returns the row with a registration that had been missing. What the hub reported of it before
    /// is no longer known.
    pub fn with_registration(mut self, registration: UpstreamRegistration, now: MonoTime) -> Self {
        self.resident_models = None;
        self.remote_work = UpstreamWork::default();
        self.update(registration, now);
        self
    }

    /// Returns whether the upstream is ready.
    pub fn is_ready(&self) -> bool {
        self.registration.state == UpstreamState::Ready
    }

    /// Returns whether the upstream is ready and no connection to it has failed recently.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        self.is_ready() && self.skipped_until <= now
    }

    /// Returns whether the upstream may have started again since `time`, at which it was listed. Where
    /// versions differ, a broken connection is taken for that as well.
    pub fn may_have_restarted(&self, time: MonoTime, is_mixed: bool) -> bool {
        self.unreachable >= time || (is_mixed && self.broken >= time)
    }

    /// Returns what is known of the start of the upstream; `is_doubtful` is whether it may have started
    /// again since it was listed.
    pub fn start(&self, is_doubtful: bool) -> KnownStart {
        KnownStart {
            listed: self.registration.incarnation,
            reported: self.reported_start,
            is_doubtful,
        }
    }

    /// Returns whether a stream may go on here, as far as the start of the upstream is concerned: no report
    /// has shown that it has started again. One that may have is asked, if its reports name its start.
    pub fn may_go_on(&self, is_doubtful: bool) -> bool {
        self.reported_start.is_none() && !(is_doubtful && self.names_no_start)
    }

    /// Records the start that a report names, if it isn't that of the registration, or that it names none;
    /// returns whether this is new.
    pub fn record_start(&mut self, start: Option<u64>) -> bool {
        let Some(start) = start else { return !std::mem::replace(&mut self.names_no_start, true) };
        let is_listed = KnownStart::new(self.registration.incarnation).is_listed(start);
        !is_listed && self.reported_start.replace(start) != Some(start)
    }

    /// Returns whether the upstream is known to have had the version of another registration.
    pub fn has_version_of(&self, other: &UpstreamRegistration) -> bool {
        let version = &self.registration.version;
        version.is_some() && *version == other.version
    }

    /// Returns whether the upstream is still cold.
    pub fn is_cold(&self, now: MonoTime) -> bool {
        self.cold_until > now
    }

    /// Returns whether `target` is loaded, so that requests for it can run.
    pub fn has_loaded(&self, target: &TargetId) -> bool {
        if let Some(resident_models) = &self.resident_models {
            let is_changing = resident_models.in_transition.as_ref() == Some(&target.model);
            return !is_changing && resident_models.loaded.contains(target);
        }
        let Some(models) = &self.registration.models else { return false };
        let model = models.loaded.iter().find(|model| model.id == target.model);
        model.is_some_and(|model| match &target.adapter {
            Some(adapter) => model.adapters.contains(adapter),
            None => true,
        })
    }

    /// Records the limit that a response names, to a request sent at `sent`; returns whether the
    /// limit changed. A response without a limit ends an earlier one only if its request was sent
    /// after that was named: responses may overtake each other.
    pub fn record_limit(
        &mut self,
        limit: Option<RequestRate>,
        sent: MonoTime,
        now: MonoTime,
    ) -> bool {
        if limit.is_none() && sent <= self.limit_time {
            return false;
        }
        self.limit_time = now;
        std::mem::replace(&mut self.limit, limit) != limit
    }

    /// Applies the limit that another entry was named at `time`; returns whether the limit changed.
    pub fn apply_limit(&mut self, limit: Option<RequestRate>, time: MonoTime) -> bool {
        if time <= self.limit_time {
            return false;
        }
        self.limit_time = time;
        std::mem::replace(&mut self.limit, limit) != limit
    }

    /// Returns the work of all entries at this upstream.
    pub fn work(&self) -> UpstreamWork {
        UpstreamWork {
            running: self.local_work.running.saturating_add(self.remote_work.running),
            pending_prefill_tokens: self
                .local_work
                .pending_prefill_tokens
                .saturating_add(self.remote_work.pending_prefill_tokens),
        }
    }

    /// Records the load that a response reports; returns whether it is the first one, or the first
    /// after a long time.
    pub fn record_load(&mut self, reading: LoadReading) -> bool {
        let is_first = self.load(reading.time).is_none();
        let (own, remote) = (self.local_work.running, self.remote_work.running);
        let record = self.load.map(|record| record.with_reading(reading, own, remote));
        self.load = Some(record.unwrap_or_else(|| LoadRecord::new(reading, own, remote)));
        is_first
    }

    /// Returns what its responses reported of its load, unless that is too old.
    pub fn load(&self, now: MonoTime) -> Option<&LoadRecord> {
        self.load.as_ref().filter(|load| load.is_current(now))
    }

    /// Returns the expected number of requests of all entries at an upstream of a plain service.
    pub fn expected_plain_requests(&self, now: MonoTime) -> f64 {
        let others = self.remote_work.running;
        let load = self.load(now);
        let others = load.map_or(f64::from(others), |load| load.other_short_requests(others, now));
        f64::from(self.local_work.running) + others
    }

    /// Returns the expected number of requests of all entries at an engine.
    pub fn expected_engine_requests(&self, now: MonoTime) -> f64 {
        let others = self.remote_work.running;
        let load = self.load(now);
        let others = load.map_or(f64::from(others), |load| load.other_long_requests(others, now));
        f64::from(self.local_work.running) + others
    }

    /// Returns the number of requests that it runs at the same time: the registered number, or the
    /// reported one if that is smaller.
    pub fn slots(&self, now: MonoTime) -> f64 {
        let reported = self.load(now).map(|load| load.newest().load.slots);
        let registered = self.registration.slots.get().max(1) as f64;
        reported.map_or(registered, |slots| registered.min(f64::from(slots)))
    }

    /// Returns the factor by which work there is expected to take longer than usual.
    pub fn pace(&self, now: MonoTime) -> f64 {
        self.load(now).map_or(1.0, |load| load.pace(now))
    }

    /// Returns the fraction of recent attempts that failed.
    pub fn failure_rate(&self, now: MonoTime) -> f64 {
        let half_lives =
            now.since(self.failure_updated).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(half_lives)
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(&mut self, outcome: AttemptOutcome, now: MonoTime) {
        let is_failure = match outcome {
            AttemptOutcome::Served(_) => false,
            AttemptOutcome::Failed | AttemptOutcome::Invalid => true,
            AttemptOutcome::Broken => {
                self.broken = now;
                true
            }
            AttemptOutcome::Unreachable => {
                self.unreachable = now;
                self.skipped_until = now + UNREACHABLE_COOLDOWN;
                true
            }
            AttemptOutcome::Rejected | AttemptOutcome::Abandoned => return,
        };
        let previous = self.failure_rate(now);
        let newest = if is_failure { 1.0 } else { 0.0 };
        self.failure_rate = previous + (newest - previous) * NEWEST_ATTEMPT_WEIGHT;
        self.failure_updated = now;
    }
}
