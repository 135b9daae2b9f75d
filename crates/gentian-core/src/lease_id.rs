//! Leases of the key-value service.

use std::fmt;
use std::str::FromStr;

use crate::{ParseError, StoreEra};

/// A lease of the key-value service, with the era in which it was granted. A service that is
/// restored from a copy gives out the numbers of leases again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseId {
    number: u64,
    era: StoreEra,
}

impl LeaseId {
    /// Creates the lease with this number of a service without eras; zero stands for no lease.
    pub const fn new(number: u64) -> Self {
        Self { number, era: StoreEra::new(0) }
    }

    /// Returns the lease with the same number that was granted in `era`.
    pub const fn with_era(self, era: StoreEra) -> Self {
        Self { era, ..self }
    }

    /// Returns the era in which the lease was granted.
    pub const fn era(self) -> StoreEra {
        self.era
    }

    /// Returns the number by which the service knows the lease.
    pub const fn number(self) -> u64 {
        self.number
    }
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.number.fmt(f)
    }
}

impl FromStr for LeaseId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse();
        number.map(Self::new).map_err(|_| ParseError::new("lease number", text, "a whole number"))
    }
}
