//! What an organisation may use within a window.

use gentian_config::serving::{ChargeUnit, OrganisationShare};
use gentian_core::TimeSpan;

use super::ServingBounds;

/// Part of the allowed excess that is used, so that a request within the rate is never refused; the
/// rest covers what other entries use before the hub has told of it.
const EXCESS_PART: f64 = 0.6;

/// Tokens, or requests, that an organisation may use within any window over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Most use within `window`; infinite without a limit.
    pub most: f64,
    /// Length of the window.
    pub window: TimeSpan,
    /// Configured rate a second.
    pub rate: f64,
    /// Configured burst.
    pub burst: f64,
}

impl QuotaLimit {
    /// Creates the limit of an organisation under the promised bounds.
    pub fn new(share: &OrganisationShare, bounds: &ServingBounds) -> Self {
        let rate = share.spec.rate.get() as f64;
        let burst = share.spec.burst.get() as f64;
        let window = bounds.quota_window;
        let slack = match share.unit {
            ChargeUnit::Tokens { .. } => bounds.quota_slack.get() as f64,
            ChargeUnit::Requests => 0.0,
        };
        let owed = rate * window.as_secs_f64() + burst;
        let excess = owed * bounds.quota_overshoot + slack;
        let most = if rate > 0.0 { owed + excess * EXCESS_PART } else { f64::INFINITY };
        Self { most, window, rate, burst }
    }
}
