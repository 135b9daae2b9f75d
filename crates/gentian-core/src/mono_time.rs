//! Timestamps of a process's monotonic clock.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

use crate::TimeSpan;

/// A timestamp of one process's monotonic clock, in microseconds since the origin of that clock.
///
/// Timestamps of different processes are not comparable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MonoTime(u64);

impl MonoTime {
    /// The origin of the clock.
    pub const ORIGIN: Self = Self(0);

    /// Creates a timestamp from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a timestamp from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than this timestamp.
    pub const fn since(self, earlier: Self) -> TimeSpan {
        TimeSpan::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<TimeSpan> for MonoTime {
    type Output = Self;

    fn add(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_add(span.as_micros()))
    }
}

impl Sub<TimeSpan> for MonoTime {
    type Output = Self;

    fn sub(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_sub(span.as_micros()))
    }
}
