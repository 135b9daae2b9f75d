//! Figures of the placement, for metrics.

use super::StoreLoadLimiter;
use super::fleet_planner::ModelUses;

/// Copies and loads as of the last check for further copies, over all services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementFigures {
    /// Copies that the models with requests need.
    pub wanted_copies: usize,
    /// Copies of these models that engines have loaded or are loading, at most those that are needed.
    pub present_copies: usize,
    /// Loads that the weight store is taken to serve at full speed.
    pub store_places: usize,
    /// Running loads from the weight store.
    pub store_loads: usize,
    /// Loads that wait for a place at the weight store.
    pub store_queue: usize,
}

impl PlacementFigures {
    /// Adds the copies of the models of one service.
    pub(super) fn add_models(&mut self, models: &ModelUses) {
        for usage in models.values().filter(|usage| usage.is_in_use()) {
            self.wanted_copies += usage.wanted;
            self.present_copies += usage.copies.min(usage.wanted);
        }
    }

    /// Sets the places of the weight store.
    pub(super) fn update_store(&mut self, limiter: &StoreLoadLimiter) {
        self.store_places = limiter.max_concurrent();
        self.store_loads = limiter.open_count();
    }
}
