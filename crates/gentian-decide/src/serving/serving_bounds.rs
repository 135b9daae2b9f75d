//! Bounds that the operators promise to their users.

use gentian_core::{TimeSpan, TokenCount};

/// Bounds that hold over all entries together; they come with the settings of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingBounds {
    /// Second sends allowed for each request.
    pub budget_ratio: f64,
    /// Second sends allowed beside that within `budget_window`, over all entries.
    pub budget_extra: f64,
    /// Span in which second sends are counted.
    pub budget_window: TimeSpan,
    /// Span in which the use of an organisation is counted.
    pub quota_window: TimeSpan,
    /// Part by which an organisation may exceed its rate and burst in a window.
    pub quota_overshoot: f64,
    /// Tokens that an organisation may exceed that by in a window.
    pub quota_slack: TokenCount,
    /// Factor on the rate of a cold upstream.
    pub cold_overshoot: f64,
    /// Requests a second that a cold upstream bears beside that.
    pub cold_slack: f64,
    /// Span in which two holders of the lease must not take turns.
    pub lease_time: TimeSpan,
    /// Span in which loads from the weight store are counted.
    pub load_window: TimeSpan,
    /// Time after which a change of the configuration is in force everywhere.
    pub config_delay: TimeSpan,
    /// Time after which an upstream that leaves gets no more requests.
    pub drain_time: TimeSpan,
    /// Time between SIGTERM and SIGKILL.
    pub grace_time: TimeSpan,
}
