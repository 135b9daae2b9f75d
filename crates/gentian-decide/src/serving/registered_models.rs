//! Which resident models entries know from the registrations of their engines.

use gentian_core::peer::{ResidentModels, TargetId};
use gentian_core::{FastMap, FastSet, StoreRevision, UpstreamId};

use super::{EngineModels, RevisedMap, UpstreamRegistration};

#[derive(Debug)]
struct RegisteredRow {
    incarnation: u64,
    models: EngineModels,
    /// Revision of the key-value service at which these models were first seen registered.
    since: StoreRevision,
    /// Whether the hub's row of resident models has the same.
    is_resident: bool,
}

/// What the registrations of engines say of their models; at most one row for each registration.
#[derive(Debug, Default)]
pub(super) struct RegisteredModels {
    rows: FastMap<UpstreamId, RegisteredRow>,
}

impl RegisteredModels {
    /// Replaces all rows by those of a list, and compares them with the resident models.
    pub(super) fn update(
        &mut self,
        registrations: &[UpstreamRegistration],
        resident_models: &RevisedMap<UpstreamId, ResidentModels>,
    ) {
        let mut known = std::mem::take(&mut self.rows);
        for registration in registrations {
            let Some(models) = &registration.models else { continue };
            let same = known.remove(&registration.id).filter(|row| {
                row.incarnation == registration.incarnation && row.models.loaded == models.loaded
            });
            let resident = resident_models.get(&registration.id);
            let row = RegisteredRow {
                incarnation: registration.incarnation,
                since: same.map_or(registration.revision, |row| row.since),
                is_resident: resident
                    .is_some_and(|row| is_same(row, registration.incarnation, models)),
                models: models.clone(),
            };
            self.rows.insert(registration.id.clone(), row);
        }
    }

    /// Records that the resident models of an engine have changed.
    pub(super) fn record_change(&mut self, row: &ResidentModels) {
        if let Some(registered) = self.rows.get_mut(&row.upstream) {
            registered.is_resident = is_same(row, registered.incarnation, &registered.models);
        }
    }

    /// Returns since which revision the resident models of an engine have been registered, if they are.
    pub(super) fn since(&self, upstream: &UpstreamId) -> Option<StoreRevision> {
        self.rows.get(upstream).filter(|row| row.is_resident).map(|row| row.since)
    }
}

fn is_same(row: &ResidentModels, incarnation: u64, models: &EngineModels) -> bool {
    let registered = models.loaded.iter().flat_map(|model| {
        let base = TargetId::new(model.id.clone());
        let adapters = model
            .adapters
            .iter()
            .map(|adapter| TargetId::new(model.id.clone()).with_adapter(Some(adapter.clone())));
        std::iter::once(base).chain(adapters.collect::<Vec<_>>())
    });
    let registered: FastSet<TargetId> = registered.collect();
    row.incarnation == incarnation
        && row.in_transition.is_none()
        && row.loaded.len() == registered.len()
        && row.loaded.iter().all(|target| registered.contains(target))
}
