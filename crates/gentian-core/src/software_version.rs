//! Version of an upstream's software.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Longest text of a version.
const MAX_CHARS: usize = 128;

/// Version of an upstream's software, as the upstream states it. Two versions may write different texts
/// for the same request; they are only compared for equality.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SoftwareVersion(Box<str>);

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_valid = |c: char| !c.is_whitespace() && !c.is_control();
        let is_version =
            !text.is_empty() && text.chars().count() <= MAX_CHARS && text.chars().all(is_valid);
        match is_version {
            true => Ok(Self(text.into())),
            false => {
                Err(ParseError::new("software version", text, "1 to 128 printable characters"))
            }
        }
    }
}
