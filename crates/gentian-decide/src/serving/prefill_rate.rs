//! How fast engines read prompts, learned from when answers begin.

use gentian_core::TimeSpan;

/// Weight of the newest answer.
const NEWEST_WEIGHT: f64 = 0.05;
/// Prompt tokens ahead of an answer, its own among them, from which reading them takes most of the
/// time until it begins.
const LEAST_TOKENS: u32 = 4_000;

/// Time that engines of a service take for a prompt token, on average over what they still keep of
/// prompts and what they read.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillRate {
    micros_per_token: Option<f64>,
}

impl PrefillRate {
    /// Takes in that an answer began `took` after its request was sent, behind `tokens` prompt tokens.
    pub fn record(&mut self, tokens: u32, took: TimeSpan) {
        if tokens < LEAST_TOKENS {
            return;
        }
        let newest = took.as_micros() as f64 / f64::from(tokens);
        let past = self.micros_per_token.unwrap_or(newest);
        self.micros_per_token = Some(past + (newest - past) * NEWEST_WEIGHT);
    }

    /// Returns the time until `tokens` are read; zero while nothing was learned.
    pub fn delay_of(&self, tokens: u32) -> TimeSpan {
        let micros = self.micros_per_token.unwrap_or(0.0) * f64::from(tokens);
        TimeSpan::from_micros(micros as u64)
    }
}
