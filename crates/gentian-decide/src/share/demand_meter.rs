//! Recent demand for tokens.

use gentian_core::{MonoTime, TimeSpan, TokenCount};

/// Time constant of the exponential decay of demand.
const DECAY_TIME: TimeSpan = TimeSpan::from_millis(1_000);

/// Tokens requested recently, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    decayed_tokens: f64,
    updated_at: MonoTime,
}

impl DemandMeter {
    /// Creates a meter without demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts the tokens of a request.
    pub fn add(&mut self, tokens: TokenCount, now: MonoTime) {
        self.decayed_tokens = self.decayed_tokens_at(now) + tokens.get() as f64;
        self.updated_at = now;
    }

    /// Returns the tokens expected to be requested within `span`.
    pub fn expected(&self, span: TimeSpan, now: MonoTime) -> TokenCount {
        let per_span = self.decayed_tokens_at(now) * span.as_secs_f64() / DECAY_TIME.as_secs_f64();
        TokenCount::new(per_span as u64)
    }

    fn decayed_tokens_at(&self, now: MonoTime) -> f64 {
        let time_constants = now.since(self.updated_at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.decayed_tokens * (-time_constants).exp()
    }
}
