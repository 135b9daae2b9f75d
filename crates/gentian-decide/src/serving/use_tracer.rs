//! Decides when the hub stores a trace of the use.

use gentian_core::{FastMap, MonoTime, OrganisationId, TimeSpan};

use super::QuotaLimit;
use super::quota_limiter::UNTRACED_FRACTION;

/// Shortest time between two traces, so that a flood doesn't cost a call for each report.
const MIN_TRACE_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Fraction of what entries presume beyond a trace that is left for what is used until it is stored.
const TRACE_MARGIN: f64 = 0.5;

/// Decides when the use has grown so far beyond the last stored trace that a new one is due. After
/// all entries have ended at once, the trace is all that is known.
#[derive(Debug)]
pub struct UseTracer {
    traced: Option<MonoTime>,
    /// Tokens used since the last trace, by organisation.
    untraced: FastMap<OrganisationId, f64>,
}

impl UseTracer {
    /// Creates the tracer of a new hub, which doesn't know the last trace.
    pub fn new() -> Self {
        Self { traced: None, untraced: FastMap::default() }
    }

    /// Records that an organisation used tokens.
    pub fn record_use(&mut self, organisation: &OrganisationId, tokens: u64) {
        *self.untraced.entry(organisation.clone()).or_default() += tokens as f64;
    }

    /// Returns whether a trace is due, and takes it as stored then. `limit` returns the limit of an
    /// organisation that has one.
    pub fn is_due(
        &mut self,
        limit: impl Fn(&OrganisationId) -> Option<QuotaLimit>,
        now: MonoTime,
    ) -> bool {
        if self.traced.is_some_and(|traced| now.since(traced) < MIN_TRACE_INTERVAL) {
            return false;
        }
        let is_large = |(organisation, tokens): (&OrganisationId, &f64)| {
            let max_untraced = |it: QuotaLimit| it.nominal * UNTRACED_FRACTION * TRACE_MARGIN;
            limit(organisation).is_some_and(|limit| *tokens > max_untraced(limit))
        };
        // The first trace of a hub has what its predecessor had not traced yet.
        let is_due = self.traced.is_none() || self.untraced.iter().any(is_large);
        if is_due {
            self.traced = Some(now);
            self.untraced.clear();
        }
        is_due
    }
}

impl Default for UseTracer {
    fn default() -> Self {
        Self::new()
    }
}
