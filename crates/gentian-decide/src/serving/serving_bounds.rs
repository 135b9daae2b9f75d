//! Bounds that the operators guarantee to their users.

use gentian_core::{TimeSpan, TokenCount};

/// Guaranteed bounds, taken from the settings of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingBounds {
    /// Retries allowed per request.
    pub budget_ratio: f64,
    /// Retries allowed within `budget_window` beyond that ratio, over all entries.
    pub budget_extra: f64,
    /// Window in which retries are counted.
    pub budget_window: TimeSpan,
    /// Window in which the use of an organisation is counted.
    pub quota_window: TimeSpan,
    /// Fraction by which an organisation may exceed its rate and burst in a window, 0.1 for 10
    /// percent.
    pub quota_overshoot: f64,
    /// Tokens by which an organisation may exceed its rate and burst in a window beyond
    /// `quota_overshoot`.
    pub quota_slack: TokenCount,
    /// Factor on the request rate of a cold upstream, 1.5 for 50 percent more.
    pub cold_overshoot: f64,
    /// Requests per second allowed to a cold upstream beyond its rate times `cold_overshoot`.
    pub cold_slack: f64,
    /// Takeover delay: window within which two holders of the hub's lease must not both give
    /// orders. It is not the TTL of the lease.
    pub lease_time: TimeSpan,
    /// Window in which loads from the weight store are counted.
    pub load_window: TimeSpan,
    /// Time within which a configuration change is applied by every process.
    pub config_delay: TimeSpan,
    /// Time after which a draining upstream gets no more requests.
    pub drain_time: TimeSpan,
    /// Time between SIGTERM and SIGKILL.
    pub grace_time: TimeSpan,
}
