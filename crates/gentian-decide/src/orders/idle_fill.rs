//! What engines load before the first request. Load pattern: a fleet that starts some seconds before its
//! traffic, with free memory on some engines and nothing known of demand but what their disks hold.

use std::cmp::Reverse;

use gentian_config::serving::EngineSpec;
use gentian_core::{ByteSize, FastMap, ModelId, UpstreamId};

use super::confirmed_state::ConfirmedState;

/// Engines that must hold a model before it gets a second copy: those that many hold were requested
/// most, and a model that one or two hold says little.
const MIN_HOLDERS_FOR_SECOND_COPY: usize = 3;

/// How many engines hold a model.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HeldModel {
    /// Engines that have loaded it or are loading it.
    pub(super) copies: usize,
    /// Engines that have it loaded, on disk or in host memory.
    pub(super) holders: usize,
}

/// Counts the engines that hold each model.
pub(super) fn count_holders<'a>(
    states: impl Iterator<Item = (&'a ConfirmedState, Option<&'a ModelId>)>,
) -> FastMap<ModelId, HeldModel> {
    let mut held: FastMap<ModelId, HeldModel> = FastMap::default();
    for (state, loading) in states {
        for model in state.loaded.keys().chain(loading) {
            held.entry(model.clone()).or_default().copies += 1;
        }
        let stored = state.on_disk.iter().chain(&state.in_host_memory);
        let mut models: Vec<&ModelId> = stored.chain(state.loaded.keys()).collect();
        models.sort();
        models.dedup();
        for model in models {
            held.entry(model.clone()).or_default().holders += 1;
        }
    }
    held
}

/// Returns what engines that accept orders load into their free memory, at most one model each.
pub(super) fn select_fills(
    mut engines: Vec<(UpstreamId, &ConfirmedState, ByteSize)>,
    engine: &EngineSpec,
    mut held: FastMap<ModelId, HeldModel>,
) -> Vec<(UpstreamId, ModelId)> {
    engines.sort_by(|a, b| a.0.cmp(&b.0));
    let mut fills = Vec::new();
    for (upstream, state, free) in engines {
        if let Some(model) = select_fill(state, free, engine, &held) {
            held.entry(model.clone()).or_default().copies += 1;
            fills.push((upstream, model));
        }
    }
    fills
}

/// Returns the model that an engine loads from its own disk or host memory into `free` memory: one
/// that no engine has loaded, or a second copy of one that many hold; the one that most hold first.
fn select_fill(
    state: &ConfirmedState,
    free: ByteSize,
    engine: &EngineSpec,
    held: &FastMap<ModelId, HeldModel>,
) -> Option<ModelId> {
    let counts = |model: &ModelId| held.get(model).copied().unwrap_or_default();
    let fits = |model: &&ModelId| {
        let spec = engine.models.get(*model);
        !state.loaded.contains_key(*model) && spec.is_some_and(|spec| spec.memory <= free)
    };
    let is_wanted = |model: &&ModelId| {
        let HeldModel { copies, holders } = counts(model);
        copies == 0 || (copies == 1 && holders >= MIN_HOLDERS_FOR_SECOND_COPY)
    };
    let stored = state.in_host_memory.iter().chain(&state.on_disk);
    let wanted = stored.filter(fits).filter(is_wanted);
    let best = wanted.max_by_key(|model| {
        let HeldModel { copies, holders } = counts(model);
        (copies == 0, holders, Reverse((*model).clone()))
    });
    best.cloned()
}
