//! Prefill time per prompt token, estimated from the time to the first byte of responses.

use gentian_core::TimeSpan;

/// Weight of the newest sample in the moving average.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.05;
/// Fewest pending prompt tokens for which prefill dominates the time to the first byte.
const MIN_SAMPLE_TOKENS: u32 = 4_000;
/// Time assumed for a prompt token before the first sample, in microseconds.
const TYPICAL_MICROS_PER_TOKEN: f64 = 25.0;

/// Average time that the engines of a service take per prompt token, over both cached and computed
/// tokens; only over those that are likely not held where the size of the cache is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillTime {
    micros_per_token: Option<f64>,
}

impl PrefillTime {
    /// Records that a response started `elapsed` after its request was sent, with `tokens` prompt
    /// tokens to prefill before it, its own included.
    pub fn record(&mut self, tokens: u32, elapsed: TimeSpan) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let newest = elapsed.as_micros() as f64 / f64::from(tokens);
        let previous = self.micros_per_token.unwrap_or(newest);
        self.micros_per_token = Some(previous + (newest - previous) * NEWEST_SAMPLE_WEIGHT);
    }

    /// Returns the expected time to prefill `tokens`; before the first sample, that at a typical
    /// engine.
    pub fn typical_delay(&self, tokens: f64) -> TimeSpan {
        let micros = self.micros_per_token.unwrap_or(TYPICAL_MICROS_PER_TOKEN) * tokens;
        TimeSpan::from_micros(micros as u64)
    }

    /// Returns the time per token in microseconds; `None` before the first sample.
    pub fn micros_per_token(&self) -> Option<f64> {
        self.micros_per_token
    }

    /// Returns the expected time to prefill `tokens`; zero before the first sample.
    pub fn expected_delay(&self, tokens: u32) -> TimeSpan {
        let micros = self.micros_per_token.unwrap_or(0.0) * f64::from(tokens);
        TimeSpan::from_micros(micros as u64)
    }
}
