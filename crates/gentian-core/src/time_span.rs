//! Durations.

use std::fmt;
use std::ops::{Add, Mul};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ParseError;
use crate::newtypes::split_unit;

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A duration in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TimeSpan(u64);

impl TimeSpan {
    /// Zero duration.
    pub const ZERO: Self = Self(0);

    /// Creates a span from microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a span from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * MICROS_PER_MILLI)
    }

    /// Creates a span from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * MICROS_PER_SECOND)
    }

    /// Returns the span in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the span in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// Returns this span minus `other`, or zero if `other` is longer.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for TimeSpan {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Mul<u64> for TimeSpan {
    type Output = Self;

    fn mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl Mul<f64> for TimeSpan {
    type Output = Self;

    /// Returns the span multiplied by `factor`, rounded down to microseconds.
    fn mul(self, factor: f64) -> Self {
        Self::from_micros((self.as_micros() as f64 * factor) as u64)
    }
}

impl From<TimeSpan> for Duration {
    fn from(span: TimeSpan) -> Self {
        Self::from_micros(span.0)
    }
}

impl From<Duration> for TimeSpan {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            micros if micros % MICROS_PER_SECOND == 0 => {
                write!(f, "{}s", micros / MICROS_PER_SECOND)
            }
            micros if micros % MICROS_PER_MILLI == 0 => {
                write!(f, "{}ms", micros / MICROS_PER_MILLI)
            }
            micros => write!(f, "{micros}us"),
        }
    }
}

impl FromStr for TimeSpan {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error =
            || ParseError::new("time span", text, "a whole number followed by us, ms, s or min");
        let (digits, unit) = split_unit(text);
        let micros_per_unit = match unit {
            "us" => 1,
            "ms" => MICROS_PER_MILLI,
            "s" => MICROS_PER_SECOND,
            "min" => 60 * MICROS_PER_SECOND,
            _ => return Err(error()),
        };
        let number: u64 = digits.parse().map_err(|_| error())?;
        number.checked_mul(micros_per_unit).map(Self).ok_or_else(error)
    }
}
