//! Bounds of the simulated fleets.

use gentian_core::{TimeSpan, TokenCount};
use gentian_decide::serving::ServingBounds;

pub(crate) fn bounds() -> ServingBounds {
    ServingBounds {
        registration_ttl: TimeSpan::from_millis(3_600),
        retry_ratio: 0.2,
        extra_retries: 50.0,
        retry_window: TimeSpan::from_secs(10),
        quota_window: TimeSpan::from_secs(8),
        quota_excess_fraction: 0.1,
        quota_slack: TokenCount::new(1_000),
        cold_rate_factor: 1.5,
        cold_slack: 5.0,
        takeover_delay: TimeSpan::from_secs(3),
        load_window: TimeSpan::from_secs(5),
        config_delay: TimeSpan::from_secs(2),
        drain_time: TimeSpan::from_secs(2),
        shutdown_grace: TimeSpan::from_secs(8),
    }
}
