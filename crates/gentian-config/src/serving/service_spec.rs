//! Services: sets of interchangeable upstreams.

use gentian_core::{ServiceId, SlotCount, TimeSpan};

use super::EngineSpec;

/// A service whose upstreams register themselves.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub id: ServiceId,
    /// Connections that one upstream accepts from all callers together.
    pub connection_limit: SlotCount,
    /// Time for which a fresh upstream bears only `cold_request_rate`.
    pub cold_duration: TimeSpan,
    /// Requests a second that a cold upstream bears; zero if cold upstreams need no care.
    pub cold_request_rate: f64,
    /// Model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}
