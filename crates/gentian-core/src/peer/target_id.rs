//! The model and adapter that a request needs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{AdapterId, ModelId, ParseError};

/// A base model, or an adapter on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetId {
    /// Base model.
    pub model: ModelId,
    /// Adapter, if one is needed in addition to the base model.
    pub adapter: Option<AdapterId>,
}

impl TargetId {
    /// Creates the target of a base model alone.
    pub const fn new(model: ModelId) -> Self {
        Self { model, adapter: None }
    }

    /// Sets the adapter.
    pub fn with_adapter(self, adapter: impl Into<Option<AdapterId>>) -> Self {
        Self { adapter: adapter.into(), ..self }
    }

    /// Returns the target of the base model alone.
    pub fn base(&self) -> Self {
        Self::new(self.model.clone())
    }

    /// Returns the name under which an engine knows the target.
    pub fn name(&self) -> &str {
        self.adapter.as_ref().map_or(self.model.as_str(), AdapterId::as_str)
    }
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}+{adapter}", self.model),
            None => self.model.fmt(f),
        }
    }
}

impl FromStr for TargetId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once('+') {
            Some((model, adapter)) => {
                Ok(Self::new(model.parse()?).with_adapter(Some(adapter.parse()?)))
            }
            None => Ok(Self::new(text.parse()?)),
        }
    }
}
