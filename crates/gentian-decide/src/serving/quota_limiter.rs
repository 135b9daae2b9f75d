//! Limiter of the use of an organisation, counted over all entries.

use std::collections::VecDeque;

use gentian_core::{MonoTime, TimeSpan, TokenCount};

use super::QuotaLimit;
use super::report_interval::near_limit_interval;

/// Bounds of the retry delay in a refusal.
const MIN_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(100);
const MAX_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(5);
/// Time constant of the slow average of the rate at which other entries spend.
const SLOW_TIME_CONSTANT: TimeSpan = TimeSpan::from_secs(1);
/// Longest time over which other entries are assumed to continue spending without a report: an
/// unreachable hub is detected within it.
const MAX_UNREPORTED_TIME: TimeSpan = TimeSpan::from_secs(2);
/// Time constant of the fast average, which follows a sudden flood of requests; a few near-limit
/// report intervals of about 90 entries.
const FAST_TIME_CONSTANT: TimeSpan = TimeSpan::from_millis(300);
/// Number of equal time slices in which assumed use is recorded, so that it leaves the window
/// gradually.
const ASSUMED_SLICES: u64 = 8;
/// Fraction of the limit from which entries report their use at the shorter interval.
const NEAR_LIMIT_FRACTION: f64 = 0.6;
/// Fraction of its burst with which the bucket of a partition starts; other entries are assumed to
/// have used the same fraction.
const INITIAL_BURST_FRACTION: f64 = 0.25;

/// The part of the fleet that shares its counts of use with this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPartition {
    /// Entries whose use is known to this entry, itself included.
    pub reachable: u32,
    /// All entries.
    pub total: u32,
}

impl FleetPartition {
    /// Creates the partition of an entry that reaches no other.
    pub fn isolated(total: u32) -> Self {
        Self { reachable: 1, total: total.max(1) }
    }

    /// Returns whether the use of every entry is known.
    pub fn is_complete(self) -> bool {
        self.reachable >= self.total
    }

    fn fraction(self) -> f64 {
        f64::from(self.reachable.min(self.total)) / f64::from(self.total.max(1))
    }
}

/// Outcome of charging a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaOutcome {
    /// The request was charged.
    Charged,
    /// The quota is used up; a retry may succeed after this time.
    Exceeded(TimeSpan),
}

/// Counts the use of one organisation within a sliding window, at this entry and at those whose use
/// it knows.
///
/// While the use of some entries is unknown, a partition is also limited by a token bucket with its
/// fraction of the rate, so that the partitions of a divided fleet together stay within the limit.
#[derive(Clone, Debug)]
pub struct QuotaLimiter {
    limit: Option<QuotaLimit>,
    /// Use within the window, and its sum.
    uses: VecDeque<(MonoTime, f64)>,
    window_use: f64,
    partition: FleetPartition,
    /// Tokens in the bucket of this partition, used while it is not the whole fleet.
    bucket_level: f64,
    updated: MonoTime,
    /// Tokens per second that other entries spend, as a slow and a fast moving average.
    slow_rate: f64,
    fast_rate: f64,
    /// When their use was last reported or assumed, and the estimated age of the last report on its
    /// arrival.
    remote_updated: MonoTime,
    remote_lag: TimeSpan,
    /// Total charged at this entry; refunds do not lower it.
    spent: u64,
    /// Value of `spent` in the last report to the hub.
    reported_spent: u64,
}

impl QuotaLimiter {
    /// Creates the limiter of an entry in `partition`.
    pub fn new(partition: FleetPartition, now: MonoTime) -> Self {
        Self {
            limit: None,
            uses: VecDeque::new(),
            window_use: 0.0,
            partition,
            bucket_level: 0.0,
            updated: now,
            slow_rate: 0.0,
            fast_rate: 0.0,
            remote_updated: now,
            remote_lag: TimeSpan::ZERO,
            spent: 0,
            reported_spent: 0,
        }
    }

    /// Replaces the limit. The first limit starts with a window of assumed use at the full rate,
    /// since earlier use is unknown.
    pub fn update(&mut self, limit: QuotaLimit, now: MonoTime) {
        self.advance(now);
        let is_first = self.limit.replace(limit).is_none();
        if is_first {
            self.bucket_level = limit.burst * self.partition.fraction() * INITIAL_BURST_FRACTION;
            self.assume_use(limit.rate, limit.window, now);
        }
    }

    /// Assumes that other entries used their fraction of the rate since their use was last
    /// reported, because what they spent meanwhile is unknown.
    pub fn assume_remote_use(&mut self, now: MonoTime) {
        let Some(limit) = self.limit else { return };
        let remote_fraction = 1.0 - FleetPartition::isolated(self.partition.total).fraction();
        self.assume_use(
            limit.rate * remote_fraction,
            now.since(self.remote_updated).min(limit.window),
            now,
        );
        // Each of them also had a fraction of the burst available at once.
        self.add_use(limit.burst * remote_fraction * INITIAL_BURST_FRACTION, now);
        self.remote_updated = now;
    }

    /// Records use at `rate` during `span`, which ends now.
    fn assume_use(&mut self, rate: f64, span: TimeSpan, now: MonoTime) {
        let slice = TimeSpan::from_micros(span.as_micros() / ASSUMED_SLICES);
        for number in (0..ASSUMED_SLICES).rev() {
            self.add_use(rate * slice.as_secs_f64(), now - slice * number);
        }
    }

    /// Sets which entries are reachable.
    pub fn update_partition(&mut self, partition: FleetPartition, now: MonoTime) {
        if partition == self.partition {
            return;
        }
        self.advance(now);
        if self.partition.is_complete() {
            let burst = self.limit.map_or(0.0, |limit| limit.burst);
            self.bucket_level = burst * partition.fraction() * INITIAL_BURST_FRACTION;
        }
        self.partition = partition;
    }

    /// Records the `tokens` that other entries spent since their use was last reported; zero lowers
    /// their estimated rate.
    pub fn record_remote_use(&mut self, tokens: u64, now: MonoTime) {
        let gap = now.since(self.remote_updated);
        if gap > TimeSpan::ZERO {
            let newest = tokens as f64 / gap.as_secs_f64();
            // The larger average counts: it rises quickly in a flood, and falls slowly after it.
            self.slow_rate = smooth(self.slow_rate, newest, gap, SLOW_TIME_CONSTANT);
            self.fast_rate = smooth(self.fast_rate, newest, gap, FAST_TIME_CONSTANT);
            // Near the limit, entries report use at the shorter interval; otherwise about as often
            // as this one.
            let entries = usize::try_from(self.partition.total).unwrap_or(usize::MAX);
            self.remote_lag = if self.is_near_limit() {
                near_limit_interval(entries)
            } else {
                gap.min(MAX_UNREPORTED_TIME)
            };
            self.remote_updated = now;
        }
        if tokens > 0 {
            self.record_use(tokens as f64, now);
        }
    }

    /// Charges a request.
    pub fn charge(&mut self, cost: TokenCount, now: MonoTime) -> QuotaOutcome {
        let tokens = cost.get() as f64;
        let Some(limit) = self.limit.filter(QuotaLimit::is_limited) else {
            self.spent += cost.get();
            return QuotaOutcome::Charged;
        };
        self.advance(now);
        if let Some(wait) = self.find_wait(&limit, tokens, now) {
            return QuotaOutcome::Exceeded(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        }
        self.record_use(tokens, now);
        self.spent += cost.get();
        QuotaOutcome::Charged
    }

    /// Adds the cost of a request that did not run back to the bucket of this entry, and a negative
    /// use to its window. The total that is reported to the hub keeps the charge.
    pub fn refund(&mut self, cost: TokenCount, now: MonoTime) {
        self.record_use(-(cost.get() as f64), now);
    }

    /// Describes the use that led to a refusal, for logs and responses.
    pub fn describe(&self, now: MonoTime) -> String {
        let max_use = self.limit.map_or(0.0, |limit| limit.max_use(self.partition));
        let window = self.limit.map_or(TimeSpan::ZERO, |limit| limit.window);
        let (reachable, total) = (self.partition.reachable, self.partition.total);
        let (used, unreported) = (self.window_use, self.estimate_unreported(now));
        format!(
            "{used:.0} and about {unreported:.0} more of {max_use:.0} tokens were used within \
             {window}, by {reachable} of {total} entries"
        )
    }

    /// Returns the total charged at this entry since the process started, including refunded
    /// charges.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns whether use is near the limit and use at this entry is not yet reported to the hub.
    pub fn has_urgent_use(&self) -> bool {
        self.is_near_limit() && self.spent != self.reported_spent
    }

    fn is_near_limit(&self) -> bool {
        self.limit.is_some_and(|limit| {
            self.window_use > limit.max_use(self.partition) * NEAR_LIMIT_FRACTION
        })
    }

    /// Marks all use at this entry as reported to the hub.
    pub fn mark_reported(&mut self) {
        self.reported_spent = self.spent;
    }

    /// Returns how long a request must wait; `None` if it is within the limit now.
    fn find_wait(&self, limit: &QuotaLimit, tokens: f64, now: MonoTime) -> Option<TimeSpan> {
        let max_use = limit.max_use(self.partition);
        let mut excess =
            self.window_use + self.estimate_unreported(now) + tokens.min(max_use) - max_use;
        if excess > 0.0 {
            for (time, used) in &self.uses {
                excess -= used;
                if excess <= 0.0 {
                    return Some((*time + limit.window).since(now));
                }
            }
            return Some(limit.window);
        }
        let missing = tokens.min(limit.burst * self.partition.fraction()) - self.bucket_level;
        if self.partition.is_complete() || missing <= 0.0 {
            return None;
        }
        let rate = (limit.rate * self.partition.fraction()).max(1.0);
        Some(TimeSpan::from_micros((missing / rate * 1e6) as u64))
    }

    /// Estimates the tokens that other entries have spent without this entry knowing: since their
    /// use was last reported, and during the time by which that report already lagged behind.
    fn estimate_unreported(&self, now: MonoTime) -> f64 {
        let age = now.since(self.remote_updated).min(MAX_UNREPORTED_TIME) + self.remote_lag;
        self.slow_rate.max(self.fast_rate) * age.as_secs_f64()
    }

    fn record_use(&mut self, tokens: f64, now: MonoTime) {
        self.advance(now);
        self.bucket_level -= tokens;
        self.add_use(tokens, now);
    }

    fn add_use(&mut self, tokens: f64, time: MonoTime) {
        if self.limit.is_some_and(|limit| limit.is_limited()) {
            self.uses.push_back((time, tokens));
            self.window_use += tokens;
        }
    }

    /// Refills the bucket up to `now`, and removes the uses that have left the window.
    fn advance(&mut self, now: MonoTime) {
        let seconds = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let Some(limit) = self.limit else { return };
        let fraction = self.partition.fraction();
        self.bucket_level =
            (self.bucket_level + limit.rate * fraction * seconds).min(limit.burst * fraction);
        while self.uses.front().is_some_and(|(time, _)| now.since(*time) >= limit.window) {
            if let Some((_, tokens)) = self.uses.pop_front() {
                self.window_use -= tokens;
            }
        }
    }
}

/// Returns the exponential moving average of `previous` and `newest` after `gap`.
fn smooth(previous: f64, newest: f64, gap: TimeSpan, time_constant: TimeSpan) -> f64 {
    let weight = 1.0 - (-gap.as_secs_f64() / time_constant.as_secs_f64()).exp();
    previous + (newest - previous) * weight
}
