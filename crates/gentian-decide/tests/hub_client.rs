//! How an entry uses the summaries from the hub.

#![allow(clippy::unwrap_used)]

mod engine_fleet;

use gentian_core::peer::{FleetSummary, ResidentModels};
use gentian_core::{FenceNumber, InstanceId, MonoTime, SequenceNumber, TimeSpan};
use gentian_decide::serving::{CallScheduler, FleetHub, HubClient, UpstreamTable};

const NOW: MonoTime = MonoTime::from_millis(10_000);
const DRAIN: TimeSpan = TimeSpan::from_secs(3);

fn summary(listing_age: TimeSpan) -> FleetSummary {
    FleetSummary {
        hub: InstanceId::new(9),
        fence: FenceNumber::new(1),
        sequence: SequenceNumber::new(1),
        reachable_entries: 90,
        spent: Vec::new(),
        work: None,
        listing_age,
        revision: SequenceNumber::new(4),
        listings: Vec::new(),
        resident_models: Vec::new(),
    }
}

fn connected_client(listing_age: TimeSpan) -> HubClient {
    let bounds = engine_fleet::bounds();
    let mut scheduler = CallScheduler::new(bounds);
    let mut table = UpstreamTable::new("north".parse().unwrap(), bounds);
    let mut client = HubClient::new("vm-1".parse().unwrap(), InstanceId::new(1));
    client.update_entry_count(90);
    assert!(client.handle_summary(summary(listing_age), 90, &mut scheduler, &mut table, NOW));
    client
}

fn client_with_own_list(listing_age: TimeSpan) -> HubClient {
    let mut client = connected_client(listing_age);
    client.record_own_list(NOW);
    client
}

/// Listings become older while no summary arrives. An entry that relied on them until the hub
/// timed out would send requests to an upstream that started to drain more than three seconds ago.
#[test]
fn listings_expire_well_before_the_drain_time() {
    let age = TimeSpan::from_millis(1_100);
    let until = client_with_own_list(age).listings_fresh_until(DRAIN);
    let read = NOW - age;
    assert!(until.since(read) <= TimeSpan::from_secs(2), "{}", until.since(read));
    assert!(until > NOW);
}

#[test]
fn an_entry_without_a_hub_reads_registrations_itself() {
    let client = HubClient::new("vm-1".parse().unwrap(), InstanceId::new(1));
    assert!(client.listings_fresh_until(DRAIN) < NOW);
}

/// A new hub does not know of upstreams that were removed before its first list.
#[test]
fn an_entry_sent_to_upstreams_that_left_before_the_first_list_of_a_new_hub() {
    let age = TimeSpan::from_millis(100);
    let mut client = connected_client(age);
    assert!(client.listings_fresh_until(DRAIN) < NOW, "no own list yet");
    client.record_own_list(NOW - TimeSpan::from_millis(1));
    assert!(client.listings_fresh_until(DRAIN) < NOW, "read before the hub's listings arrived");
    client.record_own_list(NOW + TimeSpan::from_millis(50));
    assert!(client.listings_fresh_until(DRAIN) > NOW);
}

#[test]
fn a_hub_without_a_list_does_not_stand_in_for_an_own_one() {
    let client = client_with_own_list(TimeSpan::from_micros(u64::MAX));
    assert!(client.listings_fresh_until(DRAIN) < NOW);
}

/// The new hub counts its revisions from the start again.
#[test]
fn summaries_of_a_process_that_became_the_hub_again_were_ignored() {
    let bounds = engine_fleet::bounds();
    let mut scheduler = CallScheduler::new(bounds);
    let mut table = UpstreamTable::new("north".parse().unwrap(), bounds);
    let mut client = HubClient::new("vm-1".parse().unwrap(), InstanceId::new(1));
    let mut exchange = |fence: u64, changes: u64, now: MonoTime| {
        let mut hub = FleetHub::new(InstanceId::new(9)).with_fence(FenceNumber::new(fence));
        for incarnation in 0..changes {
            let models = ResidentModels {
                upstream: "engine-1".parse().unwrap(),
                incarnation,
                loaded: Vec::new(),
                in_transition: None,
            };
            hub.update_resident_models([models]);
        }
        let report = client.next_report(&mut scheduler, now).unwrap();
        let vm = report.vm.clone();
        hub.handle_report(report, now);
        let summary = hub.make_summary(&vm, FenceNumber::new(fence), now).unwrap();
        client.handle_summary(summary, 1, &mut scheduler, &mut table, now)
    };
    assert!(exchange(82, 5, NOW));
    assert!(exchange(100, 1, NOW + TimeSpan::from_millis(400)));
}

/// A hub that was suspended and has a successor now replies to the reports that had arrived before.
#[test]
fn a_summary_of_a_former_hub_was_believed() {
    let bounds = engine_fleet::bounds();
    let mut scheduler = CallScheduler::new(bounds);
    let mut table = UpstreamTable::new("north".parse().unwrap(), bounds);
    let mut client = HubClient::new("vm-1".parse().unwrap(), InstanceId::new(1));
    let mut handle = |client: &mut HubClient, hub: u64, fence: u64| {
        let (hub, fence) = (InstanceId::new(hub), FenceNumber::new(fence));
        let summary = FleetSummary { hub, fence, ..summary(TimeSpan::ZERO) };
        client.handle_summary(summary, 90, &mut scheduler, &mut table, NOW)
    };
    assert!(handle(&mut client, 9, 5));
    client.record_hub(FenceNumber::new(7), NOW);
    assert!(!handle(&mut client, 9, 5), "its successor is known");
    assert!(handle(&mut client, 8, 7));
    assert!(handle(&mut client, 6, 9));
    assert!(!handle(&mut client, 8, 7), "its successor has sent a summary");
}
