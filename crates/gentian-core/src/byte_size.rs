//! Sizes of memory and messages.

use std::fmt;
use std::ops::Add;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;
use crate::newtypes::split_unit;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;

/// A size in bytes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ByteSize(u64);

impl ByteSize {
    /// Zero bytes.
    pub const ZERO: Self = Self(0);

    /// Creates a size from bytes.
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Creates a size from mebibytes.
    pub const fn from_mib(mib: u64) -> Self {
        Self(mib * MIB)
    }

    /// Returns the size in bytes.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns this size minus `other`, or zero if `other` is larger.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for ByteSize {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl std::iter::Sum for ByteSize {
    fn sum<I: Iterator<Item = Self>>(sizes: I) -> Self {
        sizes.fold(Self::ZERO, Add::add)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            bytes if bytes >= GIB && bytes % GIB == 0 => write!(f, "{}GiB", bytes / GIB),
            bytes if bytes >= MIB && bytes % MIB == 0 => write!(f, "{}MiB", bytes / MIB),
            bytes if bytes >= KIB && bytes % KIB == 0 => write!(f, "{}KiB", bytes / KIB),
            bytes => write!(f, "{bytes}B"),
        }
    }
}

impl FromStr for ByteSize {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error =
            || ParseError::new("byte size", text, "a whole number followed by B, KiB, MiB or GiB");
        let (digits, unit) = split_unit(text);
        let factor = match unit {
            "B" => 1,
            "KiB" => KIB,
            "MiB" => MIB,
            "GiB" => GIB,
            _ => return Err(error()),
        };
        let number: u64 = digits.parse().map_err(|_| error())?;
        number.checked_mul(factor).map(Self).ok_or_else(error)
    }
}
