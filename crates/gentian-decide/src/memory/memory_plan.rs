//! Division of a VM's memory. Load pattern: as many connections as are allowed, each with a body.

use gentian_core::ByteSize;

/// Memory that a process needs without callers: 32 MB for control are required at 370 entries.
const REST_MEMORY: ByteSize = ByteSize::from_mib(32);
/// Percentage of the memory that callers' connections may need at most; few of them need all of theirs.
const CONNECTION_PERCENT: u64 = 50;
/// Percentage of what a process leaves for buffered bodies.
const BUFFER_PERCENT: u64 = 40;
/// Memory that an open connection may need: its thread, its head, what it has read and the kernel's
/// receive buffer.
const CONNECTION_MEMORY: ByteSize = ByteSize::new(150_000);

/// How the memory of a VM is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// For bodies of requests and responses and for queued events.
    pub buffers: ByteSize,
    /// Number of callers' connections for which there is memory, at least one.
    pub connections: usize,
}

impl MemoryPlan {
    /// Divides the memory of a VM.
    pub fn new(memory: ByteSize) -> Self {
        let rest = REST_MEMORY.min(ByteSize::new(memory.get() / 2));
        let left = memory.saturating_sub(rest).get();
        let connections = memory.get() / 100 * CONNECTION_PERCENT / CONNECTION_MEMORY.get();
        Self {
            buffers: ByteSize::new(left / 100 * BUFFER_PERCENT),
            connections: usize::try_from(connections).unwrap_or(usize::MAX).max(1),
        }
    }
}
