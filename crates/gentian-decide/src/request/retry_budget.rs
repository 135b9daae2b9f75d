//! Budget of retries.

/// Retries saved up at most.
const BUDGET_LIMIT: f64 = 20.0;
/// Part of a retry that each first attempt saves up.
const RETRY_SHARE: f64 = 0.1;
/// Attempts of one request.
const ATTEMPT_LIMIT: u32 = 3;

/// Allows retries in proportion to first attempts, so that retries do not multiply an overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub const fn new() -> Self {
        Self { saved: BUDGET_LIMIT }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.saved = (self.saved + RETRY_SHARE).min(BUDGET_LIMIT);
    }

    /// Takes a retry after `attempts` attempts of one request, if the budget allows it.
    pub fn acquire_retry(&mut self, attempts: u32) -> bool {
        if attempts >= ATTEMPT_LIMIT || self.saved < 1.0 {
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
