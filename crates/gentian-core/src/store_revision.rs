//! Revisions of the key-value service.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{FenceNumber, ParseError, StoreEra};

/// Bits of the number within an era. With the era above them, a fencing number that is made of a
/// revision stays exact where numbers are 64-bit floats, for eight thousand eras.
const NUMBER_BITS: u32 = 40;

/// Revision of the key-value service, with the era in which it was given out.
///
/// A service that is restored from a copy gives out its numbers again, and names a later era from
/// then on. A revision of a later era is newer than all revisions of earlier ones, whatever their
/// numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision(u64);

impl StoreRevision {
    /// Creates the revision with this number of a service without eras.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the revision with the same number in `era`.
    pub const fn with_era(self, era: StoreEra) -> Self {
        Self(self.number() | era.get() << NUMBER_BITS)
    }

    /// Returns the era.
    pub const fn era(self) -> StoreEra {
        StoreEra::new(self.0 >> NUMBER_BITS)
    }

    /// Returns the number within the era, as the service knows it; zero stands for no revision.
    pub const fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }

    /// Returns the fencing number of the process whose record has this revision.
    pub const fn fence(self) -> FenceNumber {
        FenceNumber::new(self.0)
    }

    /// Returns the revision of the record from which a fencing number was made.
    pub const fn of_fence(fence: FenceNumber) -> Self {
        Self(fence.get())
    }

    /// Returns whether a record with this revision is the one that had `earlier`, restored from a
    /// copy or not: a copy keeps the numbers of its records.
    pub fn is_same_record(self, earlier: Self) -> bool {
        self.number() == earlier.number() && self.era() >= earlier.era()
    }

    /// Returns the next revision of the same era.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era().get() {
            0 => write!(f, "{}", self.number()),
            era => write!(f, "{era}.{}", self.number()),
        }
    }
}

impl FromStr for StoreRevision {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, number) = text.split_once('.').unwrap_or(("0", text));
        let invalid = || ParseError::new("revision", text, "a whole number, with an era before it");
        let era = era.parse().map_err(|_| invalid())?;
        Ok(Self::new(number.parse().map_err(|_| invalid())?).with_era(era))
    }
}
