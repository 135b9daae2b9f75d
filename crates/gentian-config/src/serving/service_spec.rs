//! Services: sets of interchangeable upstreams.

use gentian_core::{ServiceId, SlotCount, TimeSpan};

use super::EngineSpec;

/// A service whose upstreams register themselves.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub id: ServiceId,
    /// Connections that one upstream accepts from all entries together.
    pub connection_limit: SlotCount,
    /// Time after its start for which an upstream can handle only `cold_request_rate`.
    pub cold_duration: TimeSpan,
    /// Requests per second that a cold upstream can handle; zero if a cold start does not limit it.
    pub cold_request_rate: f64,
    /// Model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}
