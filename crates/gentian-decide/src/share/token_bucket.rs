//! Token bucket of one organisation, kept by the holder of its share seat.

use gentian_core::{MonoTime, SequenceNumber, TimeSpan, TokenCount, TokenRate};

use super::LevelHistory;

/// Longest validity of a grant.
const MAX_TTL: TimeSpan = TimeSpan::from_millis(1_000);
/// Shortest validity of a grant, unless the burst is too small for it.
const MIN_TTL: TimeSpan = TimeSpan::from_millis(200);
/// Divisor of the time in which the burst accrues, which gives the validity of a grant. The bucket
/// holds back the tokens that accrue within the validity, so they must be a small fraction of the
/// burst.
const TTL_DIVISOR: u64 = 8;
/// Divisor that gives the validity if [`MIN_TTL`] is longer than half of the time in which the
/// burst accrues.
const SMALL_BURST_TTL_DIVISOR: u64 = 2;
/// Microtokens per token, and microseconds per second.
const MICROS_PER_UNIT: u64 = 1_000_000;

/// Token bucket whose grants may be spent until they expire.
///
/// Granted tokens may be spent up to one TTL later, so what is spent in a window was granted in a
/// window that is one TTL longer. The capacity is therefore the burst minus the tokens that accrue
/// within one TTL, and the tokens spent in any window of length `w` stay within
/// `burst + rate * w`.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: TokenRate,
    burst: TokenCount,
    /// Available tokens, in microtokens.
    level: u64,
    last_grant: SequenceNumber,
    history: LevelHistory,
    refilled_at: MonoTime,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: TokenRate, burst: TokenCount, now: MonoTime) -> Self {
        let level = Self::capacity_of(rate, burst).get() * MICROS_PER_UNIT;
        let last_grant = SequenceNumber::default();
        Self { rate, burst, level, last_grant, history: LevelHistory::new(), refilled_at: now }
    }

    /// Returns the bucket with no tokens left, as if all of them had been granted.
    pub fn emptied(self) -> Self {
        Self { level: 0, ..self }
    }

    /// Returns the validity of a grant from a bucket with `rate` and `burst`.
    pub fn ttl_of(rate: TokenRate, burst: TokenCount) -> TimeSpan {
        let fill_micros = burst.get().saturating_mul(MICROS_PER_UNIT) / rate.get().max(1);
        let small_burst_ttl = TimeSpan::from_micros(fill_micros / SMALL_BURST_TTL_DIVISOR);
        let usual_ttl = TimeSpan::from_micros(fill_micros / TTL_DIVISOR);
        usual_ttl.clamp(MIN_TTL, MAX_TTL).min(small_burst_ttl)
    }

    /// Returns the largest number of tokens that can be granted at once.
    pub fn capacity_of(rate: TokenRate, burst: TokenCount) -> TokenCount {
        // Adds one token because `tokens_in` rounds down.
        let held_back = rate.tokens_in(Self::ttl_of(rate, burst)) + TokenCount::new(1);
        burst.saturating_sub(held_back)
    }

    /// Returns the validity of a grant from this bucket.
    pub fn ttl(&self) -> TimeSpan {
        Self::ttl_of(self.rate, self.burst)
    }

    /// Returns the number of the last grant.
    pub fn last_grant(&self) -> SequenceNumber {
        self.last_grant
    }

    /// Applies a changed rate and burst.
    pub fn update(&mut self, rate: TokenRate, burst: TokenCount, now: MonoTime) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.set_level(self.level);
    }

    /// Grants up to `wanted` tokens, or none if fewer than `minimum` are available.
    pub fn grant(&mut self, wanted: TokenCount, minimum: TokenCount, now: MonoTime) -> TokenCount {
        self.refill(now);
        let granted = wanted.min(TokenCount::new(self.level / MICROS_PER_UNIT));
        if granted < minimum || granted == TokenCount::ZERO {
            return TokenCount::ZERO;
        }
        self.last_grant = self.last_grant.next();
        self.set_level(self.level - granted.get() * MICROS_PER_UNIT);
        granted
    }

    /// Takes back `unused` tokens from the grant `oldest_grant` and later ones.
    ///
    /// Without those grants, the level would have been higher by this amount since then, but never
    /// above the capacity. So the refund is limited by the smallest gap between level and capacity
    /// since `oldest_grant`. Nothing is refunded if the history no longer covers that grant.
    pub fn refund(&mut self, unused: TokenCount, oldest_grant: SequenceNumber, now: MonoTime) {
        self.refill(now);
        let Some(highest) = self.history.highest_since(oldest_grant) else { return };
        let free_level = self.capacity().saturating_sub(highest.max(self.level));
        let amount = unused.get().saturating_mul(MICROS_PER_UNIT).min(free_level);
        self.set_level(self.level + amount);
    }

    /// Returns the time until `amount` tokens are available.
    pub fn time_until(&self, amount: TokenCount) -> TimeSpan {
        let missing = amount.get().saturating_mul(MICROS_PER_UNIT).saturating_sub(self.level);
        TimeSpan::from_micros(missing / self.rate.get().max(1))
    }

    fn capacity(&self) -> u64 {
        Self::capacity_of(self.rate, self.burst).get().saturating_mul(MICROS_PER_UNIT)
    }

    fn refill(&mut self, now: MonoTime) {
        let accrued = self.rate.get().saturating_mul(now.since(self.refilled_at).as_micros());
        self.refilled_at = self.refilled_at.max(now);
        self.set_level(self.level.saturating_add(accrued));
    }

    fn set_level(&mut self, level: u64) {
        self.level = level.min(self.capacity());
        self.history.record(self.last_grant, self.level);
    }
}
