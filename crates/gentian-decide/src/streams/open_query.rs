//! A query to other entries for the origin of a stream.

use gentian_core::{MonoTime, SoftwareVersion, VmId};

/// A query that waits for replies.
#[derive(Debug)]
pub(super) struct OpenQuery {
    /// When it was first sent.
    pub(super) begun: MonoTime,
    /// When the entries were first asked that are asked now.
    pub(super) round_begun: MonoTime,
    /// Whether all entries are asked, rather than those that are told of the stream.
    pub(super) is_wide: bool,
    /// When it was last sent.
    pub(super) sent: MonoTime,
    /// Entries that have not replied.
    pub(super) missing: Vec<VmId>,
    /// What the others replied: the only version that they know.
    pub(super) only_versions: Vec<Option<SoftwareVersion>>,
}

impl OpenQuery {
    /// Creates the query to these entries.
    pub(super) fn new(entries: Vec<VmId>, now: MonoTime) -> Self {
        Self {
            begun: now,
            round_begun: now,
            is_wide: false,
            sent: MonoTime::ORIGIN,
            missing: entries,
            only_versions: Vec::new(),
        }
    }

    /// Goes on with these entries, beside those that have not replied.
    pub(super) fn widen(&mut self, entries: Vec<VmId>, now: MonoTime) {
        self.missing.extend(entries);
        self.is_wide = true;
        self.round_begun = now;
        self.sent = MonoTime::ORIGIN;
    }

    /// Returns the version that all entries have replied to be the only one.
    pub(super) fn agreed_version(&self) -> Option<&SoftwareVersion> {
        let (first, rest) = self.only_versions.split_first()?;
        let version = first.as_ref().filter(|_| self.missing.is_empty())?;
        rest.iter().all(|other| other.as_ref() == Some(version)).then_some(version)
    }
}
