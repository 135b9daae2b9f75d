//! A configuration is accepted as a whole or refused with every fault and its line.

use gentian_config::{join_chunks, parse_config, split_chunks};
use proptest::prelude::*;
use rstest::rstest;

const VALID: &str = "\
[organisation club]
rate = 100
burst = 400
[key club-1]
organisation = club
digest = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
[model ice]
memory = 4GiB
[adapter flood]
base = ice
memory = 100MiB
[domain palermo]
[upstream e1]
kind = engine
address = 127.0.0.1:9001
domain = palermo
slots = 8
fresh_slots = 2
[route desk]
path = /desk
kind = engine
organisations = club
upstreams = e1
models = ice
";

#[test]
fn valid_text_is_parsed() {
    let set = parse_config(VALID).unwrap();
    assert_eq!(set.object_count(), 7);
    let route = set.find_route("/desk/v1/completions").unwrap();
    let found = set.find_model(route, "flood").unwrap();
    assert_eq!(found.model.as_str(), "ice");
    assert!(set.find_route("/deskside").is_none());
}

#[rstest]
#[case(
    "[model ice]\nmemory = 4GiB",
    "[model ice]\nmemory = 4GiB\nwithdrawn = yes",
    "withdrawn model ice"
)]
#[case("organisation = club", "organisation = rink", "missing organisation rink")]
#[case("upstreams = e1", "upstreams = e2", "missing upstream e2")]
#[case("rate = 100", "rate = fast", "'fast' is not a valid token rate")]
#[case("rate = 100", "speed = 100", "unknown 'speed'")]
#[case("[domain palermo]", "[zone palermo]", "unknown section kind 'zone'")]
#[case("fresh_slots = 2", "fresh_slots = 9", "between 1 and 'slots'")]
#[case("burst = 400", "burst", "missing '='")]
#[case("[adapter flood]", "[adapter ice]", "has the name of a model")]
#[case("[domain palermo]", "[domain palermo]\n[domain palermo]", "is already defined at line")]
fn fault_is_named(#[case] from: &str, #[case] to: &str, #[case] message: &str) {
    let text = VALID.replacen(from, to, 1);
    assert_ne!(text, VALID);
    let faults = parse_config(&text).unwrap_err();
    assert!(faults.iter().any(|fault| fault.message.contains(message)), "{faults:?}");
    assert!(faults.iter().all(|fault| fault.line > 0), "{faults:?}");
}

#[test]
fn every_fault_is_listed_with_its_line() {
    let text = VALID.replace("rate = 100", "rate = x").replace("slots = 8", "slots = y");
    let lines: Vec<usize> = parse_config(&text).unwrap_err().iter().map(|f| f.line).collect();
    assert!(lines.contains(&2) && lines.contains(&17), "{lines:?}");
}

#[test]
fn chunks_join_to_the_same_set() {
    let chunks = split_chunks(VALID).unwrap();
    assert_eq!(parse_config(&join_chunks(chunks)).unwrap(), parse_config(VALID).unwrap());
}

proptest! {
    #[test]
    fn any_text_is_parsed_or_refused(text in "(\\[[a-z]* ?[a-z]*\\]\n|[a-z]* ?= ?[a-z0-9,]*\n|\\PC*\n){0,20}") {
        let _ = parse_config(&text);
    }
}
