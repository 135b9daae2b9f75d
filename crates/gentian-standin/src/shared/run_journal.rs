//! In-memory journal of the actions of a stand-in.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use serde::Serialize;

/// One entry of the journal.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct JournalEntry {
    /// What happened.
    pub(crate) event: &'static str,
    /// Id of the request, order or record that the event concerns.
    pub(crate) id: String,
    /// Further details, such as a model name or a method.
    pub(crate) detail: String,
    /// A count that belongs to the event, such as calls in flight or bytes.
    pub(crate) amount: u64,
    /// Milliseconds since the stand-in started.
    pub(crate) millis: u128,
}

/// Journal kept in memory.
#[derive(Debug)]
pub(crate) struct RunJournal {
    started: Instant,
    entries: Mutex<Vec<JournalEntry>>,
}

impl RunJournal {
    /// Creates an empty journal.
    pub(crate) fn new() -> Self {
        Self { started: Instant::now(), entries: Mutex::default() }
    }

    /// Appends an entry with the current time.
    pub(crate) fn record(&self, event: &'static str, id: &str, detail: &str, amount: u64) {
        let millis = self.started.elapsed().as_millis();
        let (id, detail) = (id.to_owned(), detail.to_owned());
        let entry = JournalEntry { event, id, detail, amount, millis };
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).push(entry);
    }

    /// Returns a copy of all entries.
    pub(crate) fn entries(&self) -> Vec<JournalEntry> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
