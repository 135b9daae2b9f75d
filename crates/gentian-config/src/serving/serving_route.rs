//! Routes to services.

use gentian_core::{RouteId, ServiceId, TimeSpan};

/// Form of a route's responses, and which of its requests may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Requests may run more than once.
    Safe,
    /// Requests run at most once.
    Unsafe,
    /// The response is an event stream. It may continue at another upstream if
    /// `is_resumable`; otherwise the request runs at most once.
    Stream {
        /// Whether a stream may continue after its last event.
        is_resumable: bool,
    },
}

impl RetrySafety {
    /// Returns whether a request may be sent again even if it may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { is_resumable: true })
    }

    /// Returns whether responses are event streams that another upstream may go on with.
    pub fn is_resumable(self) -> bool {
        matches!(self, Self::Stream { is_resumable: true })
    }

    /// Returns whether responses are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Weight of a service among those of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceWeight {
    /// The service.
    pub service: ServiceId,
    /// Weight; the service gets its fraction of the sum of all weights of the route.
    pub weight: u32,
}

/// A route: host and path prefix, and the services behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingRoute {
    /// Name of the route.
    pub id: RouteId,
    /// Host in callers' requests.
    pub host: String,
    /// Prefix of the path; it begins and ends with a slash.
    pub path_prefix: String,
    /// Form of the responses, and which requests may run more than once.
    pub kind: RetrySafety,
    /// Longest time from the arrival of a request to the end of its response.
    pub timeout: TimeSpan,
    /// Target time to the first byte of a response.
    pub target_latency: TimeSpan,
    /// Time without an event, also before the first one, after which callers abandon a stream.
    pub abandon_time: TimeSpan,
    /// Maximum number of attempts of one request that upstreams may have executed. Attempts that
    /// were not executed do not count here, but the gateway also limits the number of all attempts.
    pub max_attempts: u32,
    /// Priority of the requests, 0 is the highest.
    pub priority: u8,
    /// Services that serve the route.
    /// [`ServingConfig::check_references`](super::ServingConfig::check_references) reports a route
    /// that has none.
    pub services: Vec<ServiceWeight>,
    /// Whether requests need no key.
    pub allows_anonymous: bool,
}

impl ServingRoute {
    /// Returns whether requests of the route may go to this service.
    pub fn has_service(&self, service: &ServiceId) -> bool {
        self.services.iter().any(|item| item.service == *service)
    }

    /// Returns the service for the request with this id, chosen by weight.
    pub fn choose_service(&self, request_id: u64) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|item| u64::from(item.weight)).sum();
        let mut rest = request_id.checked_rem(total).unwrap_or(0);
        for item in &self.services {
            let weight = u64::from(item.weight);
            if rest < weight {
                return Some(&item.service);
            }
            rest -= weight;
        }
        self.services.first().map(|item| &item.service)
    }
}
