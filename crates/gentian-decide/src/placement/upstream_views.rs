//! State of the upstreams that is sent to entries.

use gentian_core::peer::{ObjectView, PlacementReply, PlacementRequest, SeatId, UpstreamView};
use gentian_core::{BootId, FastMap, FenceNumber, SequenceNumber, UpstreamId};

/// Largest number of upstreams in one reply. Further changes are sent in later replies.
const MAX_VIEWS_PER_REPLY: usize = 16;

/// View of each upstream with the revision of its last change.
#[derive(Debug, Default)]
pub struct UpstreamViews {
    views: FastMap<UpstreamId, UpstreamView>,
    revision: SequenceNumber,
}

impl UpstreamViews {
    /// Creates an empty set of views.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the view of an upstream. Only a change gets a new revision.
    pub fn update(
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

    /// Makes the reply to an entry, with the oldest changes that it does not have yet.
    pub fn make_reply(
        &self,
        request: &PlacementRequest,
        seat: SeatId,
        fence: FenceNumber,
    ) -> PlacementReply {
        let knows_revision = request.fence == fence && request.known_revision <= self.revision;
        let known = if knows_revision { request.known_revision } else { SequenceNumber::default() };
        let mut views: Vec<&UpstreamView> =
            self.views.values().filter(|view| view.revision > known).collect();
        views.sort_by_key(|view| view.revision);
        let is_truncated = views.len() > MAX_VIEWS_PER_REPLY;
        views.truncate(MAX_VIEWS_PER_REPLY);
        let last = views.last().map_or(known, |view| view.revision);
        PlacementReply {
            seat,
            fence,
            sequence: request.sequence,
            revision: if is_truncated { last } else { self.revision },
            views: views.into_iter().cloned().collect(),
        }
    }
}
