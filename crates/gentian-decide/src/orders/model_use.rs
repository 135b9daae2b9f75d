//! Use of one model, and the number of copies that it needs. Load pattern: a model whose prompts arrive
//! faster than the engines that hold it can prefill them, long before their slots are full.

use gentian_config::serving::EngineSpec;
use gentian_core::{FastMap, ModelId, MonoTime, TimeSpan, UpstreamId};

use super::store_schedule::LoadClass;
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
/// Fraction of each copy's time that prompts take, time that the pending ones take at each copy in seconds,
/// and fraction of the slots in use from which copies count as overloaded. At this load, prompts that
/// arrive at random wait for one and a half others. With 0.6, a busy model took both places of the weight
/// store for its fourth and fifth copy, and the next busy one waited for them.
const OVERLOAD_PREFILL_LOAD: f64 = 0.75;
const OVERLOAD_BACKLOG_SECONDS: f64 = 1.0;
const OVERLOAD_SLOT_FRACTION: f64 = 0.5;
/// Prompts that happen to arrive together need no further copy while the prompts of their model take
/// less than this fraction of an engine's time.
const MIN_LOAD_FOR_BACKLOG: f64 = 0.25;
/// Prefill time in microseconds a token until the hub has learned it: engines on the users' platform
/// prefill 38 to 41 tokens in a millisecond.
const INITIAL_MICROS_PER_TOKEN: f64 = 25.0;

/// Time for which a copy is taken to stay, in seconds.
const COPY_STAY_SECONDS: f64 = 20.0;
/// Requests per second from which a model counts as in regular use, so that it gets a copy when it has
/// lost its last one although no request waits yet: two requests in five seconds.
const REGULAR_RATE: f64 = 0.3;
/// Requests per second below which a model without waiting and running requests counts as unused: its
/// last request came 7 s ago or earlier.
const MIN_RATE_IN_USE: f64 = 0.05;
/// Probability that an engine is lost while a spare copy stays, which weighs spare copies.
const LOSS_PROBABILITY: f64 = 0.05;

/// Use of a model with all its adapters, summed over all entries.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelUse {
    /// Number of requests that wait.
    pub(super) waiting: u32,
    /// Number of running requests, by upstream.
    pub(super) running: FastMap<UpstreamId, u32>,
    /// Requests per second.
    pub(super) rate: f64,
    /// Requests per second in the last second.
    recent_rate: f64,
    /// Time until a queue deadline of a waiting request: the latest of those that are the earliest of
    /// their targets.
    time_left: TimeSpan,
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
    /// Whether an engine has loaded it to which a connection has just failed.
    pub(super) has_skipped_copy: bool,
    /// Whether an engine has its weights on disk or in host memory, from where it is brought back.
    pub(super) is_stored: bool,
    /// Number of copies on engines that name no limit of requests.
    pub(super) unlimited_copies: usize,
    /// Requests per second that the other copies accept.
    pub(super) limited_rate: f64,
    /// Number of copies that its use needs.
    pub(super) wanted: usize,
}

impl ModelUse {
    /// Returns whether it has requests.
    pub(super) fn is_in_use(&self) -> bool {
        self.rate >= MIN_RATE_IN_USE || self.requests() > 0.0
    }

    /// Returns why a further copy is wanted, and how many requests will be served in time thanks to it
    /// while it stays. `None` if none is wanted. Requests that wait count if they can still be served
    /// after a load of `load_time`.
    pub(super) fn wanted_load(
        &self,
        engine: &EngineSpec,
        load_time: TimeSpan,
    ) -> Option<(LoadClass, f64)> {
        let arriving = self.rate.max(self.recent_rate) * COPY_STAY_SECONDS;
        if self.copies == 0 {
            let in_time = if self.time_left >= load_time { self.waiting } else { 0 };
            let is_lost = self.rate >= REGULAR_RATE && !self.has_skipped_copy;
            let is_wanted = self.waiting > 0 || is_lost;
            return is_wanted.then(|| (LoadClass::Missing, f64::from(in_time) + arriving));
        }
        if self.copies >= self.wanted {
            return None;
        }
        let needed = self.needed_copies(engine);
        if needed <= self.copies {
            return Some((LoadClass::Spare, arriving * LOSS_PROBABILITY));
        }
        let unserved = 1.0 - self.copies as f64 / needed as f64;
        let class = match self.copies == 1 || self.is_overloaded(engine) {
            true => LoadClass::Overloaded,
            false => LoadClass::Spare,
        };
        // The requests that a further copy serves in time are fewer the more copies share them.
        let in_time = f64::from(self.waiting) + arriving * unserved;
        Some((class, in_time / (self.copies * self.copies) as f64))
    }

    /// Returns whether its copies don't keep up with its requests.
    fn is_overloaded(&self, engine: &EngineSpec) -> bool {
        let copies = self.copies as f64;
        self.prefill_load >= OVERLOAD_PREFILL_LOAD * copies
            || self.backlog >= OVERLOAD_BACKLOG_SECONDS * copies
            || self.requests() >= OVERLOAD_SLOT_FRACTION * engine.batch_slots.get() as f64 * copies
    }

    /// Returns the number of copies without which its requests are not served in time.
    fn needed_copies(&self, engine: &EngineSpec) -> usize {
        let slots = engine.batch_slots.get().max(1) as f64;
        let scaled_out = (self.requests() / (slots * SCALE_OUT_FRACTION)) as usize;
        let needed = (1 + scaled_out).max(self.copies_for_prompts());
        let needs_unlimited_copy = self.unlimited_copies == 0 && self.exceeds_limits();
        if needs_unlimited_copy { needed.max(self.copies + 1) } else { needed }
    }

    /// Adds the requests of one of its targets, apart from the running ones.
    pub(super) fn add_requests(&mut self, usage: &TargetUse) {
        let rate = self.rate + usage.rate;
        if rate > 0.0 {
            self.mean_prompt += (usage.prompt_tokens - self.mean_prompt) * usage.rate / rate;
        }
        self.rate = rate;
        self.recent_rate += usage.recent_rate;
        if usage.waiting > 0 {
            let is_first = self.waiting == 0;
            let time_left = usage.time_left;
            self.time_left = if is_first { time_left } else { self.time_left.max(time_left) };
            self.waiting = self.waiting.saturating_add(usage.waiting);
        }
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
        // A spare copy counts beside those for running requests. Those for prompts leave half of each
        // engine's time free, which bears the loss of one.
        let scaled_out =
            self.requests() / (engine.batch_slots.get().max(1) as f64 * SCALE_OUT_FRACTION);
        (1 + spare + scaled_out as usize).max(self.needed_copies(engine))
    }
}
