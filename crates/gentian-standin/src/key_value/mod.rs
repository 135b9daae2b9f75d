//! State of the key-value service stand-in.

mod memory_store;

pub(crate) use memory_store::MemoryStore;
