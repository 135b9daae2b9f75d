//! Limits on loads from the weight store.

use gentian_config::FleetSpec;
use gentian_core::MonoTime;
use gentian_core::peer::TargetId;

/// Limits loads to the number and rate that the weight store can serve at full speed.
#[derive(Clone, Copy, Debug)]
pub struct LoadLimiter {
    last_model_start: MonoTime,
}

impl LoadLimiter {
    /// Creates a limiter without any load so far.
    pub const fn new() -> Self {
        Self { last_model_start: MonoTime::ORIGIN }
    }

    /// Returns whether the load of `target` may start now, and records the start of a model load.
    ///
    /// A load may start while fewer loads of its kind than the limit are in progress. For a
    /// model, the load interval must also have passed since the last model load started.
    pub fn acquire_load(
        &mut self,
        target: &TargetId,
        running_loads: usize,
        fleet: &FleetSpec,
        now: MonoTime,
    ) -> bool {
        if target.adapter.is_some() {
            return running_loads < fleet.max_adapter_loads;
        }
        let has_interval_passed = now.since(self.last_model_start) >= fleet.load_interval;
        if running_loads >= fleet.max_model_loads || !has_interval_passed {
            return false;
        }
        self.last_model_start = now;
        true
    }
}

impl Default for LoadLimiter {
    fn default() -> Self {
        Self::new()
    }
}
