//! Token counts, token rates and counts of concurrent calls.

use std::ops::{Add, AddAssign};

use crate::TimeSpan;
use crate::newtypes::number_newtype;

number_newtype!(
    /// A number of tokens, or of requests if an organisation is charged by request.
    TokenCount,
    "token count"
);
number_newtype!(
    /// A rate per second in tokens, or in requests if an organisation is charged by request.
    TokenRate,
    "token rate"
);
number_newtype!(
    /// A number of calls that an upstream runs concurrently.
    SlotCount,
    "slot count"
);

impl TokenCount {
    /// Zero tokens.
    pub const ZERO: Self = Self::new(0);

    /// Returns this count minus `other`, or zero if `other` is larger.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self::new(self.get().saturating_sub(other.get()))
    }
}

impl Add for TokenCount {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self::new(self.get().saturating_add(other.get()))
    }
}

impl AddAssign for TokenCount {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl TokenRate {
    /// Returns the tokens that accrue within `span`, rounded down.
    pub fn tokens_in(self, span: TimeSpan) -> TokenCount {
        let micro_tokens = u128::from(self.get()) * u128::from(span.as_micros());
        TokenCount::new(u64::try_from(micro_tokens / 1_000_000).unwrap_or(u64::MAX))
    }
}
