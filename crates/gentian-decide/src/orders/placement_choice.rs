//! Chooses the engine on which to load a model, and the models to unload for it.

use gentian_config::serving::{CatalogueModel, EngineSpec};
use gentian_core::{FastMap, ModelId, MonoTime, TimeSpan, UpstreamId};

use super::EngineTracker;
use super::confirmed_state::ConfirmedState;

/// Duration of an unload that precedes a load.
const UNLOAD_TIME: TimeSpan = TimeSpan::from_millis(150);
/// Cost, as a delay, of evicting the only copy of a model that was just used; it rises with the
/// request rate and falls with the number of copies.
const EVICTION_BASE_DELAY: TimeSpan = TimeSpan::from_millis(800);
/// Idle time in which the cost of evicting a model halves.
const EVICTION_COST_HALF_LIFE: TimeSpan = TimeSpan::from_secs(3);
/// Idle time before the last copy of a model may be evicted for one that requests wait for.
const MIN_IDLE_FOR_EVICTION: TimeSpan = TimeSpan::from_millis(500);

/// Idle time before a needed copy of a model may be evicted for an extra copy of another one: longer
/// than the pauses between requests for a model in regular use.
const MIN_IDLE_FOR_EXTRA_COPY: TimeSpan = TimeSpan::from_secs(4);
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

/// Why a model is loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadReason {
    /// Requests wait for it.
    Waiting,
    /// Another copy spreads the requests or takes over after a crash.
    ExtraCopy,
}

/// Use of a model with all its adapters, summed over all entries.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelUse {
    /// Number of requests that wait.
    pub(super) waiting: u32,
    /// Number of running requests, by upstream.
    pub(super) running: FastMap<UpstreamId, u32>,
    /// Requests per second.
    pub(super) rate: f64,
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
    fn copies_for_eviction(&self, is_limited: bool) -> usize {
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
        let wanted = 1 + spare + scaled_out;
        let needs_unlimited_copy = self.unlimited_copies == 0 && self.exceeds_limits();
        if needs_unlimited_copy { wanted.max(self.copies + 1) } else { wanted }
    }
}

/// A load whose engine is to be selected.
#[derive(Clone, Copy)]
pub(super) struct WantedLoad<'a> {
    /// The model.
    pub(super) model: &'a CatalogueModel,
    /// Properties of the engines.
    pub(super) engine: &'a EngineSpec,
    /// Use of all models.
    pub(super) uses: &'a FastMap<ModelId, ModelUse>,
    /// Why the model is loaded.
    pub(super) reason: LoadReason,
    /// The present time.
    pub(super) now: MonoTime,
}

/// Option to load a model on one engine.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LoadOption {
    /// The engine.
    pub(super) upstream: UpstreamId,
    /// Models to unload first, least useful first.
    pub(super) victims: Vec<ModelId>,
    /// Whether the weights come from the weight store.
    pub(super) is_from_store: bool,
    /// Expected delay in microseconds, including the cost of the evictions.
    pub(super) cost_micros: f64,
}

/// Returns how long an engine with this confirmed state takes to load `model`, and whether the
/// weights come from the weight store.
pub(super) fn load_time(confirmed: &ConfirmedState, model: &CatalogueModel) -> (TimeSpan, bool) {
    if confirmed.in_host_memory.contains(&model.id) {
        (model.host_load_time, false)
    } else if confirmed.on_disk.contains(&model.id) {
        (model.disk_load_time, false)
    } else {
        (model.store_load_time, true)
    }
}

/// Returns the option to load `model` on the engine of `tracker`, now or once it is free; `None` if
/// not enough memory can be freed. `is_limited` states whether the engine names a limit of requests.
pub(super) fn find_option(
    tracker: &EngineTracker,
    upstream: &UpstreamId,
    is_limited: bool,
    load: &WantedLoad<'_>,
) -> Option<LoadOption> {
    let WantedLoad { model, engine, uses, reason, now } = *load;
    let confirmed = tracker.confirmed()?;
    let (time, is_from_store) = load_time(confirmed, model);
    let mut free = tracker.free_memory(engine);
    let mut cost_micros = (time + tracker.time_until_free(now)).as_micros() as f64;
    let mut victims = Vec::new();
    let mut evictable: Vec<(f64, &ModelId)> = confirmed
        .loaded
        .keys()
        .filter(|loaded| is_evictable(uses.get(*loaded), upstream, is_limited, (reason, now)))
        .map(|loaded| (eviction_cost(uses.get(loaded), is_limited, now), loaded))
        .collect();
    evictable.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
    for (eviction, victim) in evictable {
        if free >= model.memory {
            break;
        }
        // Adapters of the victim may free a little more memory, which is not counted.
        free = free + engine.models.get(victim)?.memory;
        cost_micros += eviction + UNLOAD_TIME.as_micros() as f64;
        victims.push(victim.clone());
    }
    let fits = free >= model.memory;
    fits.then(|| LoadOption { upstream: upstream.clone(), victims, is_from_store, cost_micros })
}

fn is_evictable(
    usage: Option<&ModelUse>,
    upstream: &UpstreamId,
    is_limited: bool,
    (reason, now): (LoadReason, MonoTime),
) -> bool {
    let Some(usage) = usage else { return true };
    if usage.running.contains_key(upstream) {
        return false;
    }
    let idle = now.since(usage.last_arrival);
    let copies = usage.copies_for_eviction(is_limited);
    match reason {
        LoadReason::Waiting => copies > 1 || (usage.waiting == 0 && idle > MIN_IDLE_FOR_EVICTION),
        LoadReason::ExtraCopy => {
            copies > usage.wanted || (usage.waiting == 0 && idle > MIN_IDLE_FOR_EXTRA_COPY)
        }
    }
}

fn eviction_cost(usage: Option<&ModelUse>, is_limited: bool, now: MonoTime) -> f64 {
    let Some(usage) = usage else { return 0.0 };
    let half_lives =
        now.since(usage.last_arrival).as_secs_f64() / EVICTION_COST_HALF_LIFE.as_secs_f64();
    let copies = usage.copies_for_eviction(is_limited).max(1) as f64;
    let delay = EVICTION_BASE_DELAY.as_micros() as f64;
    delay * (1.0 + usage.rate) * 0.5_f64.powf(half_lives) / (copies * copies)
}
