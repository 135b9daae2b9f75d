//! Notices about work that may make upstreams end.

use serde::{Deserialize, Serialize};

use crate::{TimeSpan, VmId, WorkId};

/// States that answers to requests with certain work ended well.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServedNotice {
    /// The work, each with the time since the end of the last such answer.
    #[serde(rename = "parts")]
    pub works: Vec<(WorkId, TimeSpan)>,
}

/// States that requests with some work are refused from now on, or no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// The work.
    #[serde(rename = "part")]
    pub work: WorkId,
    /// Whether requests with it are refused.
    pub is_quarantined: bool,
}

/// States that a request with quarantined work is let through, to find out whether the work still does
/// harm. The other entries make no trial of it for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialNotice {
    /// The work.
    pub work: WorkId,
}

/// States that an entry is about to send a suspected request, or has sent it. The other entries hold
/// their copies back for a while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimNotice {
    /// VM of the entry.
    pub vm: VmId,
    /// The request.
    pub request: WorkId,
}

/// Asks another entry what is quarantined and suspected, since the sender has just started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspectQuery {
    /// VM of the sender.
    pub vm: VmId,
}
