//! Rates of requests.

use std::fmt;
use std::iter::Sum;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{ParseError, TimeSpan};

const MILLIS_PER_UNIT: f64 = 1_000.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// A rate in requests per second, with a resolution of a thousandth.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestRate {
    millis: u64,
}

impl RequestRate {
    /// Creates the rate of `millis` requests in a thousand seconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self { millis }
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.millis as f64 / MILLIS_PER_UNIT
    }

    /// Returns this rate divided among `count`, one at the least.
    pub fn divide(self, count: u32) -> Self {
        Self { millis: self.millis / u64::from(count.max(1)) }
    }

    /// Returns the time in which `count` requests accrue; the longest possible time at a rate of
    /// zero.
    pub fn time_for(self, count: usize) -> TimeSpan {
        let micros = count as f64 * MICROS_PER_SECOND / self.per_second();
        TimeSpan::from_micros(micros as u64)
    }

    /// Returns the number of requests within `span`.
    pub fn requests_in(self, span: TimeSpan) -> f64 {
        self.per_second() * span.as_secs_f64()
    }
}

impl Sum for RequestRate {
    fn sum<I: Iterator<Item = Self>>(rates: I) -> Self {
        Self { millis: rates.map(|rate| rate.millis).sum() }
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}

impl FromStr for RequestRate {
    type Err = ParseError;

    /// Parses a decimal number of requests per second, with or without the unit `/s`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix("/s").unwrap_or(text).trim().parse::<f64>().ok();
        let rate = number.filter(|rate| rate.is_finite() && *rate >= 0.0);
        let rate = rate.ok_or_else(|| {
            ParseError::new("request rate", text, "a decimal number of requests a second, like 1.5")
        })?;
        Ok(Self { millis: (rate * MILLIS_PER_UNIT).round() as u64 })
    }
}
