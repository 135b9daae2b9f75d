//! Routes to services.

use gentian_core::{RouteId, ServiceId, TimeSpan};

/// Which requests of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Requests may run more than once.
    Safe,
    /// Requests run at most once.
    Unsafe,
    /// Requests are answered by an event stream; it may go on at another upstream if `is_resumable`,
    /// and runs at most once otherwise.
    Stream {
        /// Whether a stream may go on behind its last event.
        is_resumable: bool,
    },
}

impl RetrySafety {
    /// Tells whether a request may be sent again although it may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { is_resumable: true })
    }

    /// Tells whether answers are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Part of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceWeight {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the services of the route.
    pub weight: u32,
}

/// A route: host and path prefix, and the services behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingRoute {
    /// Name of the route.
    pub id: RouteId,
    /// Host that callers name.
    pub host: String,
    /// Prefix of the path; it begins and ends with a slash.
    pub path_prefix: String,
    /// Which requests may run more than once.
    pub kind: RetrySafety,
    /// Longest time from the arrival of a request to the end of its answer.
    pub timeout: TimeSpan,
    /// Time within which the first byte of an answer is on time.
    pub target_latency: TimeSpan,
    /// Upstreams to which one request may be sent.
    pub max_attempts: u32,
    /// Rank of the requests, 0 first.
    pub priority: u8,
    /// Services that serve the route; at least one.
    pub services: Vec<ServiceWeight>,
    /// Whether requests need no key.
    pub allows_anonymous: bool,
}

impl ServingRoute {
    /// Returns the service for a request with this number, by weight.
    pub fn choose_service(&self, number: u64) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|part| u64::from(part.weight)).sum();
        let mut rest = number.checked_rem(total).unwrap_or(0);
        for part in &self.services {
            let weight = u64::from(part.weight);
            if rest < weight {
                return Some(&part.service);
            }
            rest -= weight;
        }
        self.services.first().map(|part| &part.service)
    }
}
