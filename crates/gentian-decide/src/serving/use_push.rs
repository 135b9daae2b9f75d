//! Decides when the hub tells all entries at once what an organisation used.
//!
//! Load pattern: an organisation sends many times its rate to a large fleet. Each entry gets few of the
//! requests, and by its own reports would learn of the others' too late.

use gentian_core::{FastMap, MonoTime, OrganisationId, TimeSpan};

use super::QuotaLimit;
use super::use_window::UseWindow;

/// Span over which the present rate is measured.
const RATE_SPAN: TimeSpan = TimeSpan::from_millis(300);
/// Uses within this span count as one.
const JOINED_SPAN: TimeSpan = TimeSpan::from_millis(10);
/// Shortest time between two notices on one organisation, for a fleet of up to 25 entries.
const MIN_NOTICE_INTERVAL: TimeSpan = TimeSpan::from_millis(25);
/// Upper bound of that time in a larger fleet.
const MAX_NOTICE_INTERVAL: TimeSpan = TimeSpan::from_millis(75);
/// Fraction of the limit that may be used up before the entries would learn of it by themselves.
const NOTICE_FRACTION: f64 = 0.8;

#[derive(Debug, Default)]
struct PresentUse {
    recent: UseWindow,
    checked: MonoTime,
}

/// Measures the present rate of each organisation, and decides on notices.
#[derive(Debug, Default)]
pub struct UsePush {
    /// One for each organisation that used something.
    uses: FastMap<OrganisationId, PresentUse>,
}

impl UsePush {
    /// Creates the state of a new hub.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an organisation used tokens.
    pub fn record_use(&mut self, organisation: &OrganisationId, tokens: u64, now: MonoTime) {
        if tokens > 0 {
            let present = self.uses.entry(organisation.clone()).or_default();
            present.recent.add_joined(tokens as f64, JOINED_SPAN, now);
        }
    }

    /// Returns whether the entries are to be told what an organisation used: at the present rate it
    /// would come near its limit within `horizon`, in which each entry would ask for itself.
    pub fn is_due(
        &mut self,
        organisation: &OrganisationId,
        limit: &QuotaLimit,
        window_use: impl FnOnce() -> f64,
        (entries, horizon): (usize, TimeSpan),
        now: MonoTime,
    ) -> bool {
        let Some(present) = self.uses.get_mut(organisation) else { return false };
        let interval =
            (MIN_NOTICE_INTERVAL * (entries as u64 / 25).max(1)).min(MAX_NOTICE_INTERVAL);
        if now.since(present.checked) < interval {
            return false;
        }
        present.checked = now;
        present.recent.prune(RATE_SPAN, now);
        let rate = present.recent.sum() / RATE_SPAN.as_secs_f64();
        rate > 0.0 && window_use() + rate * horizon.as_secs_f64() > limit.nominal * NOTICE_FRACTION
    }
}
