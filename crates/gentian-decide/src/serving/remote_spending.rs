//! Estimate of what other entries spent since their use was last reported.

use gentian_core::{MonoTime, TimeSpan};

use super::report_interval::near_limit_interval;
use super::{FleetPartition, QuotaLimit};

/// Time constant of the slow average of the rate at which other entries spend.
const SLOW_TIME_CONSTANT: TimeSpan = TimeSpan::from_secs(1);
/// Time constant of the fast average, which follows a sudden flood of requests; a few near-limit
/// report intervals of about 90 entries.
const FAST_TIME_CONSTANT: TimeSpan = TimeSpan::from_millis(300);
/// Longest time over which other entries are assumed to continue spending without a report: an
/// unreachable hub is detected within it.
const MAX_UNREPORTED_TIME: TimeSpan = TimeSpan::from_secs(2);
/// Time that a report and the notice of it may take on slow processors.
const MESSAGE_DELAY: TimeSpan = TimeSpan::from_millis(50);
/// Factor by which the use of entries that became unreachable may have grown since it was last
/// reported: a flood may have begun shortly before.
const UNREPORTED_GROWTH: f64 = 2.0;
/// Largest number of other entries that are assumed to spend like this one until their next report.
const MAX_LIKE_ENTRIES: f64 = 5.0;
/// Time after which an entry near the limit takes the hub for silent if a report has no reply.
const REPLY_TIMEOUT: TimeSpan = TimeSpan::from_millis(80);
/// Fraction of the limit from which the hub tells all entries of each use, and the time after which an
/// entry takes it for silent then.
const AT_LIMIT_FRACTION: f64 = 0.85;
const NOTICE_TIMEOUT: TimeSpan = TimeSpan::from_millis(250);
/// Factor on the rate at which other entries may spend while the hub is silent.
const SILENT_FLOOD: f64 = 4.0;

/// What is known of the spending of the other entries besides the reports themselves.
#[derive(Clone, Debug)]
pub(super) struct RemoteSpending {
    /// Tokens per second that other entries spend, as a slow and a fast moving average.
    slow_rate: f64,
    fast_rate: f64,
    /// When their use was last reported or assumed, and the estimated age of the last report on its
    /// arrival.
    updated: MonoTime,
    lag: TimeSpan,
    /// Tokens charged here since their use was last reported.
    own_since_report: f64,
    /// When the first report near the limit was sent that has no reply yet.
    awaits_reply: Option<MonoTime>,
}

impl RemoteSpending {
    /// Creates the estimate of an entry that has heard of no use.
    pub(super) fn new(now: MonoTime) -> Self {
        Self {
            slow_rate: 0.0,
            fast_rate: 0.0,
            updated: now,
            lag: TimeSpan::ZERO,
            own_since_report: 0.0,
            awaits_reply: None,
        }
    }

    /// Returns when the use of the others was last reported or assumed.
    pub(super) fn updated(&self) -> MonoTime {
        self.updated
    }

    /// Records the `tokens` that other entries spent since their use was last reported; zero lowers
    /// their estimated rate.
    pub(super) fn record_report(
        &mut self,
        tokens: u64,
        is_near_limit: bool,
        partition: FleetPartition,
        now: MonoTime,
    ) {
        let gap = now.since(self.updated);
        if gap == TimeSpan::ZERO {
            return;
        }
        let newest = tokens as f64 / gap.as_secs_f64();
        // The larger average counts: it rises quickly in a flood, and falls slowly after it.
        self.slow_rate = smooth(self.slow_rate, newest, gap, SLOW_TIME_CONSTANT);
        self.fast_rate = smooth(self.fast_rate, newest, gap, FAST_TIME_CONSTANT);
        // Near the limit, entries report use at the shorter interval; otherwise about as often
        // as this one.
        let entries = usize::try_from(partition.total).unwrap_or(usize::MAX);
        self.lag = match is_near_limit {
            true => near_limit_interval(entries) + MESSAGE_DELAY,
            false => gap.min(MAX_UNREPORTED_TIME),
        };
        self.updated = now;
        self.own_since_report = 0.0;
        self.awaits_reply = None;
    }

    /// Records tokens charged at this entry.
    pub(super) fn record_own(&mut self, tokens: f64) {
        self.own_since_report += tokens;
    }

    /// Records that a report was sent to which the hub is to reply.
    pub(super) fn record_wanted_reply(&mut self, now: MonoTime) {
        self.awaits_reply.get_or_insert(now);
    }

    /// Returns the rate at which other entries may have spent since their last report, at least the
    /// rate of the limit, and starts anew: what they spent is presumed from now on.
    pub(super) fn drain_rate(&mut self, limit: &QuotaLimit, now: MonoTime) -> f64 {
        let measured = self.slow_rate.max(self.fast_rate) * UNREPORTED_GROWTH;
        *self = Self::new(now);
        measured.max(limit.rate)
    }

    /// Estimates the tokens that other entries have spent without this entry knowing: since their
    /// use was last reported, and during the time by which that report already lagged behind.
    /// `known_use` is what this entry knows of the window.
    pub(super) fn estimate_unreported(
        &self,
        limit: Option<&QuotaLimit>,
        partition: FleetPartition,
        known_use: f64,
        now: MonoTime,
    ) -> f64 {
        let age = now.since(self.updated).min(MAX_UNREPORTED_TIME) + self.lag;
        let measured = self.slow_rate.max(self.fast_rate) * age.as_secs_f64();
        let others = f64::from(partition.reachable.saturating_sub(1)).min(MAX_LIKE_ENTRIES);
        let Some(limit) = limit.filter(|_| others > 0.0) else { return measured };
        // At the limit all entries see the same room, and may use it at once.
        let like_this = self.awaits_reply.map_or(0.0, |_| self.own_since_report * others);
        let silence = self.find_silence(limit, known_use, now);
        measured.max(like_this).max(limit.rate * SILENT_FLOOD * silence.as_secs_f64())
    }

    /// Returns for how long the hub has been silent although it would have replied, or told of use so
    /// near the limit.
    fn find_silence(&self, limit: &QuotaLimit, known_use: f64, now: MonoTime) -> TimeSpan {
        let age = now.since(self.updated);
        let is_reply_missing =
            self.awaits_reply.is_some_and(|sent| now.since(sent) > REPLY_TIMEOUT);
        let is_at_limit = known_use > limit.nominal * AT_LIMIT_FRACTION;
        match (is_reply_missing, is_at_limit) {
            (true, _) => age,
            (false, true) => age.saturating_sub(NOTICE_TIMEOUT),
            (false, false) => TimeSpan::ZERO,
        }
    }
}

/// Returns the exponential moving average of `previous` and `newest` after `gap`.
fn smooth(previous: f64, newest: f64, gap: TimeSpan, time_constant: TimeSpan) -> f64 {
    let weight = 1.0 - (-gap.as_secs_f64() / time_constant.as_secs_f64()).exp();
    previous + (newest - previous) * weight
}
