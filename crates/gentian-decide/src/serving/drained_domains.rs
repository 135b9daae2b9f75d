//! Failure domains that operators have drained.

use gentian_core::{DomainId, FastSet, MonoTime, StoreRevision, TimeSpan};

use super::EraTracker;

/// Failure domains that operators have drained. After a restoration of the key-value service, a
/// domain stays drained although the copy lacks its record, until operators had time to write it
/// again.
#[derive(Debug)]
pub struct DrainedDomains {
    eras: EraTracker,
    recorded: FastSet<DomainId>,
    /// Domains that were drained before the service was restored.
    kept: FastSet<DomainId>,
}

impl DrainedDomains {
    /// Creates the set without any domain. Operators have had time to write records again once
    /// registrations expire, `registration_ttl` after a restoration.
    pub fn new(registration_ttl: TimeSpan) -> Self {
        let (recorded, kept) = (FastSet::default(), FastSet::default());
        Self { eras: EraTracker::new(registration_ttl), recorded, kept }
    }

    /// Replaces the domains by those of all records, which were read at `revision`.
    pub fn replace(&mut self, domains: FastSet<DomainId>, revision: StoreRevision, now: MonoTime) {
        let before = self.current(now);
        if self.eras.record(revision.era(), now) {
            self.kept = before;
        }
        self.recorded = domains;
    }

    /// Applies the change of one record.
    pub fn apply(&mut self, domain: DomainId, is_drained: bool) {
        self.kept.remove(&domain);
        match is_drained {
            true => self.recorded.insert(domain),
            false => self.recorded.remove(&domain),
        };
    }

    /// Returns the domains that are drained now.
    pub fn current(&self, now: MonoTime) -> FastSet<DomainId> {
        let kept = self.kept.iter().filter(|_| self.eras.is_settling(now));
        self.recorded.iter().chain(kept).cloned().collect()
    }
}
