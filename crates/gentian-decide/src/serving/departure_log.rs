//! Upstreams that are leaving or have left.

use gentian_core::{FastMap, MonoTime, StoreEra, StoreRevision, TimeSpan, UpstreamId};

use super::{EraTracker, UpstreamRegistration, UpstreamState};

/// Time for which a departure is remembered. Copies from which the key-value service is restored
/// are some seconds old.
const DEPARTURE_MEMORY: TimeSpan = TimeSpan::from_secs(300);

#[derive(Clone, Copy, Debug)]
struct Departure {
    incarnation: u64,
    era: StoreEra,
    time: MonoTime,
}

/// Remembers which upstreams are leaving or have left. After a restoration of the key-value
/// service, their registrations may be back as they were before.
#[derive(Debug)]
pub(super) struct DepartureLog {
    eras: EraTracker,
    departures: FastMap<UpstreamId, Departure>,
}

impl DepartureLog {
    /// Creates an empty log; `registration_ttl` is the time after which registrations expire.
    pub(super) fn new(registration_ttl: TimeSpan) -> Self {
        Self { eras: EraTracker::new(registration_ttl), departures: FastMap::default() }
    }

    /// Records the revision of a list of registrations, or of one of them.
    pub(super) fn record_revision(&mut self, revision: StoreRevision, now: MonoTime) {
        if self.eras.record(revision.era(), now) {
            self.departures.retain(|_, it| now.since(it.time) < DEPARTURE_MEMORY);
        }
    }

    /// Records that an upstream drains or is no longer registered, as `revision` shows.
    pub(super) fn record_departure(
        &mut self,
        registration: &UpstreamRegistration,
        revision: StoreRevision,
        now: MonoTime,
    ) {
        let incarnation = registration.incarnation;
        let departure = Departure { incarnation, era: revision.era(), time: now };
        self.departures.insert(registration.id.clone(), departure);
    }

    /// Removes the departure of an upstream that is ready.
    pub(super) fn remove(&mut self, upstream: &UpstreamId) {
        self.departures.remove(upstream);
    }

    /// Returns whether a registration may be the copy of one from before its upstream left.
    pub(super) fn is_outdated(&self, registration: &UpstreamRegistration, now: MonoTime) -> bool {
        let Some(departure) = self.departures.get(&registration.id) else { return false };
        registration.state == UpstreamState::Ready
            && registration.incarnation == departure.incarnation
            && registration.revision.era() > departure.era
            && self.eras.is_settling(now)
    }
}
