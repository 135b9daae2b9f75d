//! Cost of an idle replica compared with that of loading it again.

use gentian_core::{ByteSize, TimeSpan};

/// One second of waiting for a load costs as much as a whole engine that is idle for this many
/// seconds.
const IDLE_SECONDS_PER_WAIT_SECOND: u64 = 60;

/// Compares the memory that an idle object takes up with the wait for loading it again.
///
/// An object is unloaded once its idle cost reaches the cost of one load. The total cost is then at
/// most twice the optimum, which requires knowledge of the next request (ski rental problem).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleCost {
    /// Memory of the object.
    pub memory: ByteSize,
    /// Total memory of the engine.
    pub engine_memory: ByteSize,
    /// Time that loading the object takes.
    pub load_time: TimeSpan,
}

impl IdleCost {
    /// Returns the idle time after which the object is unloaded.
    pub fn break_even(&self) -> TimeSpan {
        let objects_per_engine =
            u128::from(self.engine_memory.get()) / u128::from(self.memory.get().max(1));
        let micros = u128::from(self.load_time.as_micros() * IDLE_SECONDS_PER_WAIT_SECOND)
            * objects_per_engine;
        TimeSpan::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
