//! Registrations of upstreams that are older than what an entry knows: copies from which the
//! key-value service was restored, and listings of a former hub.

#![allow(clippy::unwrap_used)]

mod engine_fleet;

use gentian_core::{MonoTime, SlotCount, StoreEra, StoreRevision, TimeSpan};
use gentian_decide::serving::{UpstreamRegistration, UpstreamState, UpstreamTable};
use rstest::rstest;

const NOW: MonoTime = MonoTime::from_millis(10_000);
const DRAINING: UpstreamState = UpstreamState::Draining { remaining: None };

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision::new(number).with_era(StoreEra::new(era))
}

fn registration(state: UpstreamState, revision: StoreRevision) -> UpstreamRegistration {
    UpstreamRegistration {
        id: "desk-1".parse().unwrap(),
        revision,
        incarnation: 7,
        service: "desk".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "north".parse().unwrap(),
        version: None,
        state,
        slots: SlotCount::new(4),
        cold_remaining: TimeSpan::ZERO,
        models: None,
    }
}

struct Reader {
    table: UpstreamTable,
}

impl Reader {
    fn new() -> Self {
        Self { table: UpstreamTable::new("north".parse().unwrap(), engine_fleet::bounds()) }
    }

    /// Applies a list that was read at revision `at`; returns whether the upstream takes requests.
    fn read(
        &mut self,
        listed: Option<UpstreamRegistration>,
        at: StoreRevision,
        now: MonoTime,
    ) -> bool {
        self.table.update_registrations(listed.into_iter().collect(), at, now);
        self.table.rows().any(|row| row.is_usable(now))
    }
}

#[test]
fn a_drain_with_a_lower_revision_after_a_restoration_was_ignored() {
    let mut reader = Reader::new();
    let ready = registration(UpstreamState::Ready, revision(1, 65));
    assert!(reader.read(Some(ready), revision(1, 66), NOW));
    let copy = registration(UpstreamState::Ready, revision(2, 40));
    assert!(reader.read(Some(copy), revision(2, 57), NOW));
    let draining = registration(DRAINING, revision(2, 60));
    assert!(!reader.read(Some(draining), revision(2, 60), NOW));
}

#[rstest]
#[case::draining(Some(DRAINING))]
#[case::removed(None)]
fn a_copy_from_before_an_upstream_left_is_not_believed(#[case] state: Option<UpstreamState>) {
    let mut reader = Reader::new();
    let ready = registration(UpstreamState::Ready, revision(1, 30));
    reader.read(Some(ready), revision(1, 40), NOW);
    let left = state.map(|state| registration(state, revision(1, 65)));
    assert!(!reader.read(left, revision(1, 66), NOW));
    for millis in [0, 1_000, 3_600] {
        let now = NOW + TimeSpan::from_millis(millis);
        let copy = registration(UpstreamState::Ready, revision(2, 30));
        assert!(!reader.read(Some(copy), revision(2, 57), now), "after {millis} ms");
    }
    // A registration that is still there once copies have expired is written by its upstream.
    let later = NOW + TimeSpan::from_secs(5);
    let ready = registration(UpstreamState::Ready, revision(2, 30));
    assert!(reader.read(Some(ready), revision(2, 70), later));
}

/// A hub that was suspended sends its listings when it continues.
#[rstest]
#[case::drained(Some(DRAINING))]
#[case::removed(None)]
fn a_listing_from_before_an_upstream_left_brought_it_back(#[case] state: Option<UpstreamState>) {
    let mut reader = Reader::new();
    let ready = registration(UpstreamState::Ready, revision(1, 30));
    reader.read(Some(ready.clone()), revision(1, 40), NOW);
    let left = state.map(|state| registration(state, revision(1, 45)));
    assert!(!reader.read(left, revision(1, 50), NOW));
    assert!(!reader.read(None, revision(1, 55), NOW));
    let later = NOW + TimeSpan::from_secs(2);
    reader.table.update_listings(vec![ready.listing()], later);
    assert!(!reader.table.rows().any(|row| row.is_usable(later)));
    let back = registration(UpstreamState::Ready, revision(1, 56));
    reader.table.update_listings(vec![back.listing()], later);
    assert!(reader.table.rows().any(|row| row.is_usable(later)));
}

#[test]
fn a_registration_that_expired_in_an_outage_is_believed_at_once_when_it_is_back() {
    let mut reader = Reader::new();
    let ready = registration(UpstreamState::Ready, revision(1, 30));
    reader.read(Some(ready), revision(1, 40), NOW);
    assert!(!reader.read(None, revision(1, 50), NOW));
    let back = registration(UpstreamState::Ready, revision(1, 51));
    assert!(reader.read(Some(back), revision(1, 52), NOW));
}

#[test]
fn a_restarted_upstream_is_believed_at_once_after_a_restoration() {
    let mut reader = Reader::new();
    reader.read(Some(registration(DRAINING, revision(1, 65))), revision(1, 66), NOW);
    let started = UpstreamRegistration {
        incarnation: 8,
        ..registration(UpstreamState::Ready, revision(2, 58))
    };
    assert!(reader.read(Some(started), revision(2, 58), NOW));
}
