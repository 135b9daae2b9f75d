//! Limits of the weight store.

use gentian_config::FleetSpec;
use gentian_core::MonoTime;
use gentian_core::peer::TargetId;

/// Lets loads through as fast as the weight store serves them at full speed.
#[derive(Clone, Copy, Debug)]
pub struct LoadLimiter {
    model_started: MonoTime,
}

impl LoadLimiter {
    /// Creates a gate through which nothing has passed.
    pub const fn new() -> Self {
        Self { model_started: MonoTime::ORIGIN }
    }

    /// Lets the load of `target` through, if fewer than the limit are open and the last model load
    /// started long enough ago.
    pub fn pass(
        &mut self,
        target: &TargetId,
        open_loads: usize,
        fleet: &FleetSpec,
        now: MonoTime,
    ) -> bool {
        if target.adapter.is_some() {
            return open_loads < fleet.adapter_loads;
        }
        let is_spaced = now.since(self.model_started) >= fleet.load_interval;
        if open_loads >= fleet.model_loads || !is_spaced {
            return false;
        }
        self.model_started = now;
        true
    }
}

impl Default for LoadLimiter {
    fn default() -> Self {
        Self::new()
    }
}
