//! Newtypes parse their own text form and refuse malformed text.

use gentian_core::{
    ByteSize, EVENT_CATALOGUE, InstanceId, KeyDigest, OrganisationId, TimeSpan, TokenRate,
};
use rstest::rstest;

#[rstest]
#[case("250ms", TimeSpan::from_millis(250))]
#[case("3s", TimeSpan::from_secs(3))]
#[case("7us", TimeSpan::from_micros(7))]
fn time_span_round_trips(#[case] text: &str, #[case] span: TimeSpan) {
    assert_eq!(text.parse::<TimeSpan>().unwrap(), span);
    assert_eq!(span.to_string(), text);
}

#[rstest]
#[case("14GiB", ByteSize::from_mib(14 * 1024))]
#[case("100MiB", ByteSize::from_mib(100))]
#[case("3B", ByteSize::new(3))]
fn byte_size_round_trips(#[case] text: &str, #[case] size: ByteSize) {
    assert_eq!(text.parse::<ByteSize>().unwrap(), size);
    assert_eq!(size.to_string(), text);
}

#[rstest]
#[case("")]
#[case("5")]
#[case("-1s")]
#[case("99999999999999999999s")]
#[case("18446744073709551615min")]
fn malformed_span_is_refused(#[case] text: &str) {
    assert!(text.parse::<TimeSpan>().is_err());
}

#[rstest]
#[case("")]
#[case("a b")]
#[case("a/b")]
fn malformed_name_is_refused(#[case] text: &str) {
    assert!(text.parse::<OrganisationId>().is_err());
}

#[test]
fn hexadecimal_ids_round_trip() {
    let id = InstanceId::new(0x1f);
    assert_eq!(id.to_string(), "000000000000001f");
    assert_eq!(id.to_string().parse::<InstanceId>().unwrap(), id);
    let digest = KeyDigest::new([0xa5; 32]);
    assert_eq!(digest.to_string().parse::<KeyDigest>().unwrap(), digest);
}

#[test]
fn rate_gives_tokens_over_a_span() {
    assert_eq!(TokenRate::new(1_000).tokens_in(TimeSpan::from_millis(250)).get(), 250);
}

#[test]
fn event_numbers_are_unique_and_ascending() {
    assert!(EVENT_CATALOGUE.windows(2).all(|pair| pair[0].code < pair[1].code));
}
