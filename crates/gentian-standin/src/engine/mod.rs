//! State of the model engine stand-in.

mod engine_memory;
mod engine_slots;

pub(crate) use engine_memory::{EngineMemory, OrderRefusal};
pub(crate) use engine_slots::EngineSlots;
