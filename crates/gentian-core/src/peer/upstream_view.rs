//! State of an upstream as known to the holder of the placement seat.

use serde::{Deserialize, Serialize};

use super::TargetId;
use crate::{BootId, SequenceNumber, UpstreamId};

/// Phase of an object on an engine.
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
    /// The object.
    pub target: TargetId,
    /// Phase of the object.
    pub phase: ObjectPhase,
}

/// State of an upstream as sent to entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Revision of the view in which this state last changed.
    pub revision: SequenceNumber,
    /// Start of the upstream; `None` while it does not answer.
    pub boot: Option<BootId>,
    /// Objects that occupy memory.
    pub objects: Vec<ObjectView>,
    /// Whether the platform lists the VM of the upstream as leaving.
    pub is_leaving: bool,
}
