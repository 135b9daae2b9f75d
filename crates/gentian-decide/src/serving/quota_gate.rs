//! The rate and burst of an organisation over all entries together.

use gentian_core::{MonoTime, TimeSpan, TokenCount};

/// Part of the allowed excess that is used to never refuse a request within the rate; the rest covers
/// what other entries spend before the hub has told of it.
const SLACK_PART: f64 = 0.3;
/// Part of the burst with which a process starts that knows nothing of what was spent before.
const START_PART: f64 = 0.5;
/// Wait that a refusal names at least.
const SHORTEST_WAIT: TimeSpan = TimeSpan::from_millis(100);
const LONGEST_WAIT: TimeSpan = TimeSpan::from_secs(5);

/// Part of the fleet that shares one count with this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPart {
    /// Entries whose use this entry knows, itself included.
    pub heard: u32,
    /// All entries.
    pub all: u32,
}

impl FleetPart {
    /// Creates the part of an entry that hears nobody.
    pub fn alone(all: u32) -> Self {
        Self { heard: 1, all: all.max(1) }
    }

    fn share(self) -> f64 {
        f64::from(self.heard.min(self.all)) / f64::from(self.all.max(1))
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

/// Token bucket of one organisation that counts for all entries that this one hears of.
///
/// The entries that hear of each other share as much of the rate as their number among all entries,
/// so that the parts of a divided fleet together keep the rate.
#[derive(Clone, Debug)]
pub struct QuotaGate {
    rate: f64,
    burst: f64,
    level: f64,
    updated: MonoTime,
    part: FleetPart,
    spent: u64,
}

impl QuotaGate {
    /// Creates the gate of an entry that hears `part` of the fleet.
    pub fn new(part: FleetPart, now: MonoTime) -> Self {
        Self { rate: 0.0, burst: 0.0, level: f64::NAN, updated: now, part, spent: 0 }
    }

    /// Takes the configured rate and burst over.
    pub fn update(&mut self, rate: f64, burst: TokenCount, slack: TokenCount, now: MonoTime) {
        self.refill(now);
        let burst = burst.get() as f64 + slack.get() as f64 * SLACK_PART;
        if self.level.is_nan() {
            self.level = burst * START_PART;
        }
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes over which entries are heard; an entry that hears fewer than before keeps only its part
    /// of what was saved up.
    pub fn note_part(&mut self, part: FleetPart, now: MonoTime) {
        self.refill(now);
        self.part = part;
        self.level = self.level.min(self.burst * part.share());
    }

    /// Takes in what other entries spent.
    pub fn note_others(&mut self, tokens: u64, now: MonoTime) {
        self.refill(now);
        self.level -= tokens as f64;
    }

    /// Charges a request.
    pub fn charge(&mut self, cost: TokenCount, now: MonoTime) -> QuotaOutcome {
        self.refill(now);
        if self.rate <= 0.0 {
            return QuotaOutcome::Charged;
        }
        let tokens = cost.get() as f64;
        let limit = self.burst * self.part.share();
        let missing = tokens.min(limit) - self.level;
        if missing > 0.0 {
            let seconds = missing / (self.rate * self.part.share()).max(1.0);
            let wait = TimeSpan::from_micros((seconds * 1e6) as u64);
            return QuotaOutcome::Exceeded(wait.clamp(SHORTEST_WAIT, LONGEST_WAIT));
        }
        self.level -= tokens;
        self.spent += cost.get();
        QuotaOutcome::Charged
    }

    /// Gives back what a request was charged that did not run.
    pub fn refund(&mut self, cost: TokenCount) {
        self.level += cost.get() as f64;
        self.spent = self.spent.saturating_sub(cost.get());
    }

    /// Returns the tokens spent at this entry since the process started.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    fn refill(&mut self, now: MonoTime) {
        let seconds = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let share = self.part.share();
        self.level = (self.level + self.rate * share * seconds).min(self.burst * share);
    }
}
