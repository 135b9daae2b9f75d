//! Pages of the rows that the hub sends to an entry.
//!
//! Load pattern: an entry that starts, or that learns of a new hub, needs the rows of all upstreams. In a fleet of
//! thousands they exceed a datagram, and an entry that gets none takes the hub for lost. All rows for hundreds of entries
//! would take the hub's link for many seconds, though most entries have read them in the key-value service.

use gentian_core::peer::{ResidentModels, UpstreamListing};
use gentian_core::{SequenceNumber, StoreRevision, UpstreamId};

use super::RevisedMap;
use super::registered_models::RegisteredModels;

/// Most listings in one summary. With names of usual length they take a third of a datagram.
const MAX_LISTINGS: usize = 400;
/// Most rows of resident models in one summary. With three models and eight adapters each they take half of a datagram.
pub(super) const MAX_RESIDENT_ROWS: usize = 150;

/// The rows of a hub.
#[derive(Clone, Copy)]
pub(super) struct HubRows<'a> {
    pub(super) listings: &'a RevisedMap<UpstreamId, UpstreamListing>,
    pub(super) resident_models: &'a RevisedMap<UpstreamId, ResidentModels>,
    /// Which of the resident models are registered as well.
    pub(super) registered: &'a RegisteredModels,
    /// Revision of the newest row.
    pub(super) newest: SequenceNumber,
}

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
    /// Returns the page that follows the revision `known`, without what an entry knows that has read all registrations
    /// as of `read`.
    pub(super) fn new(
        rows: HubRows<'_>,
        known: SequenceNumber,
        read: Option<StoreRevision>,
    ) -> Self {
        let is_read = |revision: StoreRevision| read.is_some_and(|read| revision <= read);
        let mut listings: Vec<_> =
            rows.listings.changed_since(known).filter(|(_, it)| !is_read(it.revision)).collect();
        let is_registered =
            |row: &ResidentModels| rows.registered.since(&row.upstream).is_some_and(is_read);
        let mut resident_models: Vec<_> = rows
            .resident_models
            .changed_since(known)
            .filter(|(_, it)| !is_registered(it))
            .collect();
        let ends = [
            page_end(&mut listings, MAX_LISTINGS),
            page_end(&mut resident_models, MAX_RESIDENT_ROWS),
        ];
        let revision = ends.into_iter().flatten().min().unwrap_or(rows.newest);
        let on_page = |changed: SequenceNumber| changed <= revision;
        Self {
            revision,
            has_last_listing: listings.iter().all(|(changed, _)| on_page(*changed)),
            listings: take_page(listings, on_page),
            resident_models: take_page(resident_models, on_page),
        }
    }
}

/// Returns the revision up to which there are `count` rows; `None` if there are no more.
fn page_end<V>(rows: &mut [(SequenceNumber, &V)], count: usize) -> Option<SequenceNumber> {
    if rows.len() <= count {
        return None;
    }
    let (_, (last, _), _) = rows.select_nth_unstable_by_key(count - 1, |(changed, _)| *changed);
    Some(*last)
}

fn take_page<V: Clone>(
    rows: Vec<(SequenceNumber, &V)>,
    on_page: impl Fn(SequenceNumber) -> bool,
) -> Vec<V> {
    let page = rows.into_iter().filter(|(changed, _)| on_page(*changed));
    page.map(|(_, row)| row.clone()).collect()
}
