//! Memory of the parts of prompts that were served.

use gentian_core::{FastMap, MonoTime, WorkId};

/// Largest number of parts in a generation; two generations are kept.
const GENERATION_SIZE: usize = 2_048;

/// When answers to prompts with a part last ended well. Holds the most recent parts only, so that
/// callers that keep sending new ones cannot fill the memory.
#[derive(Debug, Default)]
pub(super) struct ServedWork {
    recent: FastMap<WorkId, MonoTime>,
    previous: FastMap<WorkId, MonoTime>,
}

impl ServedWork {
    /// Creates an empty memory.
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Records that an answer to a prompt with `part` ended well at `time`.
    pub(super) fn record(&mut self, part: WorkId, time: MonoTime) {
        let known = self.last_served(part).unwrap_or(time);
        if self.recent.len() >= GENERATION_SIZE && !self.recent.contains_key(&part) {
            self.previous = std::mem::take(&mut self.recent);
        }
        self.recent.insert(part, known.max(time));
    }

    /// Returns when an answer to a prompt with `part` last ended well, if that is still known.
    pub(super) fn last_served(&self, part: WorkId) -> Option<MonoTime> {
        self.recent.get(&part).or_else(|| self.previous.get(&part)).copied()
    }
}
