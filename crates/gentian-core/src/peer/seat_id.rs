//! Identifiers of seats.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{ParseError, ShardNumber};

/// What the holder of a seat decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SeatRole {
    /// Which models and adapters are loaded on which upstream.
    Placement,
    /// Tokens of organisations and concurrent calls at upstreams.
    Share,
}

impl fmt::Display for SeatRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Placement => "placement",
            Self::Share => "share",
        })
    }
}

impl FromStr for SeatRole {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "placement" => Ok(Self::Placement),
            "share" => Ok(Self::Share),
            _ => Err(ParseError::new("seat role", text, "placement or share")),
        }
    }
}

/// A seat: a role and a shard, held by at most one acting process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SeatId {
    /// What the holder decides.
    pub role: SeatRole,
    /// Shard of the role.
    pub shard: ShardNumber,
}

impl SeatId {
    /// Creates the identifier of a seat.
    pub const fn new(role: SeatRole, shard: ShardNumber) -> Self {
        Self { role, shard }
    }
}

impl fmt::Display for SeatId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.role, self.shard)
    }
}

impl FromStr for SeatId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseError::new("seat", text, "a role, '/' and a shard number");
        let (role, shard) = text.split_once('/').ok_or_else(error)?;
        Ok(Self::new(role.parse()?, shard.parse()?))
    }
}
