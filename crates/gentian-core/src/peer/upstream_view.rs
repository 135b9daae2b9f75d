//! State of an upstream as known to the holder of the placement seat.

use serde::{Deserialize, Serialize};

use super::TargetId;
use crate::{BootId, SequenceNumber, UpstreamId};

/// Phase of a model or adapter on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObjectPhase {
    /// A load is ordered or in progress.
    Loading,
    /// Ready for requests.
    Loaded,
    /// Being unloaded.
    Unloading,
}

/// A model or adapter on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectView {
    /// The model or adapter.
    pub target: TargetId,
    /// Its phase.
    pub phase: ObjectPhase,
}

/// State of an upstream as sent to entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Revision of the view in which this state last changed.
    pub revision: SequenceNumber,
    /// Boot id of the upstream; `None` while it does not reply.
    pub boot: Option<BootId>,
    /// Models and adapters that occupy memory.
    pub objects: Vec<ObjectView>,
    /// Whether the platform's list of VMs marks the VM of the upstream as leaving.
    pub is_leaving: bool,
}
