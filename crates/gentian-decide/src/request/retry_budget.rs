//! Budget of retries at one entry.

/// Maximum number of retries that the budget accumulates.
const MAX_SAVED_RETRIES: f64 = 20.0;
/// Retries that each first attempt adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 3;

/// Limits retries to a proportion of first attempts, so that they do not amplify an overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub const fn new() -> Self {
        Self { saved: MAX_SAVED_RETRIES }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.saved = (self.saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget for a request with `attempts` attempts; `false` if the
    /// budget or the limit of attempts does not allow it.
    pub fn acquire_retry(&mut self, attempts: u32) -> bool {
        if attempts >= MAX_ATTEMPTS || self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
