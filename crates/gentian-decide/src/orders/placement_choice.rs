//! Where a model is best loaded, and what makes room for it.

use gentian_config::serving::{CatalogueModel, EngineSpec};
use gentian_core::{FastMap, ModelId, MonoTime, TimeSpan, UpstreamId};

use super::EngineTracker;
use super::known_state::KnownState;

/// Time that an unload before a load takes.
const UNLOAD_TIME: TimeSpan = TimeSpan::from_millis(150);
/// Delay by which the loss of a model that was just used counts.
const EVICTION_DELAY: TimeSpan = TimeSpan::from_millis(800);
/// Idle time after which the loss of a model counts half as much.
const IDLE_HALF: TimeSpan = TimeSpan::from_secs(3);
/// Time after its last use for which a model is not unloaded.
const USE_GUARD: TimeSpan = TimeSpan::from_millis(500);

/// Time after the last use of a model for which a copy that its use needs does not make way for a
/// spare copy of another one: longer than a model that is asked for again and again stays idle.
const SPARE_GUARD: TimeSpan = TimeSpan::from_secs(4);
/// Requests that would wait for a load from disk from which a model gets a second copy, so that a
/// crash does not stop it.
const SPARE_WAITERS: f64 = 1.0;
/// Part of an engine's slots in use from which a model, or an adapter, gets a further copy.
pub(super) const FULL_PART: f64 = 0.12;

/// Why a model is loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadReason {
    /// Requests wait for it.
    Waiting,
    /// A further copy spreads the load, or stands in after a crash.
    Spare,
}

/// Use of a model, with all its adapters, over all entries.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelUse {
    /// Requests that wait.
    pub(super) waiting: u32,
    /// Requests that run, by upstream.
    pub(super) running: FastMap<UpstreamId, u32>,
    /// Requests a second.
    pub(super) rate: f64,
    /// When a request last came.
    pub(super) last: MonoTime,
    /// Engines that hold or load it.
    pub(super) copies: usize,
    /// Engines that its use needs.
    pub(super) wanted: usize,
}

impl ModelUse {
    /// Returns the requests that each copy has to bear.
    pub(super) fn requests_per_copy(&self) -> f64 {
        self.requests() / self.copies.max(1) as f64
    }

    fn requests(&self) -> f64 {
        f64::from(self.running.values().sum::<u32>() + self.waiting)
    }

    /// Returns on how many engines like `engine` the use of `model` needs a copy.
    pub(super) fn wanted_copies(&self, model: &ModelId, engine: &EngineSpec) -> usize {
        let reload = engine.models.get(model).map_or(TimeSpan::ZERO, |spec| spec.disk_load_time);
        let waiters = self.rate * reload.as_secs_f64();
        let spare = usize::from(waiters >= SPARE_WAITERS);
        let slots = engine.batch_slots.get().max(1) as f64;
        let full = (self.requests() / (slots * FULL_PART)) as usize;
        1 + spare + full
    }
}

/// A way to load a model on one engine.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LoadOption {
    /// The engine.
    pub(super) upstream: UpstreamId,
    /// Models to unload first, least useful first.
    pub(super) victims: Vec<ModelId>,
    /// Whether the weights come from the weight store.
    pub(super) is_from_store: bool,
    /// Expected delay in microseconds, with what the unloads cost others.
    pub(super) cost: f64,
}

/// Returns how long `lane` takes to load `model`, and whether from the weight store.
pub(super) fn load_time(known: &KnownState, model: &CatalogueModel) -> (TimeSpan, bool) {
    if known.in_host.contains(&model.id) {
        (model.host_load_time, false)
    } else if known.on_disk.contains(&model.id) {
        (model.disk_load_time, false)
    } else {
        (model.store_load_time, true)
    }
}

/// Finds the way to load `model` on `lane`, now or once it is free; `None` if no room can be made.
pub(super) fn find_option(
    lane: &EngineTracker,
    upstream: &UpstreamId,
    model: &CatalogueModel,
    engine: &EngineSpec,
    uses: &FastMap<ModelId, ModelUse>,
    (reason, now): (LoadReason, MonoTime),
) -> Option<LoadOption> {
    let known = lane.known()?;
    let (time, is_from_store) = load_time(known, model);
    let mut free = lane.free_memory(engine);
    let mut cost = (time + lane.time_to_free(now)).as_micros() as f64;
    let mut victims = Vec::new();
    let mut held: Vec<(f64, &ModelId)> = known
        .loaded
        .keys()
        .filter(|held| is_evictable(uses.get(*held), upstream, reason, now))
        .map(|held| (eviction_cost(uses.get(held), now), held))
        .collect();
    held.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
    for (loss, victim) in held {
        if free >= model.memory {
            break;
        }
        // Adapters of the victim may free a little more; that is not counted on.
        free = free + engine.models.get(victim)?.memory;
        cost += loss + UNLOAD_TIME.as_micros() as f64;
        victims.push(victim.clone());
    }
    let has_room = free >= model.memory;
    has_room.then(|| LoadOption { upstream: upstream.clone(), victims, is_from_store, cost })
}

fn is_evictable(
    usage: Option<&ModelUse>,
    upstream: &UpstreamId,
    reason: LoadReason,
    now: MonoTime,
) -> bool {
    let Some(usage) = usage else { return true };
    if usage.running.contains_key(upstream) {
        return false;
    }
    let idle = now.since(usage.last);
    match reason {
        LoadReason::Waiting => usage.copies > 1 || (usage.waiting == 0 && idle > USE_GUARD),
        LoadReason::Spare => {
            usage.copies > usage.wanted || (usage.waiting == 0 && idle > SPARE_GUARD)
        }
    }
}

fn eviction_cost(usage: Option<&ModelUse>, now: MonoTime) -> f64 {
    let Some(usage) = usage else { return 0.0 };
    let halves = now.since(usage.last).as_secs_f64() / IDLE_HALF.as_secs_f64();
    let copies = usage.copies.max(1) as f64;
    let delay = EVICTION_DELAY.as_micros() as f64;
    delay * (1.0 + usage.rate) * 0.5_f64.powf(halves) / (copies * copies)
}
