//! Drained failure domains before and after the key-value service was restored from a copy.

#![allow(clippy::unwrap_used)]

use gentian_core::{DomainId, FastSet, MonoTime, StoreEra, StoreRevision, TimeSpan};
use gentian_decide::serving::DrainedDomains;

const NOW: MonoTime = MonoTime::from_millis(10_000);
const REGISTRATION_TTL: TimeSpan = TimeSpan::from_millis(3_600);

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision::new(number).with_era(StoreEra::new(era))
}

fn north() -> DomainId {
    "north".parse().unwrap()
}

fn drained_in_first_era() -> DrainedDomains {
    let mut domains = DrainedDomains::new(REGISTRATION_TTL);
    domains.replace(FastSet::from_iter([north()]), revision(1, 60), NOW);
    domains
}

#[test]
fn a_drained_domain_got_requests_when_the_store_was_restored_without_its_record() {
    let mut domains = drained_in_first_era();
    domains.replace(FastSet::default(), revision(2, 50), NOW);
    assert!(domains.current(NOW + TimeSpan::from_secs(2)).contains(&north()));
    assert!(domains.current(NOW + TimeSpan::from_secs(6)).is_empty(), "never written again");
}

#[test]
fn operators_end_a_drain_while_the_store_settles() {
    let mut domains = drained_in_first_era();
    domains.replace(FastSet::default(), revision(2, 50), NOW);
    domains.apply(north(), true);
    assert!(domains.current(NOW + TimeSpan::from_secs(6)).contains(&north()));
    domains.apply(north(), false);
    assert!(domains.current(NOW).is_empty());
}

#[test]
fn a_record_that_is_gone_ends_a_drain_without_a_restoration() {
    let mut domains = drained_in_first_era();
    domains.replace(FastSet::default(), revision(1, 70), NOW);
    assert!(domains.current(NOW).is_empty());
}
