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
    /// Retries available now.
    available_retries: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub const fn new() -> Self {
        Self { available_retries: MAX_SAVED_RETRIES }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.available_retries =
            (self.available_retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget for a request with `attempts` attempts; `false` if the
    /// budget or the limit of attempts does not allow it.
    pub fn acquire_retry(&mut self, attempts: u32) -> bool {
        if attempts >= MAX_ATTEMPTS || self.available_retries < 1.0 {
            return false;
        }
        self.available_retries -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
