//! What an entry learned of an upstream outlasts the upstream's registration, which may lapse while
//! the key-value service is silent although the upstream lives.

#![allow(clippy::unwrap_used)]

mod engine_fleet;

use gentian_core::peer::LimitNotice;
use gentian_core::{MonoTime, RequestRate, SlotCount, StoreRevision, TimeSpan, UpstreamId};
use gentian_decide::serving::{UpstreamRegistration, UpstreamState, UpstreamTable};

const START: MonoTime = MonoTime::from_millis(10_000);
const LAPSED: MonoTime = MonoTime::from_millis(11_000);
const BACK: MonoTime = MonoTime::from_millis(12_200);
const INCARNATION: u64 = 7;
const LIMIT: RequestRate = RequestRate::from_millis(6_300);

fn upstream() -> UpstreamId {
    "i-1".parse().unwrap()
}

fn registration(incarnation: u64, revision: StoreRevision) -> UpstreamRegistration {
    UpstreamRegistration {
        id: upstream(),
        revision,
        incarnation,
        service: "desk".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "north".parse().unwrap(),
        version: None,
        state: UpstreamState::Ready,
        slots: SlotCount::new(4),
        cold_remaining: TimeSpan::ZERO,
        models: None,
    }
}

/// Reads a list with the upstream, or without it if `incarnation` is `None`.
fn read(table: &mut UpstreamTable, revision: u64, incarnation: Option<u64>, now: MonoTime) {
    let revision = StoreRevision::new(revision);
    let listed = incarnation.map(|incarnation| registration(incarnation, revision));
    table.update_registrations(listed.into_iter().collect(), revision, now);
}

fn table_with_upstream() -> UpstreamTable {
    let mut table = UpstreamTable::new("north".parse().unwrap(), engine_fleet::bounds());
    read(&mut table, 1, Some(INCARNATION), START);
    table
}

#[test]
fn a_limit_is_kept_while_the_registration_is_missing() {
    let mut table = table_with_upstream();
    table.record_limit(&upstream(), Some(LIMIT), START, START);
    read(&mut table, 2, None, LAPSED);
    assert_eq!(table.rows().count(), 0);
    read(&mut table, 3, Some(INCARNATION), BACK);
    assert_eq!(table.limit(&upstream()), Some(LIMIT));
}

/// The requests of before still count in the window of the limit.
#[test]
fn requests_of_before_still_count() {
    let mut table = table_with_upstream();
    table.record_limit(&upstream(), Some(LIMIT), START, START);
    let is_free = |table: &mut UpstreamTable, now: MonoTime| {
        let rows: Vec<_> = table.rows().cloned().collect();
        rows.into_iter().any(|mut row| row.limit_share.has_capacity_for(LIMIT, (0, 1), 0, now))
    };
    while is_free(&mut table, START) {
        table.record_start(&upstream(), 0, START);
    }
    let running = table.rows().next().unwrap().local_work.running;
    for _ in 0..running {
        let served = gentian_decide::serving::AttemptOutcome::Abandoned;
        table.record_outcome(&upstream(), served, START);
    }
    read(&mut table, 2, None, LAPSED);
    read(&mut table, 3, Some(INCARNATION), BACK);
    assert!(!is_free(&mut table, BACK));
}

/// A notice of another entry may arrive while this one misses the registration.
#[test]
fn a_limit_that_is_named_meanwhile_applies() {
    let mut table = table_with_upstream();
    read(&mut table, 2, None, LAPSED);
    let notice = LimitNotice {
        upstream: upstream(),
        incarnation: INCARNATION,
        limit: Some(LIMIT),
        age: TimeSpan::ZERO,
    };
    table.apply_limit(&notice, LAPSED);
    read(&mut table, 3, Some(INCARNATION), BACK);
    assert_eq!(table.limit(&upstream()), Some(LIMIT));
}

#[test]
fn another_start_of_the_upstream_names_its_limits_anew() {
    let mut table = table_with_upstream();
    table.record_limit(&upstream(), Some(LIMIT), START, START);
    read(&mut table, 2, None, LAPSED);
    read(&mut table, 3, Some(INCARNATION + 1), BACK);
    assert_eq!(table.limit(&upstream()), None);
}

/// Many upstreams come and go; what is remembered of those that are gone is bounded.
#[test]
fn what_is_remembered_is_bounded() {
    let mut table = table_with_upstream();
    for number in 0..6_000 {
        let revision = StoreRevision::new(number * 2 + 2);
        let id: UpstreamId = format!("i-{number}").parse().unwrap();
        let listed = UpstreamRegistration { id, ..registration(INCARNATION, revision) };
        table.update_registrations(vec![listed], revision, START);
        table.update_registrations(vec![], StoreRevision::new(number * 2 + 3), START);
    }
    assert!(table.remembered_count() <= 4_096);
}
