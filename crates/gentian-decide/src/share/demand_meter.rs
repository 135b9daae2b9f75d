//! Measurement of recent demand.

use gentian_core::{MonoTime, TimeSpan, TokenCount};

/// Time over which demand fades.
const FADE: TimeSpan = TimeSpan::from_millis(1_000);

/// Tokens wanted lately, fading exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    faded: f64,
    updated: MonoTime,
}

impl DemandMeter {
    /// Creates a meter without demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts tokens that a request wants.
    pub fn add(&mut self, tokens: TokenCount, now: MonoTime) {
        self.faded = self.level(now) + tokens.get() as f64;
        self.updated = now;
    }

    /// Returns the tokens that are expected within `span`.
    pub fn expected(&self, span: TimeSpan, now: MonoTime) -> TokenCount {
        let per_span = self.level(now) * span.as_secs_f64() / FADE.as_secs_f64();
        TokenCount::new(per_span as u64)
    }

    fn level(&self, now: MonoTime) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / FADE.as_secs_f64();
        self.faded * (-age).exp()
    }
}
