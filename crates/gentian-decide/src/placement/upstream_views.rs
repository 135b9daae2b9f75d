//! The view of the upstreams that entries follow.

use gentian_core::peer::{ObjectView, PlacementReply, PlacementRequest, SeatId, UpstreamView};
use gentian_core::{BootId, FastMap, FenceNumber, SequenceNumber, UpstreamId};

/// Upstreams in one message at most.
const VIEW_LIMIT: usize = 16;

/// State of each upstream with the revision of its last change.
#[derive(Debug, Default)]
pub struct UpstreamViews {
    views: FastMap<UpstreamId, UpstreamView>,
    revision: SequenceNumber,
}

impl UpstreamViews {
    /// Creates an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes the state of an upstream; only a change gets a new revision.
    pub fn note(
        &mut self,
        upstream: &UpstreamId,
        boot: Option<BootId>,
        objects: Vec<ObjectView>,
        is_leaving: bool,
    ) {
        let is_same = self.views.get(upstream).is_some_and(|old| {
            old.boot == boot && old.objects == objects && old.is_leaving == is_leaving
        });
        if is_same {
            return;
        }
        self.revision = self.revision.next();
        let (upstream, revision) = (upstream.clone(), self.revision);
        let view = UpstreamView { upstream: upstream.clone(), revision, boot, objects, is_leaving };
        self.views.insert(upstream, view);
    }

    /// Answers an entry with the oldest changes that it does not know.
    pub fn answer(
        &self,
        ask: &PlacementRequest,
        seat: SeatId,
        fence: FenceNumber,
    ) -> PlacementReply {
        let is_own = ask.fence == fence && ask.known_revision <= self.revision;
        let known = if is_own { ask.known_revision } else { SequenceNumber::default() };
        let mut views: Vec<&UpstreamView> =
            self.views.values().filter(|view| view.revision > known).collect();
        views.sort_by_key(|view| view.revision);
        let is_cut = views.len() > VIEW_LIMIT;
        views.truncate(VIEW_LIMIT);
        let last = views.last().map_or(known, |view| view.revision);
        PlacementReply {
            seat,
            fence,
            sequence: ask.sequence,
            revision: if is_cut { last } else { self.revision },
            views: views.into_iter().cloned().collect(),
        }
    }
}
