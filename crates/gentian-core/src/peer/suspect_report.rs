//! Report of what may have made an upstream end.

use serde::{Deserialize, Serialize};

use super::{CrashReport, SuspicionGrade};
use crate::{RequestId, TimeSpan, UpstreamId, VmId, WorkId};

/// States that an upstream ended while it had a request of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// VM of the entry.
    pub vm: VmId,
    /// Identifies the request within the entry's process.
    pub request: RequestId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Time since the end of the upstream.
    pub age: TimeSpan,
    /// Time for which the upstream had had the request.
    pub running: TimeSpan,
    /// How likely the request is the cause.
    pub grade: SuspicionGrade,
    /// Parts of the request's prompt that other requests may share, in their order, then the request
    /// itself.
    pub works: Vec<WorkId>,
}

/// An entry of an earlier version knows no requests, only parts.
impl From<CrashReport> for SuspectReport {
    fn from(report: CrashReport) -> Self {
        let CrashReport { vm, upstream, age, grade, parts } = report;
        let (request, running) = (RequestId::default(), TimeSpan::ZERO);
        Self { vm, request, upstream, age, running, grade, works: parts }
    }
}
