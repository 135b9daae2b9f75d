//! A configuration that nothing confirms counts as stale, unless nobody has contact.

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

/// Lets 10 s pass without the service, with these answers of the peers to each question.
fn pass_without_service(answers: &[Option<(u64, bool)>]) -> ConfigFreshness {
    let mut watch = watch();
    let mut now = START;
    for _ in 0..100 {
        now = now + TimeSpan::from_millis(100);
        let questions = watch.make_queries(now);
        let Some((_, question)) = questions.first() else { continue };
        for (i, answer) in answers.iter().enumerate() {
            let Some((version, has_contact)) = *answer else { continue };
            let answer = ConfigReply {
                peer: InstanceId::new(i as u64),
                number: question.number,
                version: ConfigVersion::new(version),
                has_contact,
            };
            watch.handle_reply(&answer, OWN_VERSION);
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
    #[case] answers: &[Option<(u64, bool)>],
    #[case] expected: ConfigFreshness,
) {
    assert_eq!(pass_without_service(answers), expected);
}

#[test]
fn service_confirms_without_questions() {
    let mut watch = watch();
    let now = START + TimeSpan::from_secs(60);
    watch.record_contact(now);
    assert!(watch.make_queries(now).is_empty());
    assert_eq!(watch.freshness(now), ConfigFreshness::Confirmed);
}

#[test]
fn late_answer_does_not_confirm_its_arrival() {
    let mut watch = watch();
    let asked = START + TimeSpan::from_secs(3);
    let question = watch.make_queries(asked).remove(0).1;
    let answer = ConfigReply {
        peer: InstanceId::new(0),
        number: question.number,
        version: OWN_VERSION,
        has_contact: true,
    };
    watch.handle_reply(&answer, OWN_VERSION);
    assert_eq!(watch.freshness(asked + TimeSpan::from_secs(6)), ConfigFreshness::Stale);
    let unasked = ConfigReply { number: SequenceNumber::new(99), ..answer };
    watch.handle_reply(&unasked, OWN_VERSION);
    assert_eq!(watch.freshness(asked + TimeSpan::from_secs(6)), ConfigFreshness::Stale);
}
