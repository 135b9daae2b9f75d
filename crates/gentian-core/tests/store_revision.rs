//! Revisions of the key-value service before and after a restoration.

#![allow(clippy::unwrap_used)]

use gentian_core::{StoreEra, StoreRevision};
use rstest::rstest;

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision::new(number).with_era(StoreEra::new(era))
}

#[rstest]
#[case::same_era((1, 64), (1, 65))]
#[case::later_era((1, 65), (2, 3))]
#[case::era_of_a_service_without_eras((0, 900), (1, 1))]
fn a_later_era_is_newer_whatever_the_number(#[case] older: (u64, u64), #[case] newer: (u64, u64)) {
    let (older, newer) = (revision(older.0, older.1), revision(newer.0, newer.1));
    assert!(older < newer && older.fence() < newer.fence());
}

#[rstest]
#[case("17", revision(0, 17))]
#[case("2.64", revision(2, 64))]
fn text_names_the_era(#[case] text: &str, #[case] expected: StoreRevision) {
    assert_eq!(text.parse::<StoreRevision>().unwrap(), expected);
    assert_eq!(expected.to_string(), text);
    assert!("2.x".parse::<StoreRevision>().is_err());
}

#[test]
fn a_copy_keeps_the_number_of_its_record() {
    let original = revision(1, 40);
    assert_eq!(StoreRevision::of_fence(original.fence()), original);
    assert!(revision(2, 40).is_same_record(original));
    assert!(!revision(2, 41).is_same_record(original));
    assert!(!original.is_same_record(revision(2, 40)));
}
