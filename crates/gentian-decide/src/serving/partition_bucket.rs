//! Token bucket of a part of the fleet.

use gentian_core::{MonoTime, TimeSpan};

use super::{FleetPartition, QuotaLimit};
use crate::selection::hash_of;

/// Fraction of its burst with which the bucket of an isolated entry starts at most; the other entries
/// are assumed to have used the same fraction.
pub(super) const INITIAL_BURST_FRACTION: f64 = 0.25;

/// Holds the tokens that the entries of a partition may use while the use of the others is unknown.
#[derive(Clone, Debug)]
pub(super) struct PartitionBucket {
    level: f64,
    updated: MonoTime,
    /// Differs from entry to entry.
    seed: u64,
}

impl PartitionBucket {
    /// Creates an empty bucket.
    pub(super) fn new(now: MonoTime) -> Self {
        Self { level: 0.0, updated: now, seed: 0 }
    }

    /// Returns the bucket with a number that differs from entry to entry.
    pub(super) fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Sets the level at which the bucket of `partition` starts.
    pub(super) fn start(&mut self, limit: &QuotaLimit, partition: FleetPartition) {
        self.level = limit.burst * partition.fraction() * INITIAL_BURST_FRACTION;
    }

    /// Refills the bucket up to `now`.
    pub(super) fn advance(&mut self, limit: &QuotaLimit, partition: FleetPartition, now: MonoTime) {
        let seconds = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let fraction = partition.fraction();
        self.level = (self.level + limit.rate * fraction * seconds).min(limit.burst * fraction);
    }

    /// Takes tokens out that the partition used; a negative number puts some back.
    pub(super) fn withdraw(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Applies a change of the partition. It keeps its part of the level, so that an entry that seems
    /// lost for a moment costs nothing.
    pub(super) fn divide(&mut self, burst: f64, before: FleetPartition, after: FleetPartition) {
        let level = self.level.max(0.0) * after.fraction() / before.fraction();
        self.level = match after.is_isolated() {
            true => level.min(burst * after.fraction() * INITIAL_BURST_FRACTION),
            false => level,
        };
    }

    /// Returns how long a request must wait for the bucket; `None` if it may be sent now.
    ///
    /// The bucket of one of many entries never holds enough for a request. It is then staked: the
    /// request is sent with the probability that the level is of its tokens, so that all entries
    /// together send what their buckets hold.
    pub(super) fn find_wait(
        &mut self,
        limit: &QuotaLimit,
        partition: FleetPartition,
        tokens: f64,
        now: MonoTime,
    ) -> Option<TimeSpan> {
        if self.level >= tokens {
            return None;
        }
        let stake = self.level;
        let capacity = limit.burst * partition.fraction();
        let rate = (limit.rate * partition.fraction()).max(1.0);
        let missing = (tokens.min(capacity) - stake).max(0.0);
        let wait = TimeSpan::from_micros((missing / rate * 1e6) as u64);
        if tokens <= capacity || stake <= 0.0 {
            return Some(wait);
        }
        // The stake is gone whether the request is sent or not.
        self.level = 0.0;
        self.seed = hash_of(&(self.seed, now));
        if (self.seed as f64 / u64::MAX as f64) < stake / tokens {
            self.level = tokens;
            return None;
        }
        Some(wait)
    }
}
