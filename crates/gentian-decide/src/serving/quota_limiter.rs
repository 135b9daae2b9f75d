//! The use of an organisation over all entries together.

use std::collections::VecDeque;

use gentian_core::{MonoTime, TimeSpan, TokenCount};

use super::QuotaLimit;
use super::report_interval::hot_spacing;

/// Wait that a refusal names.
const SHORTEST_WAIT: TimeSpan = TimeSpan::from_millis(100);
const LONGEST_WAIT: TimeSpan = TimeSpan::from_secs(5);
/// Time constant of the rate at which other entries spend.
const RATE_TIME: TimeSpan = TimeSpan::from_secs(1);
/// Longest time over which other entries are taken to spend on unseen: a silent hub is noticed within
/// it.
const UNSEEN_TIME: TimeSpan = TimeSpan::from_secs(2);
/// Time constant of their rate in a flood: some digests of the largest fleet long.
const FLOOD_TIME: TimeSpan = TimeSpan::from_millis(300);
/// Slices into which a use is divided of which only the rate is presumed.
const PRESUMED_SLICES: u64 = 8;
/// Part of the limit in use from which entries tell each other at once of what they spend.
const HOT_PART: f64 = 0.6;
/// Part of its share of the burst that an entry has at once when it begins to count alone.
const ALONE_START: f64 = 0.25;

/// Part of the fleet that shares one count with this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPartition {
    /// Entries whose use this entry knows, itself included.
    pub reachable: u32,
    /// All entries.
    pub total: u32,
}

impl FleetPartition {
    /// Creates the part of an entry that hears nobody.
    pub fn isolated(total: u32) -> Self {
        Self { reachable: 1, total: total.max(1) }
    }

    /// Tells whether every entry is heard.
    pub fn is_complete(self) -> bool {
        self.reachable >= self.total
    }

    fn share(self) -> f64 {
        f64::from(self.reachable.min(self.total)) / f64::from(self.total.max(1))
    }
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaOutcome {
    /// The request was charged.
    Charged,
    /// The tokens are used up; they are there again after this time.
    Exceeded(TimeSpan),
}

/// Counts the use of one organisation within a sliding window, by this entry and by those that it
/// hears of.
///
/// While some entries are not heard, those that hear each other also keep to their share of the
/// rate from then on, so that the parts of a divided fleet together keep the limit.
#[derive(Clone, Debug)]
pub struct QuotaLimiter {
    limit: Option<QuotaLimit>,
    used: VecDeque<(MonoTime, f64)>,
    sum: f64,
    part: FleetPartition,
    /// Tokens of the part's own bucket, while the part is not the whole fleet.
    level: f64,
    updated: MonoTime,
    /// Tokens a second that other entries spend, smoothed over a longer and a shorter time.
    slow_rate: f64,
    fast_rate: f64,
    /// When what they spent was last counted, and how old that was then.
    others_at: MonoTime,
    unheard: TimeSpan,
    spent: u64,
    /// Tokens spent here that the hub was told of.
    told: u64,
}

impl QuotaLimiter {
    /// Creates the gate of an entry that hears `part` of the fleet.
    pub fn new(part: FleetPartition, now: MonoTime) -> Self {
        Self {
            limit: None,
            used: VecDeque::new(),
            sum: 0.0,
            part,
            level: 0.0,
            updated: now,
            slow_rate: 0.0,
            fast_rate: 0.0,
            others_at: now,
            unheard: TimeSpan::ZERO,
            spent: 0,
            told: 0,
        }
    }

    /// Takes the limit of a new configuration over.
    pub fn update(&mut self, limit: QuotaLimit, now: MonoTime) {
        self.refill(now);
        let is_first = self.limit.replace(limit).is_none();
        if is_first {
            self.level = limit.burst * self.part.share() * ALONE_START;
            self.presume(limit.rate, limit.window, now);
        }
    }

    /// Takes it that other entries have used their part of the rate since the last count, because
    /// what they spent meanwhile is not known.
    pub fn assume_remote_use(&mut self, now: MonoTime) {
        let Some(limit) = self.limit else { return };
        let others = 1.0 - FleetPartition::isolated(self.part.total).share();
        self.presume(limit.rate * others, now.since(self.others_at).min(limit.window), now);
        // Each of them also had its part of the burst at once.
        self.add_use(limit.burst * others * ALONE_START, now);
        self.others_at = now;
    }

    /// Counts a use at `rate` tokens_in the time `span` before now.
    fn presume(&mut self, rate: f64, span: TimeSpan, now: MonoTime) {
        let slice = TimeSpan::from_micros(span.as_micros() / PRESUMED_SLICES);
        for number in (0..PRESUMED_SLICES).rev() {
            self.add_use(rate * slice.as_secs_f64(), now - slice * number);
        }
    }

    /// Takes over which entries are heard.
    pub fn update_partition(&mut self, part: FleetPartition, now: MonoTime) {
        if part == self.part {
            return;
        }
        self.refill(now);
        if self.part.is_complete() {
            let burst = self.limit.map_or(0.0, |limit| limit.burst);
            self.level = burst * part.share() * ALONE_START;
        }
        self.part = part;
    }

    /// Takes in what other entries spent since the last count, which may be nothing.
    pub fn record_remote_use(&mut self, tokens: u64, now: MonoTime) {
        let gap = now.since(self.others_at);
        if gap > TimeSpan::ZERO {
            let newest = tokens as f64 / gap.as_secs_f64();
            // A flood is believed soon, its end only after a while.
            self.slow_rate = approach(self.slow_rate, newest, gap, RATE_TIME);
            self.fast_rate = approach(self.fast_rate, newest, gap, FLOOD_TIME);
            // Near the limit entries tell the hub of new use soon, otherwise at the pace of this one.
            let entries = usize::try_from(self.part.total).unwrap_or(usize::MAX);
            self.unheard = if self.is_hot() { hot_spacing(entries) } else { gap.min(UNSEEN_TIME) };
            self.others_at = now;
        }
        if tokens > 0 {
            self.note_use(tokens as f64, now);
        }
    }

    /// Charges a request.
    pub fn charge(&mut self, cost: TokenCount, now: MonoTime) -> QuotaOutcome {
        let tokens = cost.get() as f64;
        let Some(limit) = self.limit.filter(QuotaLimit::is_limited) else {
            self.spent += cost.get();
            return QuotaOutcome::Charged;
        };
        self.refill(now);
        if let Some(wait) = self.find_wait(&limit, tokens, now) {
            return QuotaOutcome::Exceeded(wait.clamp(SHORTEST_WAIT, LONGEST_WAIT));
        }
        self.note_use(tokens, now);
        self.spent += cost.get();
        QuotaOutcome::Charged
    }

    /// Gives back what a request was charged that did not run; other entries may have been told.
    pub fn refund(&mut self, cost: TokenCount, now: MonoTime) {
        self.note_use(-(cost.get() as f64), now);
    }

    /// Describes the use that refused a request, for logs and answers.
    pub fn describe(&self, now: MonoTime) -> String {
        let most = self.limit.map_or(0.0, |limit| limit.max_use(self.part));
        let window = self.limit.map_or(TimeSpan::ZERO, |limit| limit.window);
        let (heard, all) = (self.part.reachable, self.part.total);
        let (used, untold) = (self.sum, self.untold(now));
        format!(
            "{used:.0} and about {untold:.0} more of {most:.0} tokens were used within {window}, \
             by {heard} of {all} entries"
        )
    }

    /// Returns the tokens spent at this entry since the process started.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Tells whether the use comes near the limit and the hub was not told of all that was spent here.
    pub fn has_urgent_use(&self) -> bool {
        self.is_hot() && self.spent != self.told
    }

    fn is_hot(&self) -> bool {
        self.limit.is_some_and(|limit| self.sum > limit.max_use(self.part) * HOT_PART)
    }

    /// Notes that the hub is being told of all that was spent here.
    pub fn mark_reported(&mut self) {
        self.told = self.spent;
    }

    /// Returns how long a request has to wait; `None` if it fits now.
    fn find_wait(&self, limit: &QuotaLimit, tokens: f64, now: MonoTime) -> Option<TimeSpan> {
        let most = limit.max_use(self.part);
        let mut excess = self.sum + self.untold(now) + tokens.min(most) - most;
        if excess > 0.0 {
            for (time, used) in &self.used {
                excess -= used;
                if excess <= 0.0 {
                    return Some((*time + limit.window).since(now));
                }
            }
            return Some(limit.window);
        }
        let missing = tokens.min(limit.burst * self.part.share()) - self.level;
        if self.part.is_complete() || missing <= 0.0 {
            return None;
        }
        let rate = (limit.rate * self.part.share()).max(1.0);
        Some(TimeSpan::from_micros((missing / rate * 1e6) as u64))
    }

    /// Returns what other entries have probably spent that this one was not told of yet: their counts
    /// are as old as the last one, and the hub had not heard of their newest use then.
    fn untold(&self, now: MonoTime) -> f64 {
        let age = now.since(self.others_at).min(UNSEEN_TIME) + self.unheard;
        self.slow_rate.max(self.fast_rate) * age.as_secs_f64()
    }

    fn note_use(&mut self, tokens: f64, now: MonoTime) {
        self.refill(now);
        self.level -= tokens;
        self.add_use(tokens, now);
    }

    fn add_use(&mut self, tokens: f64, time: MonoTime) {
        if self.limit.is_some_and(|limit| limit.is_limited()) {
            self.used.push_back((time, tokens));
            self.sum += tokens;
        }
    }

    fn refill(&mut self, now: MonoTime) {
        let seconds = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let Some(limit) = self.limit else { return };
        let share = self.part.share();
        self.level = (self.level + limit.rate * share * seconds).min(limit.burst * share);
        while self.used.front().is_some_and(|(time, _)| now.since(*time) >= limit.window) {
            if let Some((_, tokens)) = self.used.pop_front() {
                self.sum -= tokens;
            }
        }
    }
}

/// Returns `past` after `gap` on its way to `newest` with the time constant `span`.
fn approach(past: f64, newest: f64, gap: TimeSpan, span: TimeSpan) -> f64 {
    let weight = 1.0 - (-gap.as_secs_f64() / span.as_secs_f64()).exp();
    past + (newest - past) * weight
}
