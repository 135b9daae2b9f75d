//! Outcome of the selection of an upstream.

use gentian_core::MonoTime;

use super::{LimitedCapacity, UpstreamPick};

/// Outcome of a selection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PickOutcome {
    /// The request goes to this upstream.
    Send(UpstreamPick),
    /// Upstreams ended under other copies of the request, and another one is tried first.
    HeldBack,
    /// No available upstream has the version that began the stream.
    VersionGone,
    /// Upstreams of the version that began the stream are registered, but they may have started again.
    Uncertain,
    /// No available upstream has the target loaded.
    NotLoaded,
    /// The upstreams that have it loaded accept no more requests from this entry now.
    Full,
    /// The best of them names a limit, and the hub has not granted or denied a permit yet.
    AwaitsPermit,
    /// All of them name limits that are used up.
    Limited(LimitedCapacity),
    /// The upstreams that have it loaded turn requests of this entry away until this time at least.
    Paused(MonoTime),
    /// No upstream of the service is available.
    NoUpstream,
}
