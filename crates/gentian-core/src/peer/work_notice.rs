//! Notices about parts of prompts.

use serde::{Deserialize, Serialize};

use crate::{TimeSpan, WorkId};

/// States that answers to prompts with certain parts ended well.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServedNotice {
    /// The parts, each with the time since the end of the last such answer.
    pub parts: Vec<(WorkId, TimeSpan)>,
}

/// States that requests with a part are refused from now on, or no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// The part.
    pub part: WorkId,
    /// Whether requests with it are refused.
    pub is_quarantined: bool,
}
