//! Which versions began the latest streams.

use gentian_core::peer::StreamOrigin;
use gentian_core::{FastMap, MonoTime, ServiceId, StreamId, TimeSpan, UpstreamId};

/// Largest number of streams in a generation; two generations are kept.
const GENERATION_SIZE: usize = 16_384;

#[derive(Debug)]
struct OriginRecord {
    origin: StreamOrigin,
    begun: MonoTime,
    /// The upstream, if this entry began the stream.
    upstream: Option<UpstreamId>,
}

/// Which versions began the latest streams, of this entry and of others.
#[derive(Debug, Default)]
pub(super) struct OriginLog {
    recent: FastMap<StreamId, OriginRecord>,
    previous: FastMap<StreamId, OriginRecord>,
}

impl OriginLog {
    /// Creates a log without streams.
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Records which version began a stream, and at which upstream if this entry sent the request
    /// there; returns whether this is new. One for which two are named becomes uncertain.
    pub(super) fn record(
        &mut self,
        stream: StreamId,
        origin: &StreamOrigin,
        upstream: Option<&UpstreamId>,
        now: MonoTime,
    ) -> bool {
        if let Some(known) = self.find_mut(stream) {
            if known.origin == *origin {
                return false;
            }
            let uncertain = StreamOrigin::Uncertain(origin.service().clone());
            return std::mem::replace(&mut known.origin, uncertain.clone()) != uncertain;
        }
        if self.recent.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.recent);
        }
        let record =
            OriginRecord { origin: origin.clone(), begun: now, upstream: upstream.cloned() };
        self.recent.insert(stream, record);
        true
    }

    /// Returns what is known of the origin of a stream.
    pub(super) fn find(&self, stream: StreamId) -> Option<&StreamOrigin> {
        let record = self.recent.get(&stream).or_else(|| self.previous.get(&stream));
        record.map(|record| &record.origin)
    }

    /// Makes the streams uncertain that this entry began at an upstream at or after `since`; returns
    /// them.
    pub(super) fn distrust(
        &mut self,
        upstream: &UpstreamId,
        since: MonoTime,
    ) -> Vec<(StreamId, StreamOrigin)> {
        let records = self.recent.iter_mut().chain(&mut self.previous);
        let doubtful = records.filter(|(_, record)| {
            record.begun >= since && record.upstream.as_ref() == Some(upstream)
        });
        let changed = doubtful.map(|(stream, record)| {
            record.origin = StreamOrigin::Uncertain(record.origin.service().clone());
            (*stream, record.origin.clone())
        });
        changed.collect()
    }

    /// Returns the streams that this entry began at `service` within `horizon`.
    pub(super) fn own(
        &self,
        service: &ServiceId,
        horizon: TimeSpan,
        now: MonoTime,
    ) -> Vec<(StreamId, StreamOrigin)> {
        let own = self.iter().filter(|(_, record)| {
            record.upstream.is_some()
                && record.origin.service() == service
                && now.since(record.begun) < horizon
        });
        own.map(|(stream, record)| (stream, record.origin.clone())).collect()
    }

    /// Returns the streams that began within `horizon`, the latest first.
    pub(super) fn latest(
        &self,
        horizon: TimeSpan,
        now: MonoTime,
    ) -> Vec<(StreamId, &StreamOrigin)> {
        let mut latest: Vec<_> =
            self.iter().filter(|(_, record)| now.since(record.begun) < horizon).collect();
        latest.sort_unstable_by_key(|(stream, record)| (std::cmp::Reverse(record.begun), *stream));
        latest.into_iter().map(|(stream, record)| (stream, &record.origin)).collect()
    }

    fn iter(&self) -> impl Iterator<Item = (StreamId, &OriginRecord)> {
        self.recent.iter().chain(&self.previous).map(|(stream, record)| (*stream, record))
    }

    fn find_mut(&mut self, stream: StreamId) -> Option<&mut OriginRecord> {
        match self.recent.get_mut(&stream) {
            Some(record) => Some(record),
            None => self.previous.get_mut(&stream),
        }
    }
}
