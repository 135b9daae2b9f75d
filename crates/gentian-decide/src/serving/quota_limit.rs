//! Limit on the use of an organisation within a window.

use gentian_config::serving::{ChargeUnit, ServingOrganisation};
use gentian_core::TimeSpan;

use super::{FleetPartition, ServingBounds};

/// Fractions of the tolerance up to which entries admit requests, so that no request within the
/// rate is refused. The rest covers use of other entries that has not been reported yet, which is
/// less in a small fleet: there, use is reported within 100 ms while requests are running.
const SMALL_FLEET_TOLERANCE_FRACTION: f64 = 0.6;
const LARGE_FLEET_TOLERANCE_FRACTION: f64 = 0.25;
/// Largest number of entries of a small fleet.
const SMALL_FLEET_ENTRIES: u32 = 16;

/// Tokens or requests that an organisation may use within any window, over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Use within `window` that rate and burst allow; infinite without a limit.
    pub nominal: f64,
    /// Use beyond `nominal` that the guaranteed bounds allow.
    pub tolerance: f64,
    /// Length of the window.
    pub window: TimeSpan,
    /// Configured rate per second.
    pub rate: f64,
    /// Configured burst.
    pub burst: f64,
}

impl QuotaLimit {
    /// Creates the limit of an organisation under the guaranteed bounds.
    pub fn new(organisation: &ServingOrganisation, bounds: &ServingBounds) -> Self {
        let rate = organisation.spec.rate.get() as f64;
        let burst = organisation.spec.burst.get() as f64;
        let window = bounds.quota_window;
        let slack = match organisation.unit {
            ChargeUnit::Tokens { .. } => bounds.quota_slack.get() as f64,
            ChargeUnit::Requests => 0.0,
        };
        let nominal = rate * window.as_secs_f64() + burst;
        let tolerance = nominal * bounds.quota_excess_fraction + slack;
        let nominal = if rate > 0.0 { nominal } else { f64::INFINITY };
        Self { nominal, tolerance, window, rate, burst }
    }

    /// Returns whether the organisation has a limit.
    pub fn is_limited(&self) -> bool {
        self.nominal.is_finite()
    }

    /// Returns the use within the window up to which the entries of `partition` admit requests.
    pub fn max_use(&self, partition: FleetPartition) -> f64 {
        let is_small = partition.total <= SMALL_FLEET_ENTRIES && partition.is_complete();
        let fraction =
            if is_small { SMALL_FLEET_TOLERANCE_FRACTION } else { LARGE_FLEET_TOLERANCE_FRACTION };
        self.nominal + self.tolerance * fraction
    }
}
