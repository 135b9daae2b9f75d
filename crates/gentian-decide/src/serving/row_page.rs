//! Pages of the rows that the hub sends to an entry.
//!
//! Load pattern: an entry that starts, or that learns of a new hub, needs the rows of all upstreams. In a fleet of
//! thousands they exceed a datagram, and an entry that gets none takes the hub for lost.

use gentian_core::peer::{ResidentModels, UpstreamListing};
use gentian_core::{SequenceNumber, UpstreamId};

use super::RevisedMap;

/// Most listings in one summary. With names of usual length they take a third of a datagram.
const MAX_LISTINGS: usize = 400;
/// Most rows of resident models in one summary. With three models and eight adapters each they take half of a datagram.
pub(super) const MAX_RESIDENT_ROWS: usize = 150;

/// The next rows for an entry, in the order in which they changed.
#[derive(Debug)]
pub(super) struct RowPage {
    /// Revision of the last row.
    pub(super) revision: SequenceNumber,
    /// Whether no listings follow.
    pub(super) has_last_listing: bool,
    /// Listings on the page.
    pub(super) listings: Vec<UpstreamListing>,
    /// Resident models on the page.
    pub(super) resident_models: Vec<ResidentModels>,
}

impl RowPage {
    /// Returns the page that follows the revision `known`; `newest` is that of the newest row.
    pub(super) fn new(
        listings: &RevisedMap<UpstreamId, UpstreamListing>,
        resident_models: &RevisedMap<UpstreamId, ResidentModels>,
        known: SequenceNumber,
        newest: SequenceNumber,
    ) -> Self {
        let ends = [
            listings.page_end(known, MAX_LISTINGS),
            resident_models.page_end(known, MAX_RESIDENT_ROWS),
        ];
        let end = ends.into_iter().flatten().min();
        let revision = end.unwrap_or(newest);
        Self {
            revision,
            has_last_listing: listings.changed_within(revision, newest).is_empty(),
            listings: listings.changed_within(known, revision),
            resident_models: resident_models.changed_within(known, revision),
        }
    }
}
