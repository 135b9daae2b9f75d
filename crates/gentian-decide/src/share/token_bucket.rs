//! The bucket of one organisation at the holder of its share seat.

use gentian_core::{MonoTime, SequenceNumber, TimeSpan, TokenCount, TokenRate};

use super::LevelHistory;

const LONGEST_LIFE: TimeSpan = TimeSpan::from_millis(1_000);
const SHORTEST_LIFE: TimeSpan = TimeSpan::from_millis(200);
/// Part of the burst that a grant's life may hold back at the rate.
const LIFE_DIVISOR: u64 = 8;
/// The same where the burst is too small for the shortest life.
const SMALL_LIFE_DIVISOR: u64 = 2;
const MICRO: u64 = 1_000_000;

/// Token bucket whose grants may be spent until their life ends.
///
/// Tokens granted at one time may be spent up to a life later, so the spending in a window follows
/// the grants of a window that is one life longer. The capacity is therefore the burst less the
/// tokens that arrive within a life, and the spending in any window of length `w` stays within
/// `burst + rate * w`.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: TokenRate,
    burst: TokenCount,
    level: u64,
    grant: SequenceNumber,
    history: LevelHistory,
    refilled: MonoTime,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: TokenRate, burst: TokenCount, now: MonoTime) -> Self {
        let level = Self::capacity_of(rate, burst).get() * MICRO;
        let grant = SequenceNumber::default();
        Self { rate, burst, level, grant, history: LevelHistory::new(), refilled: now }
    }

    /// Empties the bucket, as if everything had been granted.
    pub fn with_nothing(self) -> Self {
        Self { level: 0, ..self }
    }

    /// Returns the life of a grant.
    pub fn life_of(rate: TokenRate, burst: TokenCount) -> TimeSpan {
        let filling = burst.get().saturating_mul(MICRO) / rate.get().max(1);
        let small = TimeSpan::from_micros(filling / SMALL_LIFE_DIVISOR);
        let usual = TimeSpan::from_micros(filling / LIFE_DIVISOR);
        usual.clamp(SHORTEST_LIFE, LONGEST_LIFE).min(small)
    }

    /// Returns the most tokens that can be granted at once.
    pub fn capacity_of(rate: TokenRate, burst: TokenCount) -> TokenCount {
        let held_back = rate.tokens_in(Self::life_of(rate, burst)) + TokenCount::new(1);
        burst.saturating_sub(held_back)
    }

    /// Returns the life of a grant from this bucket.
    pub fn life(&self) -> TimeSpan {
        Self::life_of(self.rate, self.burst)
    }

    /// Returns the number of the newest grant.
    pub fn mark(&self) -> SequenceNumber {
        self.grant
    }

    /// Takes a changed rate and burst over.
    pub fn update(&mut self, rate: TokenRate, burst: TokenCount, now: MonoTime) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.set_level(self.level);
    }

    /// Grants up to `want` tokens, or none if fewer than `least` are there.
    pub fn grant(&mut self, want: TokenCount, least: TokenCount, now: MonoTime) -> TokenCount {
        self.refill(now);
        let granted = want.min(TokenCount::new(self.level / MICRO));
        if granted < least || granted == TokenCount::ZERO {
            return TokenCount::ZERO;
        }
        self.grant = self.grant.next();
        self.set_level(self.level - granted.get() * MICRO);
        granted
    }

    /// Takes back `unused` tokens of the grant `mark` and later ones.
    ///
    /// Had the tokens not been granted, the level would have been higher by their number since
    /// then, but never above the capacity. So the refund is limited by the least room that the
    /// bucket has had since the grant.
    pub fn refund(&mut self, unused: TokenCount, mark: SequenceNumber, now: MonoTime) {
        self.refill(now);
        let Some(highest) = self.history.highest_since(mark) else { return };
        let room = self.capacity().saturating_sub(highest.max(self.level));
        let amount = unused.get().saturating_mul(MICRO).min(room);
        self.set_level(self.level + amount);
    }

    /// Returns the time until `amount` tokens are there.
    pub fn time_until(&self, amount: TokenCount) -> TimeSpan {
        let missing = amount.get().saturating_mul(MICRO).saturating_sub(self.level);
        TimeSpan::from_micros(missing / self.rate.get().max(1))
    }

    fn capacity(&self) -> u64 {
        Self::capacity_of(self.rate, self.burst).get().saturating_mul(MICRO)
    }

    fn refill(&mut self, now: MonoTime) {
        let arrived = self.rate.get().saturating_mul(now.since(self.refilled).as_micros());
        self.refilled = self.refilled.max(now);
        self.set_level(self.level.saturating_add(arrived));
    }

    fn set_level(&mut self, level: u64) {
        self.level = level.min(self.capacity());
        self.history.record(self.grant, self.level);
    }
}
