//! What an entry knows of the load of one upstream from its responses.

use gentian_core::{MonoTime, TimeSpan};

use super::{FadingFigure, LoadReading};

/// Age from which a report has no effect; the average that it belongs to has nearly faded by then.
const MAX_REPORT_AGE: TimeSpan = TimeSpan::from_secs(30);
const USUAL_PACE: f64 = 1.0;

/// The loads that one upstream reported to one entry.
#[derive(Clone, Copy, Debug)]
pub struct LoadRecord {
    newest: LoadReading,
    /// Requests of other entries.
    other_requests: FadingFigure,
    /// Factor by which work takes longer than usual; `None` if the upstream never named a pace.
    pace: Option<FadingFigure>,
}

impl LoadRecord {
    /// Creates the record of an upstream with its first report. At that time, `own_requests` of this
    /// entry were there, and `remote_requests` of others according to the hub.
    pub fn new(reading: LoadReading, own_requests: u32, remote_requests: u32) -> Self {
        let LoadReading { load, time } = reading;
        let others = f64::from(load.requests().saturating_sub(own_requests));
        let pace = load.pace.map(|pace| FadingFigure::new(pace.factor(), USUAL_PACE, time));
        Self {
            newest: reading,
            other_requests: FadingFigure::new(others, f64::from(remote_requests), time),
            pace,
        }
    }

    /// Returns the record with a further report; one older than the newest changes nothing.
    pub fn with_reading(
        mut self,
        reading: LoadReading,
        own_requests: u32,
        remote_requests: u32,
    ) -> Self {
        let LoadReading { load, time } = reading;
        if time < self.newest.time {
            return self;
        }
        let others = f64::from(load.requests().saturating_sub(own_requests));
        self.other_requests.record(others, f64::from(remote_requests), time);
        if let Some(newest) = load.pace.map(|pace| pace.factor()) {
            let known = self.pace.get_or_insert(FadingFigure::new(newest, USUAL_PACE, time));
            known.record(newest, USUAL_PACE, time);
        }
        self.newest = reading;
        self
    }

    /// Returns the newest report.
    pub fn newest(&self) -> LoadReading {
        self.newest
    }

    /// Returns whether the reports still have an effect.
    pub fn is_current(&self, now: MonoTime) -> bool {
        now.since(self.newest.time) <= MAX_REPORT_AGE
    }

    /// Returns the expected number of requests of other entries at an upstream whose requests take a
    /// small part of a second. The hub reports fewer or more, but so late that the average of the
    /// upstream's own reports is the better estimate.
    pub fn other_short_requests(&self, remote_requests: u32, now: MonoTime) -> f64 {
        self.other_requests.estimate(f64::from(remote_requests), now)
    }

    /// Returns the expected number of requests of other entries at an upstream whose requests take
    /// seconds, so that the hub's number is current.
    pub fn other_long_requests(&self, remote_requests: u32, now: MonoTime) -> f64 {
        self.other_requests.estimate_from(f64::from(remote_requests), now)
    }

    /// Returns the factor by which work is expected to take longer than usual.
    pub fn pace(&self, now: MonoTime) -> f64 {
        self.pace.map_or(USUAL_PACE, |pace| pace.estimate(USUAL_PACE, now))
    }
}
