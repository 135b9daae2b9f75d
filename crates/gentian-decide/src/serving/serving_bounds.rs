//! Bounds that the operators guarantee to their users.

use gentian_core::{TimeSpan, TokenCount};

/// Guaranteed bounds, taken from the settings of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingBounds {
    /// Retries allowed within `retry_window`, as a fraction of the requests that arrive in it.
    pub retry_ratio: f64,
    /// Retries allowed within `retry_window` beyond that ratio, over all entries.
    pub extra_retries: f64,
    /// Window in which retries are counted.
    pub retry_window: TimeSpan,
    /// Window in which the use of an organisation is counted.
    pub quota_window: TimeSpan,
    /// Fraction by which an organisation may exceed its rate and burst in a window, 0.1 for 10
    /// percent.
    pub quota_excess_fraction: f64,
    /// Tokens by which an organisation may exceed its rate and burst in a window beyond
    /// `quota_excess_fraction`.
    pub quota_slack: TokenCount,
    /// Factor on the request rate of a cold upstream, 1.5 for 50 percent more.
    pub cold_rate_factor: f64,
    /// Requests per second allowed to a cold upstream beyond its rate times `cold_rate_factor`.
    pub cold_slack: f64,
    /// Takeover delay: window within which two holders of the hub's lease must not both give
    /// orders. It is not the TTL of the lease.
    pub takeover_delay: TimeSpan,
    /// Window in which loads from the weight store are counted.
    pub load_window: TimeSpan,
    /// Time within which a configuration change is applied by every process.
    pub config_delay: TimeSpan,
    /// Time after which a draining upstream gets no more requests.
    pub drain_time: TimeSpan,
    /// Time after which the registration of an upstream that writes it no more expires.
    pub registration_ttl: TimeSpan,
    /// Time between SIGTERM and SIGKILL.
    pub shutdown_grace: TimeSpan,
}
