//! Timestamps of the clock of day.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{MonoTime, ParseError, TimeSpan};

/// A timestamp of a clock of day, in microseconds since the start of 1970 (UTC).
///
/// Clocks of day differ between VMs and may step; durations are measured with [`MonoTime`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WallTime(u64);

impl WallTime {
    /// Creates a timestamp from microseconds since the start of 1970.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the start of 1970.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the timestamp `span` later.
    pub const fn plus(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_add(span.as_micros()))
    }

    /// Returns how far the clock of day is ahead of the monotonic clock that shows `now`.
    pub const fn offset_from(self, now: MonoTime) -> ClockOffset {
        ClockOffset(self.0.wrapping_sub(now.as_micros()) as i64)
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for WallTime {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let expected = "microseconds since 1970, a whole number";
        text.parse().map(Self).map_err(|_| ParseError::new("time of day", text, expected))
    }
}

/// How far a clock of day is ahead of the monotonic clock of one process, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClockOffset(i64);

impl ClockOffset {
    /// Creates an offset from microseconds.
    pub const fn from_micros(micros: i64) -> Self {
        Self(micros)
    }

    /// Returns the offset in microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// Returns the time of day at `time`.
    pub const fn wall_time(self, time: MonoTime) -> WallTime {
        WallTime(time.as_micros().saturating_add_signed(self.0))
    }
}

impl fmt::Display for ClockOffset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

impl FromStr for ClockOffset {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix("us").and_then(|digits| digits.parse().ok());
        let expected = "a whole number followed by us";
        number.map(Self).ok_or_else(|| ParseError::new("clock offset", text, expected))
    }
}
