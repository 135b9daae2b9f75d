//! What an organisation may use within a window.

use gentian_config::serving::{ChargeUnit, OrganisationShare};
use gentian_core::TimeSpan;

use super::{FleetPartition, ServingBounds};

/// Part of the allowed excess that is used, so that a request within the rate is never refused; the
/// rest covers what other entries use before the hub has told of it: less in a small fleet that
/// hears of all its use within a tenth of a second.
const SMALL_EXCESS_PART: f64 = 0.6;
const LARGE_EXCESS_PART: f64 = 0.25;
/// Entries of a small fleet at most.
const SMALL_FLEET: u32 = 16;

/// Tokens, or requests, that an organisation may use within any window over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Use within `window` that is within rate and burst; infinite without a limit.
    pub nominal: f64,
    /// Use beyond that which the promised bounds allow.
    pub tolerance: f64,
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
        let nominal = rate * window.as_secs_f64() + burst;
        let tolerance = nominal * bounds.quota_overshoot + slack;
        let nominal = if rate > 0.0 { nominal } else { f64::INFINITY };
        Self { nominal, tolerance, window, rate, burst }
    }

    /// Tells whether there is a limit at all.
    pub fn is_limited(&self) -> bool {
        self.nominal.is_finite()
    }

    /// Returns the most use within the window that entries allow which hear `part` of the fleet.
    pub fn max_use(&self, part: FleetPartition) -> f64 {
        let is_small = part.total <= SMALL_FLEET && part.is_complete();
        let used = if is_small { SMALL_EXCESS_PART } else { LARGE_EXCESS_PART };
        self.nominal + self.tolerance * used
    }
}
