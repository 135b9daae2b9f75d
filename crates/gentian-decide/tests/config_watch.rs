//! A configuration that is not confirmed counts as stale, unless all queried peers have lost
//! contact with the key-value service.

#![allow(clippy::unwrap_used)]

use gentian_core::peer::{ConfigReply, MemberRecord, MemberRole};
use gentian_core::{ConfigVersion, InstanceId, MonoTime, SequenceNumber, TimeSpan};
use gentian_decide::entry::{ConfigFreshness, ConfigWatch};
use rstest::rstest;

const START: MonoTime = MonoTime::from_millis(1_000_000);
const OWN_VERSION: ConfigVersion = ConfigVersion::new(7);
const PEERS: u64 = 3;

fn watch() -> ConfigWatch {
    let mut watch = ConfigWatch::new(InstanceId::new(100), START);
    for i in 0..PEERS {
        watch.update_peer(&MemberRecord {
            vm: format!("vm-{i}").parse().unwrap(),
            instance: InstanceId::new(i),
            role: MemberRole::Controller,
            domain: format!("domain-{i}").parse().unwrap(),
            address: ([127, 0, 0, 1], 1).into(),
        });
    }
    watch
}

/// Runs 10 s without the key-value service. Each peer replies to every query with the given version
/// and contact, or not at all.
fn run_without_service(replies: &[Option<(u64, bool)>]) -> ConfigFreshness {
    let mut watch = watch();
    let mut now = START;
    for _ in 0..100 {
        now = now + TimeSpan::from_millis(100);
        let queries = watch.make_queries(now);
        let Some((_, query)) = queries.first() else { continue };
        for (i, reply) in replies.iter().enumerate() {
            let Some((version, has_contact)) = *reply else { continue };
            let reply = ConfigReply {
                peer: InstanceId::new(i as u64),
                number: query.number,
                version: ConfigVersion::new(version),
                has_contact,
            };
            watch.handle_reply(&reply, OWN_VERSION);
        }
    }
    watch.freshness(now)
}

#[rstest]
#[case::all_cut_off(&[Some((7, false)), Some((7, false)), Some((7, false))], ConfigFreshness::Outage)]
#[case::one_in_contact(&[Some((7, false)), Some((7, true)), None], ConfigFreshness::Confirmed)]
#[case::one_knows_newer(&[Some((8, true)), Some((7, false)), Some((7, false))], ConfigFreshness::Stale)]
#[case::one_silent(&[Some((7, false)), Some((7, false)), None], ConfigFreshness::Stale)]
#[case::all_silent(&[None, None, None], ConfigFreshness::Stale)]
fn freshness_follows_the_peers(
    #[case] replies: &[Option<(u64, bool)>],
    #[case] expected: ConfigFreshness,
) {
    assert_eq!(run_without_service(replies), expected);
}

#[test]
fn service_confirms_without_queries() {
    let mut watch = watch();
    let now = START + TimeSpan::from_secs(60);
    watch.record_contact(now);
    assert!(watch.make_queries(now).is_empty());
    assert_eq!(watch.freshness(now), ConfigFreshness::Confirmed);
}

#[test]
fn reply_confirms_from_the_sending_of_its_query() {
    let mut watch = watch();
    let sent = START + TimeSpan::from_secs(3);
    let query = watch.make_queries(sent).remove(0).1;
    let reply = ConfigReply {
        peer: InstanceId::new(0),
        number: query.number,
        version: OWN_VERSION,
        has_contact: true,
    };
    watch.handle_reply(&reply, OWN_VERSION);
    assert_eq!(watch.freshness(sent + TimeSpan::from_secs(6)), ConfigFreshness::Stale);
    let unrequested = ConfigReply { number: SequenceNumber::new(99), ..reply };
    watch.handle_reply(&unrequested, OWN_VERSION);
    assert_eq!(watch.freshness(sent + TimeSpan::from_secs(6)), ConfigFreshness::Stale);
}
