//! Versions of upstreams as an entry lists them, and how recent its list is.

use gentian_core::peer::ServiceVersion;
use gentian_core::{MonoTime, ServiceId, SoftwareVersion, TimeSpan, UpstreamId};

use super::VersionHistory;

/// Fraction of the drain time for which a list of upstreams shows every version at which streams may
/// have begun.
const LIST_LIFETIME_FRACTION: f64 = 0.6;

/// Versions of upstreams as an entry lists them, and how recent its list is.
#[derive(Debug)]
pub struct VersionTracker {
    /// Versions that serve, or did lately.
    pub history: VersionHistory,
    list_lifetime: TimeSpan,
    /// When the latest list of upstreams was read.
    list_time: MonoTime,
    /// Upstreams that have started again as another version, each with a time before that.
    restarts: Vec<(UpstreamId, MonoTime)>,
    /// Services that have a further version.
    mixed_services: Vec<ServiceId>,
}

impl VersionTracker {
    /// Creates a tracker without versions for a fleet with this drain time.
    pub fn new(drain_time: TimeSpan) -> Self {
        Self {
            // Longer than a list is relied on, by as much as it takes to read one.
            history: VersionHistory::new(drain_time),
            list_lifetime: drain_time * LIST_LIFETIME_FRACTION,
            list_time: MonoTime::ORIGIN,
            restarts: Vec::new(),
            mixed_services: Vec::new(),
        }
    }

    /// Returns the tracker of an entry that starts now and may have had predecessors.
    pub fn with_start(self, now: MonoTime) -> Self {
        Self { history: self.history.with_start(now), ..self }
    }

    /// Replaces the versions of the registered upstreams.
    pub fn update<'a>(
        &mut self,
        registered: impl Iterator<Item = (&'a ServiceId, &'a SoftwareVersion)>,
        now: MonoTime,
    ) {
        self.mixed_services.extend(self.history.update(registered, now));
    }

    /// Adds the versions that are stored, as served lately.
    pub fn restore(&mut self, versions: &[ServiceVersion], now: MonoTime) {
        self.mixed_services.extend(self.history.restore(versions, now));
    }

    /// Records that an upstream has started again, and may have another version.
    pub fn record_restart(&mut self, upstream: UpstreamId) {
        self.restarts.push((upstream, self.list_time));
    }

    /// Records that the list shows all upstreams that were registered at `time`.
    pub fn record_list_time(&mut self, time: MonoTime) {
        if time <= self.list_time {
            return;
        }
        if self.list_time > MonoTime::ORIGIN {
            self.history.record_list(self.list_time, time);
        }
        self.list_time = time;
    }

    /// Returns when the latest list of upstreams was read.
    pub fn list_time(&self) -> MonoTime {
        self.list_time
    }

    /// Returns whether the list of upstreams is recent enough to show every version at which resumable
    /// streams may have begun.
    pub fn is_list_current(&self, now: MonoTime) -> bool {
        now.since(self.list_time) < self.list_lifetime
    }

    /// Returns the services that have a further version since the last call.
    pub fn drain_mixed_services(&mut self) -> Vec<ServiceId> {
        std::mem::take(&mut self.mixed_services)
    }

    /// Returns the upstreams that have started again as another version since the last call, each with
    /// a time at which it had not yet.
    pub fn drain_restarts(&mut self) -> Vec<(UpstreamId, MonoTime)> {
        std::mem::take(&mut self.restarts)
    }
}
