//! A figure that changes many times a second and is seen now and then.

use gentian_core::{MonoTime, TimeSpan};

/// Half-life of the weight of the newest sample against the average.
const SAMPLE_HALF_LIFE: TimeSpan = TimeSpan::from_millis(100);
/// Half-life of the average against the usual value, while no sample comes.
const AVERAGE_HALF_LIFE: TimeSpan = TimeSpan::from_secs(10);
/// Weight of the newest sample in the average.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.1;

/// Estimate of a figure from samples: the newest sample while it is fresh, the average of the earlier
/// ones later, and its usual value once all samples are old.
#[derive(Clone, Copy, Debug)]
pub struct FadingFigure {
    average: f64,
    newest: f64,
    time: MonoTime,
}

impl FadingFigure {
    /// Creates a figure from its first sample, taken at `time`, and its usual value.
    pub fn new(sample: f64, usual: f64, time: MonoTime) -> Self {
        let average = usual + (sample - usual) * NEWEST_SAMPLE_WEIGHT;
        Self { average, newest: sample, time }
    }

    /// Records a sample taken at `time`; an older one than the newest is ignored.
    pub fn record(&mut self, sample: f64, usual: f64, time: MonoTime) {
        if time < self.time {
            return;
        }
        let average = self.average_at(usual, time);
        self.average = average + (sample - average) * NEWEST_SAMPLE_WEIGHT;
        self.newest = sample;
        self.time = time;
    }

    /// Returns the weight of the newest sample, from 0 to 1.
    pub fn weight(&self, now: MonoTime) -> f64 {
        halved(now.since(self.time), SAMPLE_HALF_LIFE)
    }

    /// Returns the estimate of the figure.
    pub fn estimate(&self, usual: f64, now: MonoTime) -> f64 {
        self.estimate_from(self.average_at(usual, now), now)
    }

    /// Returns the estimate where `fallback` is known better than the average of the samples.
    pub fn estimate_from(&self, fallback: f64, now: MonoTime) -> f64 {
        fallback + (self.newest - fallback) * self.weight(now)
    }

    fn average_at(&self, usual: f64, now: MonoTime) -> f64 {
        usual + (self.average - usual) * halved(now.since(self.time), AVERAGE_HALF_LIFE)
    }
}

fn halved(age: TimeSpan, half_life: TimeSpan) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
