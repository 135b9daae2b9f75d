//! Upstreams that accept no requests from this entry for a while.

use gentian_core::{FastMap, MonoTime, UpstreamId};

#[derive(Clone, Copy, Debug)]
struct Pause {
    incarnation: u64,
    end: MonoTime,
}

/// Upstreams that turned requests of this entry away, and until when they accept none. They are kept
/// apart from the registrations, which may be missing for a while.
#[derive(Debug, Default)]
pub(super) struct UpstreamPauses {
    pauses: FastMap<UpstreamId, Pause>,
}

impl UpstreamPauses {
    /// Records that an upstream accepts no requests until `end`; a later end that is known already
    /// stays.
    pub(super) fn record(
        &mut self,
        upstream: &UpstreamId,
        incarnation: u64,
        end: MonoTime,
        now: MonoTime,
    ) {
        self.pauses.retain(|_, pause| pause.end > now);
        let known = self.end(upstream, incarnation, now);
        let pause = Pause { incarnation, end: known.map_or(end, |known| known.max(end)) };
        self.pauses.insert(upstream.clone(), pause);
    }

    /// Returns whether no upstream is known to have turned a request away lately.
    pub(super) fn is_empty(&self) -> bool {
        self.pauses.is_empty()
    }

    /// Returns until when this incarnation of an upstream accepts no requests; `None` if it accepts
    /// them now.
    pub(super) fn end(
        &self,
        upstream: &UpstreamId,
        incarnation: u64,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let pause = self.pauses.get(upstream)?;
        (pause.incarnation == incarnation && pause.end > now).then_some(pause.end)
    }

    /// Returns when the next upstream accepts requests again.
    pub(super) fn next_end(&self, now: MonoTime) -> Option<MonoTime> {
        self.pauses.values().map(|pause| pause.end).filter(|end| *end > now).min()
    }
}
