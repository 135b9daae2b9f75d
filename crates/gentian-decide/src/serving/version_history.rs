//! Which versions of their software the upstreams of each service have lately.

use gentian_core::peer::ServiceVersion;
use gentian_core::{FastMap, MonoTime, ServiceId, SoftwareVersion, TimeSpan};

/// Shortest time for which a stream may be taken up after the last upstream of its version has left.
const MIN_HORIZON: TimeSpan = TimeSpan::from_secs(20);

#[derive(Clone, Copy, Debug)]
struct VersionTimes {
    /// From when on resumable streams may begin at the version.
    settled: MonoTime,
    /// When its last upstream left; `None` while some are registered.
    left: Option<MonoTime>,
}

/// Which versions serve each service, and have served it within the time for which a stream may be
/// taken up.
///
/// An entry that knows one version only takes it for granted that this one began a stream, if its list
/// of upstreams is recent. So that this holds, entries don't begin resumable streams at a further
/// version until every list without it is too old.
#[derive(Debug)]
pub struct VersionHistory {
    horizon: TimeSpan,
    settle_time: TimeSpan,
    /// Since when all versions are known, if others may have served before: this process has started, or
    /// it had no list of upstreams for a while.
    unknown_before: Option<MonoTime>,
    services: FastMap<ServiceId, FastMap<SoftwareVersion, VersionTimes>>,
}

impl VersionHistory {
    /// Creates a history without versions, for entries that rely on lists of upstreams for less than
    /// `settle_time`.
    pub fn new(settle_time: TimeSpan) -> Self {
        Self {
            horizon: MIN_HORIZON,
            settle_time,
            unknown_before: None,
            services: FastMap::default(),
        }
    }

    /// Returns the history of a process that starts now and may have had predecessors.
    pub fn with_start(self, now: MonoTime) -> Self {
        Self { unknown_before: Some(now), ..self }
    }

    /// Records that the upstreams are listed again as of `time`, after a list as of `previous`. A version
    /// at which streams began may have come and gone in between if that is long.
    pub fn record_list(&mut self, previous: MonoTime, time: MonoTime) {
        if time.since(previous) > self.settle_time {
            self.unknown_before = Some(time);
        }
    }

    /// Sets the longest time for which a stream may be taken up.
    pub fn update_horizon(&mut self, horizon: TimeSpan) {
        self.horizon = horizon.max(MIN_HORIZON);
    }

    /// Returns the time for which a stream may be taken up.
    pub fn horizon(&self) -> TimeSpan {
        self.horizon
    }

    /// Replaces the versions of the registered upstreams; returns the services that have a further one.
    pub fn update<'a>(
        &mut self,
        registered: impl Iterator<Item = (&'a ServiceId, &'a SoftwareVersion)>,
        now: MonoTime,
    ) -> Vec<ServiceId> {
        let registered: Vec<_> = registered.collect();
        for times in self.services.values_mut().flat_map(FastMap::values_mut) {
            times.left = times.left.or(Some(now));
        }
        let mut changed = Vec::new();
        let mut settled_services: FastMap<&ServiceId, MonoTime> = FastMap::default();
        for (service, version) in registered {
            if let Some(times) =
                self.services.get_mut(service).and_then(|versions| versions.get_mut(version))
            {
                times.left = None;
                continue;
            }
            let versions = self.services.entry(service.clone()).or_default();
            // Those that are listed together are all as old as the first of them.
            let settled = *settled_services.entry(service).or_insert(match versions.is_empty() {
                true => now,
                false => now + self.settle_time,
            });
            versions.insert(version.clone(), VersionTimes { settled, left: None });
            if versions.len() > 1 && !changed.contains(service) {
                changed.push(service.clone());
            }
        }
        let horizon = self.horizon;
        for versions in self.services.values_mut() {
            versions.retain(|_, times| times.left.is_none_or(|left| now.since(left) < horizon));
        }
        self.services.retain(|_, versions| !versions.is_empty());
        changed
    }

    /// Adds the versions that are stored: those that served lately. Returns the services that have a
    /// further one.
    pub fn restore(&mut self, versions: &[ServiceVersion], now: MonoTime) -> Vec<ServiceId> {
        self.unknown_before = None;
        let mut changed = Vec::new();
        for ServiceVersion { service, software } in versions {
            let known = self.services.entry(service.clone()).or_default();
            if known.contains_key(software) {
                continue;
            }
            known.insert(software.clone(), VersionTimes { settled: now, left: Some(now) });
            if known.len() > 1 && !changed.contains(service) {
                changed.push(service.clone());
            }
        }
        changed
    }

    /// Returns the only version that serves a service or has lately; `None` if there are several, or
    /// the history is not known for long enough.
    pub fn only_version(&self, service: &ServiceId, now: MonoTime) -> Option<&SoftwareVersion> {
        let is_known = self.unknown_before.is_none_or(|start| now.since(start) >= self.horizon);
        let mut versions = self.recent(service, now);
        let only = versions.next().filter(|_| is_known)?;
        versions.next().is_none().then_some(only)
    }

    /// Returns whether several versions serve a service, or did lately.
    pub fn is_mixed(&self, service: &ServiceId, now: MonoTime) -> bool {
        self.recent(service, now).nth(1).is_some()
    }

    /// Returns whether an upstream of a service that serves, or did lately, names a version.
    pub fn has_named(&self, service: &ServiceId) -> bool {
        self.services.contains_key(service)
    }

    /// Returns whether a service has no other version than this, as far as is known.
    pub fn has_no_other(
        &self,
        service: &ServiceId,
        version: &SoftwareVersion,
        now: MonoTime,
    ) -> bool {
        self.recent(service, now).all(|known| known == version)
    }

    /// Returns whether resumable streams may begin at a version.
    pub fn is_settled(
        &self,
        service: &ServiceId,
        version: &SoftwareVersion,
        now: MonoTime,
    ) -> bool {
        let times = self.services.get(service).and_then(|versions| versions.get(version));
        times.is_some_and(|times| times.settled <= now)
    }

    /// Returns all versions that serve, or did lately.
    pub fn all(&self, now: MonoTime) -> Vec<ServiceVersion> {
        let services = self.services.keys();
        let versions = services.flat_map(|service| {
            let recent = self.recent(service, now);
            recent.map(|software| ServiceVersion {
                service: service.clone(),
                software: software.clone(),
            })
        });
        let mut all: Vec<ServiceVersion> = versions.collect();
        all.sort_unstable();
        all
    }

    fn recent(&self, service: &ServiceId, now: MonoTime) -> impl Iterator<Item = &SoftwareVersion> {
        let versions = self.services.get(service).into_iter().flatten();
        let horizon = self.horizon;
        let recent = versions
            .filter(move |(_, times)| times.left.is_none_or(|left| now.since(left) < horizon));
        recent.map(|(version, _)| version)
    }
}
