//! Use of one model, and the number of copies that it needs. Load pattern: a model whose prompts arrive
//! faster than the engines that hold it can prefill them, long before their slots are full.

use gentian_config::serving::EngineSpec;
use gentian_core::{FastMap, ModelId, MonoTime, TimeSpan, UpstreamId};

use crate::serving::{PrefillTime, TargetUse};

/// A model gets a spare copy, so that a crash does not interrupt its service, if at least this many
/// requests would wait while it is loaded from disk.
const SPARE_COPY_WAITERS: f64 = 1.0;
/// A model gets a further copy for each time that its requests fill this fraction of an engine's
/// slots. An adapter for which no request waits is also loaded on an engine without it that runs
/// fewer requests than every engine with it, by at least this fraction of its slots.
pub(super) const SCALE_OUT_FRACTION: f64 = 0.12;

/// A model whose copies are all on engines that name limits gets a further copy if its requests
/// exceed this fraction of what these engines accept.
const LIMITED_USE_FRACTION: f64 = 0.7;

/// A model gets a further copy for each time that its prompts take this fraction of an engine's time.
/// Above it, prompts that arrive at random wait for about half the time that one of them takes.
const MAX_PREFILL_LOAD: f64 = 0.5;
/// A model gets a further copy if its pending prompts take this long at each copy, in seconds: half of
/// the shortest target latency that the deployments have.
const MAX_BACKLOG_SECONDS: f64 = 0.25;
/// Prompts that happen to arrive together need no further copy while the prompts of their model take
/// less than this fraction of an engine's time.
const MIN_LOAD_FOR_BACKLOG: f64 = 0.25;
/// Prefill time in microseconds a token until the hub has learned it: engines on the users' platform
/// prefill 38 to 41 tokens in a millisecond.
const INITIAL_MICROS_PER_TOKEN: f64 = 25.0;

/// Use of a model with all its adapters, summed over all entries.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelUse {
    /// Number of requests that wait.
    pub(super) waiting: u32,
    /// Number of running requests, by upstream.
    pub(super) running: FastMap<UpstreamId, u32>,
    /// Requests per second.
    pub(super) rate: f64,
    /// Prompt tokens per second, by the higher of the rates over seconds and over the last second.
    prompt_rate: f64,
    /// Mean length of the prompts of its targets, weighted by their rates, in tokens; zero if it is
    /// not known.
    mean_prompt: f64,
    /// Prompt tokens that are pending at engines.
    pub(super) pending_tokens: f64,
    /// Time that engines need for the prompts of a second, in seconds.
    prefill_load: f64,
    /// Time that engines need for the prompts that are pending or wait at entries, in seconds.
    backlog: f64,
    /// Arrival of the last request.
    pub(super) last_arrival: MonoTime,
    /// Number of engines that have loaded the model or are loading it.
    pub(super) copies: usize,
    /// Number of copies on engines that name no limit of requests.
    pub(super) unlimited_copies: usize,
    /// Requests per second that the other copies accept.
    pub(super) limited_rate: f64,
    /// Number of copies that its use needs.
    pub(super) wanted: usize,
}

impl ModelUse {
    /// Returns the number of requests per copy.
    pub(super) fn requests_per_copy(&self) -> f64 {
        self.requests() / self.copies.max(1) as f64
    }

    /// Adds the rates of one of its targets.
    pub(super) fn add_rates(&mut self, usage: &TargetUse) {
        let rate = self.rate + usage.rate;
        if rate > 0.0 {
            self.mean_prompt += (usage.prompt_tokens - self.mean_prompt) * usage.rate / rate;
        }
        self.rate = rate;
        self.prompt_rate += usage.rate.max(usage.recent_rate) * usage.prompt_tokens;
    }

    /// Updates what its prompts need of the engines, given how long they take for a prompt token.
    pub(super) fn update_prefill(&mut self, prefill_time: PrefillTime) {
        let micros = prefill_time.micros_per_token().unwrap_or(INITIAL_MICROS_PER_TOKEN);
        self.prefill_load = self.prompt_rate * micros / 1e6;
        let waiting_tokens = f64::from(self.waiting) * self.mean_prompt;
        self.backlog = (self.pending_tokens + waiting_tokens) * micros / 1e6;
    }

    /// Returns the number of copies that its prompts need.
    fn copies_for_prompts(&self) -> usize {
        let by_load = 1 + (self.prefill_load / MAX_PREFILL_LOAD) as usize;
        let has_backlog = self.prefill_load >= MIN_LOAD_FOR_BACKLOG
            && self.backlog > MAX_BACKLOG_SECONDS * self.copies.max(1) as f64;
        by_load.max(if has_backlog { self.copies + 1 } else { 0 })
    }

    /// Adds a copy on an engine that accepts `accepted_rate` requests per second for it; `None` if
    /// the engine names no limit.
    pub(super) fn add_copy(&mut self, accepted_rate: Option<f64>) {
        self.copies += 1;
        match accepted_rate {
            Some(rate) => self.limited_rate += rate,
            None => self.unlimited_copies += 1,
        }
    }

    /// Returns whether the copies on engines that name limits do not accept its requests.
    fn exceeds_limits(&self) -> bool {
        self.rate > self.limited_rate * LIMITED_USE_FRACTION
    }

    /// Returns the number of copies that count when one of them may be evicted. The only one on an
    /// engine without a limit counts as the only copy if the others do not accept its requests.
    pub(super) fn copies_for_eviction(&self, is_limited: bool) -> usize {
        let is_needed = !is_limited && self.unlimited_copies == 1 && self.exceeds_limits();
        if is_needed { 1 } else { self.copies }
    }

    fn requests(&self) -> f64 {
        f64::from(self.running.values().sum::<u32>() + self.waiting)
    }

    /// Returns the number of copies that the use of `model` needs on engines like `engine`.
    pub(super) fn wanted_copies(&self, model: &ModelId, engine: &EngineSpec) -> usize {
        let disk_load_time =
            engine.models.get(model).map_or(TimeSpan::ZERO, |spec| spec.disk_load_time);
        let waiters = self.rate * disk_load_time.as_secs_f64();
        let spare = usize::from(waiters >= SPARE_COPY_WAITERS);
        let slots = engine.batch_slots.get().max(1) as f64;
        let scaled_out = (self.requests() / (slots * SCALE_OUT_FRACTION)) as usize;
        let wanted = (1 + spare + scaled_out).max(self.copies_for_prompts());
        let needs_unlimited_copy = self.unlimited_copies == 0 && self.exceeds_limits();
        if needs_unlimited_copy { wanted.max(self.copies + 1) } else { wanted }
    }
}
