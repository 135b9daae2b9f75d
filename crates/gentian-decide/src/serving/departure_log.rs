//! Upstreams that are leaving or have left.

use gentian_core::{FastMap, MonoTime, StoreRevision, TimeSpan, UpstreamId};

use super::{EraTracker, UpstreamRegistration, UpstreamState};

/// Time for which a departure is remembered after the upstream was last known. Copies from which the
/// key-value service is restored are some seconds old.
const DEPARTURE_MEMORY: TimeSpan = TimeSpan::from_secs(300);

#[derive(Clone, Copy, Debug)]
struct Departure {
    incarnation: u64,
    /// Revision of the record or the list that shows it.
    revision: StoreRevision,
    time: MonoTime,
    /// Whether the upstream itself announced it in a response.
    is_announced: bool,
}

/// Remembers which upstreams are leaving or have left. A former hub may still list them as they were
/// before, and after a restoration of the key-value service their registrations may be back; those of
/// upstreams that announced their departure in a response may not show it yet.
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
        self.eras.record(revision.era(), now);
    }

    /// Forgets departures of long ago, except of upstreams that are still known.
    pub(super) fn prune(&mut self, is_known: impl Fn(&UpstreamId) -> bool, now: MonoTime) {
        self.departures.retain(|upstream, departure| {
            now.since(departure.time) < DEPARTURE_MEMORY || is_known(upstream)
        });
    }

    /// Records that an upstream drains or is no longer registered, as `revision` shows.
    pub(super) fn record_departure(
        &mut self,
        registration: &UpstreamRegistration,
        revision: StoreRevision,
        now: MonoTime,
    ) {
        let incarnation = registration.incarnation;
        let known = self.departures.get(&registration.id);
        let is_announced =
            known.is_some_and(|known| known.is_announced && known.incarnation == incarnation);
        let departure = Departure { incarnation, revision, time: now, is_announced };
        self.departures.insert(registration.id.clone(), departure);
    }

    /// Records that a response of an upstream announces its departure; returns whether it is the
    /// first one.
    pub(super) fn record_announcement(
        &mut self,
        registration: &UpstreamRegistration,
        now: MonoTime,
    ) -> bool {
        let (incarnation, revision) = (registration.incarnation, registration.revision);
        let departure = Departure { incarnation, revision, time: now, is_announced: true };
        let known = self.departures.insert(registration.id.clone(), departure);
        !known.is_some_and(|known| known.is_announced && known.incarnation == incarnation)
    }

    /// Removes the departure of an upstream that is ready.
    pub(super) fn remove(&mut self, upstream: &UpstreamId) {
        self.departures.remove(upstream);
    }

    /// Returns whether a registration doesn't show that its upstream is leaving or has left: it is
    /// older than that, the departure was announced only in a response, or the registration may be a
    /// copy from before.
    pub(super) fn is_outdated(&self, registration: &UpstreamRegistration, now: MonoTime) -> bool {
        let Some(departure) = self.departures.get(&registration.id) else { return false };
        let revision = registration.revision;
        let may_be_copy = revision.era() > departure.revision.era() && self.eras.is_settling(now);
        registration.state == UpstreamState::Ready
            && registration.incarnation == departure.incarnation
            && (departure.is_announced || revision < departure.revision || may_be_copy)
    }
}
