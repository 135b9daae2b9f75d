//! Cost of an idle replica compared with that of loading it again.

use gentian_core::{ByteSize, TimeSpan};

/// Seconds of one whole idle engine that cost as much as one second of waiting for a load.
const WAIT_WEIGHT: u64 = 60;

/// Compares the memory that an idle object takes up with the wait for loading it again.
///
/// An object is unloaded once its idle cost reaches the cost of one load. The total cost is then at
/// most twice that of the best choice made with knowledge of the next request.
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
        let micros = u128::from(self.load_time.as_micros() * WAIT_WEIGHT) * objects_per_engine;
        TimeSpan::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
