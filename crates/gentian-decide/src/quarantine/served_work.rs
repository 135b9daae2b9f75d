//! Memory of the work that was served.

use gentian_core::{FastMap, MonoTime, WorkId};

/// Largest number of ids in a generation; two generations are kept.
const GENERATION_SIZE: usize = 2_048;

/// When answers to requests with some work last ended well. Holds the most recent work only, so that
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

    /// Records that an answer to a request with `work` ended well at `time`.
    pub(super) fn record(&mut self, work: WorkId, time: MonoTime) {
        let known = self.last_served(work).unwrap_or(time);
        if self.recent.len() >= GENERATION_SIZE && !self.recent.contains_key(&work) {
            self.previous = std::mem::take(&mut self.recent);
        }
        self.recent.insert(work, known.max(time));
    }

    /// Returns when an answer to a request with `work` last ended well, if that is still known.
    pub(super) fn last_served(&self, work: WorkId) -> Option<MonoTime> {
        self.recent.get(&work).or_else(|| self.previous.get(&work)).copied()
    }
}
