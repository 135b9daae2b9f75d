//! Expected time to the first event at an upstream, in the number of prompt tokens whose prefill would
//! take as long.

/// Time of a request of a plain service at the usual pace, and the delay assumed at an upstream whose
/// slots are all in use.
const PLAIN_REQUEST_TOKENS: f64 = 2_000.0;
/// Delay that a running request causes at an engine.
const RUNNING_DELAY_TOKENS: f64 = 60.0;
/// Time in which a slot of an engine gets free.
const SLOT_WAIT_TOKENS: f64 = 2_500.0;

/// Figures from which the time at one upstream is computed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExpectedTime {
    /// Requests of all entries there.
    pub requests: f64,
    /// Requests that it runs at the same time.
    pub slots: f64,
    /// Factor by which work takes longer than usual.
    pub pace: f64,
    /// Prompt tokens to prefill before this request.
    pub pending_tokens: f64,
    /// Prompt tokens of this request that are to be prefilled there.
    pub prompt_tokens: f64,
}

/// Returns the expected time at an upstream of a plain service beyond that of a request at an idle
/// one.
pub fn expected_plain_time(figures: &ExpectedTime) -> f64 {
    let occupied = figures.requests / figures.slots.max(1.0);
    (occupied * figures.pace + (figures.pace - 1.0)) * PLAIN_REQUEST_TOKENS
}

/// Returns the expected time to the first event at an engine.
pub fn expected_engine_time(figures: &ExpectedTime) -> f64 {
    let ahead = figures.pending_tokens + figures.requests * RUNNING_DELAY_TOKENS;
    let excess = (figures.requests + 1.0 - figures.slots.max(1.0)).max(0.0);
    (ahead + figures.prompt_tokens + excess * SLOT_WAIT_TOKENS) * figures.pace
}
