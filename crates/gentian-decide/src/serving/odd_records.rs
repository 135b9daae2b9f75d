//! Records that can't be read.

use gentian_core::{FastMap, StoreRevision};

/// Largest number of records that are remembered.
const MAX_RECORDS: usize = 256;

/// Remembers which records were found to be unreadable, so that each is logged once for each change
/// although it is read again and again.
#[derive(Debug, Default)]
pub struct OddRecords {
    /// At most [`MAX_RECORDS`]; if there are more, the others are not logged.
    revisions: FastMap<String, StoreRevision>,
}

impl OddRecords {
    /// Creates an empty memory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a record can't be read; returns whether that is to be logged.
    pub fn record(&mut self, key: &str, revision: StoreRevision) -> bool {
        let known = self.revisions.get(key);
        if known == Some(&revision) || (known.is_none() && self.revisions.len() >= MAX_RECORDS) {
            return false;
        }
        self.revisions.insert(key.to_owned(), revision);
        true
    }
}
