//! Order of the loads from the weight store, which serves few at a time. Load pattern: a model that
//! needs a further copy while many rarely used models are requested that no engine has loaded.

use gentian_config::serving::EngineSpec;
use gentian_core::{ModelId, MonoTime, TimeSpan};

use super::EngineTracker;

/// Time, in units of a load from the weight store, for which an order of an earlier holder may be one.
const UNKNOWN_LOAD_FACTOR: u64 = 2;

/// Why a load wants a place at the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LoadClass {
    /// No engine has loaded the model, and requests wait for it.
    Missing,
    /// The model has a single copy and needs a second one, or its copies don't keep up.
    Overloaded,
    /// The copies of the model bear its requests; a further one would relieve them, or take over after the
    /// loss of one.
    Spare,
}

/// A load that wants a place.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct WantedPlace {
    pub(super) model: ModelId,
    pub(super) class: LoadClass,
    /// Number of requests that will be served in time thanks to the load.
    pub(super) worth: f64,
}

/// Returns how many engines may be executing loads from the weight store that an earlier holder ordered.
pub(super) fn count_unknown_loads<'a>(
    trackers: impl Iterator<Item = &'a EngineTracker>,
    engine: &EngineSpec,
    now: MonoTime,
) -> usize {
    let load_times = engine.models.values().map(|model| model.store_load_time);
    let limit = load_times.max().unwrap_or(TimeSpan::ZERO) * UNKNOWN_LOAD_FACTOR;
    trackers.filter(|tracker| tracker.is_busy_unknown(limit, now)).count()
}

/// Returns the loads that may start, given the classes of the running ones, the number of places and
/// the class of the load that was started last.
///
/// Within a class, the load that is worth most goes first. While both missing models and further copies
/// want a place, neither class takes the last one, so that neither waits for longer than one load; if
/// there is only one place, they alternate. A spare copy starts only if it leaves a place free.
pub(super) fn select_loads(
    mut wanted: Vec<WantedPlace>,
    mut open: Vec<LoadClass>,
    places: usize,
    mut last: Option<LoadClass>,
) -> Vec<WantedPlace> {
    wanted.sort_by(|a, b| b.worth.total_cmp(&a.worth).then_with(|| a.model.cmp(&b.model)));
    let mut selected = Vec::new();
    while open.len() < places {
        let is_wanted = |class| wanted.iter().any(|it| it.class == class);
        let may_start = |class| {
            let other = match class {
                LoadClass::Missing => LoadClass::Overloaded,
                LoadClass::Overloaded => LoadClass::Missing,
                LoadClass::Spare => return open.len() + 1 < places || open.is_empty(),
            };
            let same = open.iter().filter(|it| **it == class).count();
            let yields = if places == 1 { last == Some(class) } else { same + 1 >= places };
            !(yields && is_wanted(other))
        };
        let has_urgent = is_wanted(LoadClass::Missing) || is_wanted(LoadClass::Overloaded);
        let next = wanted
            .iter()
            .position(|it| (it.class != LoadClass::Spare || !has_urgent) && may_start(it.class));
        let Some(next) = next else { break };
        let load = wanted.remove(next);
        open.push(load.class);
        last = Some(load.class);
        selected.push(load);
    }
    selected
}
