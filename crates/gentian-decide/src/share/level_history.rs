//! Highest level of a token bucket since each of its grants.

use std::collections::VecDeque;

use gentian_core::SequenceNumber;

/// Largest number of peaks kept. Beyond it, the oldest grants are no longer covered.
const MAX_PEAKS: usize = 4_096;

/// Level that a bucket reached after a grant, in microtokens.
#[derive(Clone, Copy, Debug)]
struct LevelPeak {
    grant: SequenceNumber,
    level: u64,
}

/// Records how high a bucket's level has been since each grant.
///
/// Peaks are kept in descending order, so the first peak at or after a grant is the highest one
/// since that grant.
#[derive(Clone, Debug, Default)]
pub struct LevelHistory {
    peaks: VecDeque<LevelPeak>,
    oldest: SequenceNumber,
}

impl LevelHistory {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the level, in microtokens, after grant `grant` and before the next one.
    pub fn record(&mut self, grant: SequenceNumber, level: u64) {
        while self.peaks.back().is_some_and(|peak| peak.level <= level) {
            self.peaks.pop_back();
        }
        self.peaks.push_back(LevelPeak { grant, level });
        if self.peaks.len() > MAX_PEAKS
            && let Some(peak) = self.peaks.pop_front()
        {
            self.oldest = peak.grant.next();
        }
    }

    /// Returns the highest level since `grant` in microtokens, or `None` if that is no longer
    /// known.
    pub fn highest_since(&self, grant: SequenceNumber) -> Option<u64> {
        if grant < self.oldest {
            return None;
        }
        let i = self.peaks.partition_point(|peak| peak.grant < grant);
        self.peaks.get(i).map(|peak| peak.level)
    }
}
