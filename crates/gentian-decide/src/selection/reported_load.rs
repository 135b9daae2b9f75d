//! Load that an upstream reports in a response.
//!
//! Load pattern: upstreams of one service that are unevenly loaded, or slower than the others for
//! fractions of a second.

use std::fmt;

use gentian_core::MonoTime;

/// Largest number of requests or slots that a report may name.
const MAX_REQUESTS: u32 = 10_000;
/// Smallest and largest pace that a report may name, in percent of the usual time.
const PACE_RANGE_PERCENT: std::ops::RangeInclusive<u32> = 10..=10_000;
const USUAL_PERCENT: u32 = 100;

/// How long work takes at an upstream, in percent of the usual time: 200 means twice as long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportedPace(u32);

impl ReportedPace {
    /// The usual time.
    pub const USUAL: Self = Self(USUAL_PERCENT);

    /// Creates a pace from a percentage; `None` if it is not plausible.
    pub fn new(percent: u32) -> Option<Self> {
        PACE_RANGE_PERCENT.contains(&percent).then_some(Self(percent))
    }

    /// Returns the factor by which work takes longer than usual.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / f64::from(USUAL_PERCENT)
    }
}

impl fmt::Display for ReportedPace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl std::str::FromStr for ReportedPace {
    type Err = gentian_core::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let percent = text.strip_suffix('%').and_then(|digits| digits.parse().ok());
        percent.and_then(Self::new).ok_or_else(|| {
            gentian_core::ParseError::new("pace", text, "a percentage from 10% to 10000%")
        })
    }
}

/// Load of an upstream, as one of its responses names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests in progress.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// How long work takes there; `None` if the upstream doesn't say.
    pub pace: Option<ReportedPace>,
}

impl ReportedLoad {
    /// Creates a load; `None` if its figures are not plausible.
    pub fn new(running: u32, waiting: u32, slots: u32, pace: Option<ReportedPace>) -> Option<Self> {
        let is_plausible = running <= MAX_REQUESTS
            && waiting <= MAX_REQUESTS
            && (1..=MAX_REQUESTS).contains(&slots);
        is_plausible.then_some(Self { running, waiting, slots, pace })
    }

    /// Returns the number of requests there, running or waiting.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

impl fmt::Display for ReportedLoad {
    /// Writes running, waiting, slots and pace.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.running, self.waiting, self.slots)?;
        self.pace.map_or(Ok(()), |pace| write!(f, "/{pace}"))
    }
}

/// A reported load with the time at which it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReading {
    /// The load.
    pub load: ReportedLoad,
    /// When the head of the response was read.
    pub time: MonoTime,
}
