//! Report of an upstream that ended, as entries of earlier versions send it.

use serde::{Deserialize, Serialize};

use crate::{TimeSpan, UpstreamId, VmId, WorkId};

/// How likely a request is the cause of the end of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SuspicionGrade {
    /// The request may not have begun to run, or its answer had been under way.
    Weak,
    /// The answer had just begun: its head had arrived and nothing of its body.
    Strong,
}

/// States that an upstream ended while it had a request of an entry. A [`SuspectReport`](super::SuspectReport) has replaced it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// VM of the entry.
    pub vm: VmId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Time since the end of the upstream.
    pub age: TimeSpan,
    /// How likely the request is the cause.
    pub grade: SuspicionGrade,
    /// Parts of the request's prompt that other requests may share, in their order.
    pub parts: Vec<WorkId>,
}
