//! Status report of an upstream.

use gentian_core::peer::{ObjectPhase, TargetId};
use gentian_core::{BootId, ByteSize, UpstreamId};

/// A model or adapter that takes up memory of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedObject {
    /// The model or adapter.
    pub target: TargetId,
    /// Its phase.
    pub phase: ObjectPhase,
    /// Memory that it takes up.
    pub memory: ByteSize,
}

/// Status of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Boot id of its current start.
    pub boot: BootId,
    /// Total memory for models and adapters.
    pub memory_total: ByteSize,
    /// Memory in use, as counted by the upstream itself.
    pub memory_used: ByteSize,
    /// Models and adapters that take up memory.
    pub objects: Vec<ReportedObject>,
}
