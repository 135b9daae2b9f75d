//! When an entry asks the hub for the versions of upstreams.

use gentian_core::{MonoTime, TimeSpan, UpstreamId};

/// Time after which a query without a reply is repeated.
const QUERY_INTERVAL: TimeSpan = TimeSpan::from_millis(150);
/// Largest number of upstreams in a query.
const MAX_UPSTREAMS: usize = 500;

/// Queries of an entry for the versions of upstreams that the hub has listed.
#[derive(Debug, Default)]
pub struct VersionQueries {
    asked: Option<MonoTime>,
    /// Whether upstreams may be known whose versions are not.
    is_open: bool,
}

impl VersionQueries {
    /// Creates the queries of an entry without upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that upstreams were listed.
    pub fn record_listings(&mut self) {
        self.is_open = true;
        self.asked = None;
    }

    /// Returns the upstreams to ask for now, of these of unknown version.
    pub fn next_query(
        &mut self,
        unknown: impl Iterator<Item = (UpstreamId, u64)>,
        now: MonoTime,
    ) -> Vec<(UpstreamId, u64)> {
        if !self.is_open || self.asked.is_some_and(|asked| now.since(asked) < QUERY_INTERVAL) {
            return Vec::new();
        }
        let query: Vec<(UpstreamId, u64)> = unknown.take(MAX_UPSTREAMS).collect();
        self.asked = Some(now);
        self.is_open = !query.is_empty();
        query
    }
}
