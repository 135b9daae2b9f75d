//! The upstream that is selected for a request.

use std::net::SocketAddr;

use gentian_core::peer::UpstreamWork;
use gentian_core::{MonoTime, RequestRate, SoftwareVersion, TimeSpan, UpstreamId};

use super::SelectionEstimate;
use crate::streams::KnownStart;

/// Age up to which a selection is used. What allows it (a permit, a place at a cold upstream, that the
/// upstream isn't leaving) may have ended if the process was suspended since.
const MAX_AGE: TimeSpan = TimeSpan::from_secs(1);

/// The selected upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamPick {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// Version of its software, if it is known.
    pub version: Option<SoftwareVersion>,
    /// What was known of its start.
    pub start: KnownStart,
    /// Work of all entries there when it was selected.
    pub work: UpstreamWork,
    /// Number of available upstreams that have the target loaded.
    pub candidates: usize,
    /// Limit that the upstream names.
    pub limit: Option<RequestRate>,
    /// Estimate by which it was selected.
    pub estimate: SelectionEstimate,
    /// When it was selected.
    pub selected: MonoTime,
}

impl UpstreamPick {
    /// Returns whether a request may still be sent as selected.
    pub fn is_current(&self, now: MonoTime) -> bool {
        now.since(self.selected) <= MAX_AGE
    }
}
