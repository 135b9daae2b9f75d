//! The estimate by which an upstream was selected.

use std::fmt;

use gentian_core::TimeSpan;

use crate::selection::LoadReading;

/// Expected time to the first event at a selected upstream, with the figures that it is based on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SelectionEstimate {
    /// Expected time to the first event.
    pub expected: TimeSpan,
    /// Prompt tokens that the upstream likely holds.
    pub held_tokens: u32,
    /// Time since this entry last learned that it held the prompt's shared part.
    pub held_age: Option<TimeSpan>,
    /// Newest load that the upstream reported to this entry.
    pub load: Option<LoadReading>,
    /// Age of the newest load.
    pub load_age: TimeSpan,
    /// Age of the hub's report on the work of the other entries.
    pub work_age: TimeSpan,
}

impl fmt::Display for SelectionEstimate {
    /// Writes the members of the event of a routed request.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected={} work_age={}", self.expected, self.work_age)?;
        write!(f, " held={} held_age=", self.held_tokens)?;
        match self.held_age {
            Some(age) => write!(f, "{age}")?,
            None => f.write_str("none")?,
        }
        match &self.load {
            Some(reading) => write!(f, " load={} load_age={}", reading.load, self.load_age),
            None => f.write_str(" load=none"),
        }
    }
}
