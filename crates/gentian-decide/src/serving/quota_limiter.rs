//! Limiter of the use of an organisation, counted over all entries.

use gentian_core::{MonoTime, TimeSpan, TokenCount};

use super::partition_bucket::{INITIAL_BURST_FRACTION, PartitionBucket};
use super::remote_spending::RemoteSpending;
use super::use_window::UseWindow;
use super::{FleetPartition, QuotaLimit};

/// Bounds of the retry delay in a refusal.
const MIN_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(100);
const MAX_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(5);
/// Fraction of the limit from which entries report their use at the shorter interval.
const NEAR_LIMIT_FRACTION: f64 = 0.6;
/// Fraction of the limit that all entries together may use before they report it at once.
const UNREPORTED_FRACTION: f64 = 0.06;
/// Fraction of the limit that may be used before the stored trace of the use is renewed.
pub(super) const UNTRACED_FRACTION: f64 = 0.25;
/// Smallest time for which the use of unreachable entries is recorded at once.
const PRESUMED_STEP: TimeSpan = TimeSpan::from_millis(50);

/// Outcome of charging a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaOutcome {
    /// The request was charged.
    Charged,
    /// The quota is used up; a retry may succeed after this time.
    Exceeded(TimeSpan),
}

/// What is known of the use before a limiter was created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PastUse {
    /// It stayed within the rate.
    WithinRate,
    /// Everything may have been used.
    Unknown,
}

/// Counts the use of one organisation within a sliding window, at this entry and at those whose use
/// it knows.
///
/// An amount that may have been used without this entry knowing counts as used until the hub says
/// what was used: all of it after a start, and what others may have spent since the hub became
/// silent. While the use of some entries is unknown, a partition is also limited by a token bucket
/// with its fraction of the rate, so that the partitions of a divided fleet together stay within the
/// limit.
#[derive(Clone, Debug)]
pub struct QuotaLimiter {
    limit: Option<QuotaLimit>,
    past: PastUse,
    /// Use within the window of this entry and, as reported, of the others.
    known: UseWindow,
    /// Use of this entry alone.
    own: UseWindow,
    /// What may have been used before this process started, by all entries.
    unknown_past: UseWindow,
    /// What earlier processes on this VM used, once a hub has told it.
    earlier: Option<UseWindow>,
    /// Whether the stored trace was applied to `unknown_past`.
    is_traced: bool,
    /// What others may have used without a report since they became unreachable.
    presumed: UseWindow,
    /// Until when the use of unreachable entries is presumed.
    presumed_until: MonoTime,
    /// Fraction of all entries whose use the present hub doesn't know.
    unknown_fraction: f64,
    partition: FleetPartition,
    /// Tokens of this partition, used while it is not the whole fleet.
    bucket: PartitionBucket,
    /// What the others spend between reports.
    remote: RemoteSpending,
    /// Total charged at this entry; refunds do not lower it.
    spent: u64,
    /// Value of `spent` in the last report to the hub.
    reported_spent: u64,
}

impl QuotaLimiter {
    /// Creates the limiter of an entry in `partition`. What was used before is unknown.
    pub fn new(partition: FleetPartition, now: MonoTime) -> Self {
        Self {
            limit: None,
            past: PastUse::Unknown,
            known: UseWindow::new(),
            own: UseWindow::new(),
            unknown_past: UseWindow::new(),
            earlier: None,
            is_traced: false,
            presumed: UseWindow::new(),
            presumed_until: now,
            unknown_fraction: 1.0,
            partition,
            bucket: PartitionBucket::new(now),
            remote: RemoteSpending::new(now),
            spent: 0,
            reported_spent: 0,
        }
    }

    /// Returns the limiter of an organisation that can't have used more than its rate so far, since
    /// the whole system starts, or since it is new.
    pub fn with_past_within_rate(self) -> Self {
        Self { past: PastUse::WithinRate, ..self }
    }

    /// Returns the limiter with a number that differs from entry to entry.
    pub fn with_seed(self, seed: u64) -> Self {
        Self { bucket: self.bucket.with_seed(seed), ..self }
    }

    /// Replaces the limit. The first limit starts with a window of assumed use.
    pub fn update(&mut self, limit: QuotaLimit, now: MonoTime) {
        self.advance(now);
        let is_first = self.limit.replace(limit).is_none();
        if !is_first || !limit.is_limited() {
            return;
        }
        self.bucket.start(&limit, self.partition);
        match self.past {
            PastUse::WithinRate => self.known.add_rate(limit.rate, limit.window, now),
            PastUse::Unknown => self.unknown_past.add(limit.max_use(self.partition), now),
        }
    }

    /// Replaces what is presumed of the use before the start by the stored trace of it, whose slices
    /// are of the whole fleet. What may have been used since is added. Later traces have no effect.
    pub fn apply_trace(&mut self, slices: &[u64], now: MonoTime) {
        let Some(limit) = self.limit() else { return };
        self.advance(now);
        if self.unknown_past.is_empty() || std::mem::replace(&mut self.is_traced, true) {
            return;
        }
        let max_use = limit.max_use(self.partition);
        let mut traced = UseWindow::from_slices(slices, limit.window, now);
        traced.add(max_use * UNTRACED_FRACTION, now);
        if traced.sum() < self.unknown_past.sum() {
            self.unknown_past = traced;
        }
    }

    /// Returns the use of this entry by slice of the window, and that of earlier processes on its VM:
    /// an equal part of what all entries may have used, unless a hub has told it.
    pub fn history(&mut self, now: MonoTime) -> Option<(Vec<u64>, Vec<u64>)> {
        let window = self.limit()?.window;
        self.advance(now);
        let mut unknown = self.unknown_past.clone();
        unknown.scale(self.partition.entry_fraction());
        let earlier = self.earlier.as_ref().unwrap_or(&unknown);
        Some((self.own.slices(window, now), earlier.slices(window, now)))
    }

    /// Records that there is a new hub, which doesn't know the use of any entry yet.
    pub fn record_new_hub(&mut self) {
        self.unknown_fraction = 1.0;
    }

    /// Applies what the hub knows of the use of all others, by slice of the window, and of its part of
    /// earlier processes on this VM. It replaces what is presumed, but for the fraction of the entries
    /// whose use the hub doesn't know.
    pub fn apply_fleet_use(
        &mut self,
        slices: &[u64],
        earlier_slices: &[u64],
        unknown_fraction: f64,
        now: MonoTime,
    ) {
        let Some(limit) = self.limit() else { return };
        self.advance(now);
        self.earlier = Some(UseWindow::from_slices(earlier_slices, limit.window, now));
        let factor = match self.unknown_fraction > 0.0 {
            true => (unknown_fraction / self.unknown_fraction).min(1.0),
            false => 0.0,
        };
        self.unknown_fraction = self.unknown_fraction.min(unknown_fraction);
        self.presumed.scale(factor);
        self.unknown_past.scale(factor);
        let mut known = UseWindow::from_slices(slices, limit.window, now);
        known.merge(&self.own);
        // The use of an entry that ended with the former hub may be known here only.
        let missing = self.known.sum() - known.sum();
        if missing <= 0.0 {
            self.known = known;
        } else if unknown_fraction <= 0.0 {
            known.add(missing, now);
            self.known = known;
        }
    }

    /// Assumes that other entries went on spending since their use was last reported, because what
    /// they spent meanwhile is unknown.
    pub fn assume_remote_use(&mut self, now: MonoTime) {
        self.presume_unreported(1.0 - self.partition.entry_fraction(), now);
    }

    /// Presumes what `fraction` of all entries may have spent since the last report.
    fn presume_unreported(&mut self, fraction: f64, now: MonoTime) {
        let Some(limit) = self.limit() else { return };
        self.advance(now);
        let since = self.remote.updated().max(self.presumed_until);
        let age = now.since(since).min(limit.window);
        let rate = self.remote.drain_rate(&limit, now) * fraction;
        self.presumed.add(rate * age.as_secs_f64(), now);
        // Each of them also had a fraction of the burst available at once.
        self.presumed.add(limit.burst * fraction * INITIAL_BURST_FRACTION, now);
        self.presumed_until = now;
    }

    /// Sets which entries are reachable.
    pub fn update_partition(&mut self, partition: FleetPartition, now: MonoTime) {
        if partition == self.partition {
            return;
        }
        self.advance(now);
        let burst = self.limit.map_or(0.0, |limit| limit.burst);
        self.bucket.divide(burst, self.partition, partition);
        if partition.is_isolated() && !self.partition.is_isolated() {
            self.presume_unreported(1.0 - partition.fraction(), now);
        }
        self.presumed_until = now;
        self.partition = partition;
    }

    /// Records the `tokens` that other entries spent since their use was last reported; zero lowers
    /// their estimated rate.
    pub fn record_remote_use(&mut self, tokens: u64, now: MonoTime) {
        self.remote.record_report(tokens, self.is_near_limit(), self.partition, now);
        if tokens > 0 {
            self.record_use(tokens as f64, now);
        }
    }

    /// Charges a request.
    pub fn charge(&mut self, cost: TokenCount, now: MonoTime) -> QuotaOutcome {
        let tokens = cost.get() as f64;
        let Some(limit) = self.limit() else {
            self.spent += cost.get();
            return QuotaOutcome::Charged;
        };
        self.advance(now);
        if let Some(wait) = self.find_wait(&limit, tokens, now) {
            return QuotaOutcome::Exceeded(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        }
        self.record_use(tokens, now);
        self.own.add(tokens, now);
        self.remote.record_own(tokens);
        self.spent += cost.get();
        QuotaOutcome::Charged
    }

    /// Adds the cost of a request that did not run back to the bucket of this entry, and a negative
    /// use to its window. The total that is reported to the hub keeps the charge.
    pub fn refund(&mut self, cost: TokenCount, now: MonoTime) {
        let tokens = -(cost.get() as f64);
        self.record_use(tokens, now);
        if self.limit().is_some() {
            self.own.add(tokens, now);
        }
    }

    /// Describes the use that led to a refusal, for logs and responses.
    pub fn describe(&self, now: MonoTime) -> String {
        let max_use = self.limit.map_or(0.0, |limit| limit.max_use(self.partition));
        let window = self.limit.map_or(TimeSpan::ZERO, |limit| limit.window);
        let (reachable, total) = (self.partition.reachable, self.partition.total);
        let unreported = self.estimate_unreported(now) + self.unknown_use();
        format!(
            "{:.0} and about {unreported:.0} more of {max_use:.0} tokens were used within {window}, \
             by {reachable} of {total} entries",
            self.known.sum()
        )
    }

    /// Returns the total charged at this entry since the process started, including refunded
    /// charges.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns the limit, if the organisation has one.
    pub fn limit(&self) -> Option<QuotaLimit> {
        self.limit.filter(QuotaLimit::is_limited)
    }

    /// Returns whether use is near the limit and use at this entry is not yet reported to the hub.
    pub fn has_urgent_use(&self) -> bool {
        self.is_near_limit() && self.spent != self.reported_spent
    }

    /// Returns whether the use at this entry that is not reported to the hub is more than its part of
    /// what all entries may leave unreported.
    pub fn has_much_unreported(&self) -> bool {
        let unreported = (self.spent - self.reported_spent) as f64;
        let max_unreported = |limit: QuotaLimit| {
            limit.nominal * UNREPORTED_FRACTION * self.partition.entry_fraction()
        };
        unreported > 0.0 && self.limit().is_some_and(|limit| unreported > max_unreported(limit))
    }

    fn is_near_limit(&self) -> bool {
        self.limit.is_some_and(|limit| {
            self.known.sum() > limit.max_use(self.partition) * NEAR_LIMIT_FRACTION
        })
    }

    /// Marks all use at this entry as reported to the hub.
    pub fn mark_reported(&mut self) {
        self.reported_spent = self.spent;
    }

    /// Marks it as reported at once; returns whether a reply is expected, since use is near the limit.
    pub fn mark_reported_at_once(&mut self, now: MonoTime) -> bool {
        self.mark_reported();
        let is_near_limit = self.is_near_limit();
        if is_near_limit {
            self.remote.record_wanted_reply(now);
        }
        is_near_limit
    }

    /// Returns how long a request must wait; `None` if it is within the limit now.
    fn find_wait(&mut self, limit: &QuotaLimit, tokens: f64, now: MonoTime) -> Option<TimeSpan> {
        let max_use = limit.max_use(self.partition);
        let used = self.known.sum() + self.unknown_use() + self.estimate_unreported(now);
        let excess = used + tokens.min(max_use) - max_use;
        if excess > 0.0 {
            return Some(self.find_room(limit, excess, now));
        }
        if self.partition.is_complete() {
            return None;
        }
        self.bucket.find_wait(limit, self.partition, tokens, now)
    }

    /// Returns the time until `excess` tokens have left the window.
    fn find_room(&self, limit: &QuotaLimit, mut excess: f64, now: MonoTime) -> TimeSpan {
        let windows = [&self.known, &self.unknown_past, &self.presumed];
        let mut uses: Vec<_> = windows.into_iter().flat_map(UseWindow::iter).collect();
        uses.sort_by_key(|(time, _)| *time);
        for (time, tokens) in uses {
            excess -= tokens;
            if excess <= 0.0 {
                return (time + limit.window).since(now);
            }
        }
        limit.window
    }

    /// Returns the tokens that may have been used although no report shows it.
    fn unknown_use(&self) -> f64 {
        self.unknown_past.sum() + self.presumed.sum()
    }

    fn estimate_unreported(&self, now: MonoTime) -> f64 {
        let (limit, known_use) = (self.limit.as_ref(), self.known.sum());
        self.remote.estimate_unreported(limit, self.partition, known_use, now)
    }

    fn record_use(&mut self, tokens: f64, now: MonoTime) {
        self.advance(now);
        self.bucket.withdraw(tokens);
        if self.limit().is_some() {
            self.known.add(tokens, now);
        }
    }

    /// Refills the bucket up to `now`, presumes what unreachable entries have used up to then, and
    /// removes the uses that have left the window.
    fn advance(&mut self, now: MonoTime) {
        let Some(limit) = self.limit() else { return };
        self.bucket.advance(&limit, self.partition, now);
        let unpresumed = now.since(self.presumed_until);
        if !self.partition.is_complete() && unpresumed >= PRESUMED_STEP {
            let rate = limit.rate * (1.0 - self.partition.fraction());
            self.presumed.add(rate * unpresumed.min(limit.window).as_secs_f64(), now);
            self.presumed_until = now;
        }
        let windows = [&mut self.known, &mut self.own, &mut self.unknown_past, &mut self.presumed];
        for uses in windows.into_iter().chain(self.earlier.as_mut()) {
            uses.prune(limit.window, now);
        }
    }
}
