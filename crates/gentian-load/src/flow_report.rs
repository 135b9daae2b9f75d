//! Counts and latencies of one flow.

use std::collections::BTreeMap;
use std::fmt;

use eyre::WrapErr;
use gentian_core::TimeSpan;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::call_result::{CallOutcome, CallResult};

/// Column headings of the report lines.
pub(crate) const HEADING: &str = "flow                  sent  whole refused broken   lost unsent | first token ms p50     p95     p99     max | gap ms p50    p95 | refusals by status";

const MAX_RECORDED_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts and latencies of one flow; `sent` also counts the calls that were not sent.
pub(crate) struct FlowReport {
    name: String,
    sent: u64,
    whole: u64,
    broken: u64,
    lost: u64,
    not_sent: u64,
    refused: BTreeMap<u16, u64>,
    first: Histogram<u64>,
    gaps: Histogram<u64>,
}

impl FlowReport {
    /// Creates an empty report.
    pub(crate) fn new(name: &str) -> eyre::Result<Self> {
        let histogram = || {
            Histogram::new_with_max(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)
                .wrap_err("cannot create a histogram")
        };
        Ok(Self {
            name: name.to_owned(),
            sent: 0,
            whole: 0,
            broken: 0,
            lost: 0,
            not_sent: 0,
            refused: BTreeMap::new(),
            first: histogram()?,
            gaps: histogram()?,
        })
    }

    /// Counts a call and, if it was complete, records its times.
    pub(crate) fn add(&mut self, result: &CallResult) {
        self.sent += 1;
        match result.outcome {
            CallOutcome::Whole => {
                self.whole += 1;
                self.first.saturating_record(result.first.as_micros());
                let gaps = result.gaps.iter();
                gaps.for_each(|gap| self.gaps.saturating_record(gap.as_micros()));
            }
            CallOutcome::Refused(status) => *self.refused.entry(status).or_default() += 1,
            CallOutcome::Broken => self.broken += 1,
            CallOutcome::Lost => self.lost += 1,
            CallOutcome::NotSent => self.not_sent += 1,
        }
    }

    /// Returns the report as JSON, times in milliseconds.
    pub(crate) fn to_json(&self) -> Value {
        json!({
            "flow": self.name,
            "sent": self.sent,
            "whole": self.whole,
            "refused": self.refused,
            "broken": self.broken,
            "lost": self.lost,
            "not_sent": self.not_sent,
            "first_ms": {
                "p50": self.first_millis(0.50),
                "p95": self.first_millis(0.95),
                "p99": self.first_millis(0.99),
                "max": millis(self.first.max()),
            },
            "gap_ms": { "p50": self.gap_millis(0.50), "p95": self.gap_millis(0.95) },
        })
    }

    fn first_millis(&self, quantile: f64) -> f64 {
        millis(self.first.value_at_quantile(quantile))
    }

    fn gap_millis(&self, quantile: f64) -> f64 {
        millis(self.gaps.value_at_quantile(quantile))
    }
}

impl fmt::Display for FlowReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let refused: u64 = self.refused.values().sum();
        write!(
            f,
            "{:<20} {:>5} {:>6} {refused:>7} {:>6} {:>6} {:>6} | {:>18.1} {:>7.1} {:>7.1} {:>7.1} | {:>10.1} {:>6.1} | {:?}",
            self.name,
            self.sent,
            self.whole,
            self.broken,
            self.lost,
            self.not_sent,
            self.first_millis(0.50),
            self.first_millis(0.95),
            self.first_millis(0.99),
            millis(self.first.max()),
            self.gap_millis(0.50),
            self.gap_millis(0.95),
            self.refused
        )
    }
}

fn millis(micros: u64) -> f64 {
    TimeSpan::from_micros(micros).as_secs_f64() * 1e3
}
