//! What replays of observed loads add to the simulated fleet: a weight store with few places at full
//! speed, prompts that share their beginning, copies on disks, and engines that leave.

use std::sync::Arc;

use gentian_core::{TimeSpan, UpstreamId};
use gentian_decide::orders::{FleetPlanner, PlacementFigures};
use gentian_decide::serving::FleetHub;

use super::{EngineFleet, HUB, LoadRecord, START, TICK, config, model, upstream};

impl EngineFleet {
    /// Sets the number of loads that the weight store serves at full speed.
    pub(crate) fn with_store_concurrency(self, store_concurrency: usize) -> Self {
        Self { store_concurrency, ..self }
    }

    /// Sets the number of tokens at the beginning of a prompt that an engine reads once for a model.
    pub(crate) fn with_shared_tokens(self, shared_tokens: f64) -> Self {
        Self { shared_tokens, ..self }
    }

    /// Leaves `loaded` of the loaded models on each engine; the others stay on its disk.
    pub(crate) fn with_free_memory(mut self, loaded: usize) -> Self {
        for engine in self.engines.values_mut() {
            while engine.loaded.len() > loaded {
                engine.loaded.pop_last();
            }
        }
        self
    }

    /// Sets the memory that an adapter takes.
    pub(crate) fn with_adapter_bytes(mut self, models: usize, adapter_bytes: u64) -> Self {
        let config = config(models, adapter_bytes);
        self.planner.update(Arc::clone(&config));
        self.table.update(config);
        self.engines.values_mut().for_each(|engine| engine.adapter_bytes = adapter_bytes);
        self
    }

    /// Leaves `copies` copies of a model on disks of engines that have not loaded it.
    pub(crate) fn with_disk_copies(mut self, number: usize, copies: usize) -> Self {
        let target = model(number);
        let mut left = copies;
        for engine in self.engines.values_mut().filter(|it| !it.loaded.contains_key(&target)) {
            engine.on_disk.retain(|other| *other != target);
            if left > 0 {
                left -= 1;
                engine.on_disk.push(target.clone());
            }
        }
        self
    }

    /// Has every load of a model fail.
    pub(crate) fn with_failing_loads(mut self, number: usize) -> Self {
        let engines = self.engines.values_mut();
        engines.for_each(|engine| engine.failing.extend([model(number)]));
        self
    }

    /// Has an engine execute an order that no hub knows of, for `span`.
    pub(crate) fn with_unknown_order(mut self, number: usize, span: TimeSpan) -> Self {
        let engine = self.engines.get_mut(&upstream(number));
        engine.into_iter().for_each(|engine| engine.start_unknown_order(span, START));
        self
    }

    /// Has every engine refuse all loads of adapters.
    pub(crate) fn with_refused_adapters(mut self) -> Self {
        self.engines.values_mut().for_each(|engine| engine.refuses_adapters = true);
        self
    }

    /// Returns the figures of the placement.
    pub(crate) fn figures(&self) -> PlacementFigures {
        self.planner.figures()
    }

    /// Replaces the hub by one that knows nothing of its orders.
    pub(crate) fn replace_hub(&mut self, models: usize) {
        self.planner = FleetPlanner::new(config(models, 0), TimeSpan::from_secs(5));
        self.planner.update_engines(&self.table, self.now);
        self.hub = FleetHub::new(HUB);
    }

    /// Removes the weights of models from all disks.
    pub(crate) fn without_disk_copies(mut self, numbers: impl Iterator<Item = usize>) -> Self {
        let removed: Vec<_> = numbers.map(model).collect();
        for engine in self.engines.values_mut() {
            engine.on_disk.retain(|other| !removed.contains(other));
        }
        self
    }

    /// Has an engine announce that it leaves after `remaining`.
    pub(crate) fn drain(&mut self, number: usize, remaining: TimeSpan) {
        self.draining.insert(upstream(number), self.now + remaining);
    }

    /// Returns the accepted loads of a model.
    pub(crate) fn loads_of(&self, number: usize) -> Vec<&LoadRecord> {
        let target = model(number);
        self.loads.iter().filter(|load| load.model == target).collect()
    }

    /// Returns the time since the start of the simulation.
    pub(crate) fn elapsed(&self) -> TimeSpan {
        self.now.since(START)
    }

    /// Removes the engines that have left; their requests count as refused.
    pub(super) fn remove_drained(&mut self) {
        let is_gone =
            |upstream: &UpstreamId| self.draining.get(upstream).is_some_and(|end| *end <= self.now);
        let gone: Vec<UpstreamId> = self.engines.keys().filter(|id| is_gone(id)).cloned().collect();
        for id in gone {
            let Some(engine) = self.engines.remove(&id) else { continue };
            for request in engine.requests {
                if let Some(open) = self.open.remove(&request.id) {
                    self.counts[open.kind].refused += u32::from(!request.has_first_token);
                }
                let outcome = gentian_decide::serving::AttemptOutcome::Broken;
                self.scheduler.end_attempt(request.id, outcome, &mut self.table, self.now);
            }
        }
    }

    /// Slows the loads from the weight store down if there are more than it serves at full speed.
    pub(super) fn share_store(&mut self) {
        let loading = self.engines.values().filter(|it| it.is_loading_from_store()).count();
        self.max_store_loads = self.max_store_loads.max(loading);
        if loading <= self.store_concurrency {
            return;
        }
        let delay = TICK * (1.0 - self.store_concurrency as f64 / loading as f64);
        let engines = self.engines.values_mut();
        engines.filter(|it| it.is_loading_from_store()).for_each(|it| it.delay_order(delay));
    }
}
