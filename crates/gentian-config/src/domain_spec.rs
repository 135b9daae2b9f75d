//! Failure domains.

use std::fmt;
use std::str::FromStr;

use gentian_core::{DomainId, ParseError};

use crate::SectionReader;

/// Whether a failure domain takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DomainState {
    /// The domain takes new work.
    Serving,
    /// The domain takes no new work; running work finishes.
    Drained,
}

impl fmt::Display for DomainState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Drained => "drained",
        })
    }
}

impl FromStr for DomainState {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "serving" => Ok(Self::Serving),
            "drained" => Ok(Self::Drained),
            _ => Err(ParseError::new("failure domain state", text, "serving or drained")),
        }
    }
}

/// A set of VMs and upstreams that fail together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainSpec {
    /// Name of the failure domain.
    pub id: DomainId,
    /// Whether it takes new work.
    pub state: DomainState,
}

impl DomainSpec {
    pub(crate) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let id = reader.name();
        let state = reader.optional("state").unwrap_or(DomainState::Serving);
        Some(Self { id: id?, state })
    }
}
