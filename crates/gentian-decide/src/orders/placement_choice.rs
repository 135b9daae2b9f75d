//! Chooses the engine on which to load a model, and the models to unload for it.

use std::cmp::Ordering;

use gentian_config::serving::{CatalogueModel, EngineSpec};
use gentian_core::{ByteSize, FastMap, FastSet, ModelId, MonoTime, TimeSpan, UpstreamId};

use super::EngineTracker;
use super::confirmed_state::ConfirmedState;
use super::engine_tracker::UNLOAD_TIME;
use super::model_use::ModelUse;

/// Cost of evicting the only copy of a model that was just used, as a fraction of the time that it takes
/// to bring it back; it rises with the request rate and falls with the number of copies.
const EVICTION_RELOAD_FRACTION: f64 = 0.65;
/// Likelihood that a model is requested soon that has not been for long, as a fraction of that of a
/// model that was just used. It lets models make way first that are brought back from a disk.
const MIN_REQUEST_LIKELIHOOD: f64 = 0.02;
/// Idle time in which the cost of evicting a model halves.
const EVICTION_COST_HALF_LIFE: TimeSpan = TimeSpan::from_secs(3);
/// Idle time before the last copy of a model may be evicted for one that requests wait for.
const MIN_IDLE_FOR_EVICTION: TimeSpan = TimeSpan::from_millis(500);

/// Idle time before a needed copy of a model may be evicted for an extra copy of another one: longer
/// than the pauses between requests for a model in regular use.
const MIN_IDLE_FOR_EXTRA_COPY: TimeSpan = TimeSpan::from_secs(4);
/// Why a model is loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadReason {
    /// Requests wait for it.
    Waiting,
    /// Another copy spreads the requests or takes over after a crash.
    ExtraCopy,
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

impl LoadOption {
    /// Orders options by their cost.
    pub(super) fn compare(&self, other: &Self) -> Ordering {
        let by_cost = self.cost_micros.total_cmp(&other.cost_micros);
        by_cost.then_with(|| self.upstream.cmp(&other.upstream))
    }
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
        .filter_map(|loaded| Some((loaded, engine.models.get(loaded)?)))
        .map(|(loaded, spec)| (eviction_cost(uses.get(loaded), spec, is_limited, now), loaded))
        .collect();
    evictable.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
    for (eviction, victim) in evictable {
        if free >= model.memory {
            break;
        }
        let spec = engine.models.get(victim)?;
        let adapters = confirmed.loaded.get(victim).map_or(0, FastSet::len) as u64;
        free = free + spec.memory + ByteSize::new(spec.adapter_memory.get() * adapters);
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

/// Returns the cost of evicting `model` as a delay in microseconds.
fn eviction_cost(
    usage: Option<&ModelUse>,
    model: &CatalogueModel,
    is_limited: bool,
    now: MonoTime,
) -> f64 {
    let Some(usage) = usage else { return 0.0 };
    let half_lives =
        now.since(usage.last_arrival).as_secs_f64() / EVICTION_COST_HALF_LIFE.as_secs_f64();
    let copies = usage.copies_for_eviction(is_limited).max(1) as f64;
    let reload_time = match usage.is_stored {
        true => model.disk_load_time,
        false => model.store_load_time,
    };
    let delay = reload_time.as_micros() as f64 * EVICTION_RELOAD_FRACTION;
    let likelihood = 0.5_f64.powf(half_lives).max(MIN_REQUEST_LIKELIHOOD);
    delay * (1.0 + usage.rate) * likelihood / (copies * copies)
}
