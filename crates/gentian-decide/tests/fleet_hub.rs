//! What the hub reports to entries about upstreams.

#![allow(clippy::unwrap_used)]

use gentian_core::peer::{EntryReport, FleetSummary, ServingDemand, TargetId, UpstreamListing};
use gentian_core::{
    FenceNumber, InstanceId, MonoTime, SequenceNumber, SlotCount, StoreRevision, TimeSpan, VmId,
};
use gentian_decide::serving::FleetHub;

const NOW: MonoTime = MonoTime::from_millis(10_000);

fn listing(revision: u64) -> UpstreamListing {
    UpstreamListing {
        upstream: "engine-1".parse().unwrap(),
        revision: StoreRevision::new(revision),
        incarnation: 7,
        service: "advice".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "north".parse().unwrap(),
        slots: SlotCount::new(4),
        is_ready: true,
        has_engine: false,
        cold_remaining: TimeSpan::ZERO,
    }
}

fn send_report(hub: &mut FleetHub, sequence: u64, known_revision: u64) -> FleetSummary {
    let vm: VmId = "vm-1".parse().unwrap();
    let known_revision = (InstanceId::new(9), SequenceNumber::new(known_revision));
    let report = EntryReport { known_revision, ..report(1, sequence) };
    assert!(hub.handle_report(report, NOW));
    hub.make_summary(&vm, FenceNumber::new(1), NOW).unwrap()
}

fn hub_with(listings: impl Iterator<Item = UpstreamListing>) -> FleetHub {
    let mut hub = FleetHub::new(InstanceId::new(9));
    hub.update_listings(listings, StoreRevision::new(10), NOW);
    hub
}

#[test]
fn heartbeats_are_not_sent_again() {
    let mut hub = hub_with([listing(3)].into_iter());
    let first = send_report(&mut hub, 1, 0);
    assert_eq!(first.listings.len(), 1);
    hub.update_listings([listing(8)].into_iter(), StoreRevision::new(11), NOW);
    let second = send_report(&mut hub, 2, first.revision.get());
    assert!(second.listings.is_empty());
}

/// The entry may have read a later heartbeat from the key-value service itself; the listing of
/// the draining upstream must have a newer revision than that.
#[test]
fn listing_of_a_draining_upstream_has_its_own_revision() {
    let mut hub = hub_with([listing(3)].into_iter());
    let first = send_report(&mut hub, 1, 0);
    let draining = UpstreamListing { is_ready: false, ..listing(20) };
    hub.update_listings([draining].into_iter(), StoreRevision::new(21), NOW);
    let second = send_report(&mut hub, 2, first.revision.get());
    assert_eq!(second.listings[0].revision, StoreRevision::new(20));
    assert!(!second.listings[0].is_ready);
}

#[test]
fn a_removal_has_the_revision_of_the_list() {
    let mut hub = hub_with([listing(3)].into_iter());
    let first = send_report(&mut hub, 1, 0);
    hub.update_listings(std::iter::empty(), StoreRevision::new(30), NOW);
    let second = send_report(&mut hub, 2, first.revision.get());
    assert_eq!(second.listings[0].revision, StoreRevision::new(30));
    assert!(!second.listings[0].is_ready);
}

fn report(instance: u64, sequence: u64) -> EntryReport {
    EntryReport {
        vm: "vm-1".parse().unwrap(),
        instance: InstanceId::new(instance),
        sequence: SequenceNumber::new(sequence),
        known_revision: (InstanceId::new(9), SequenceNumber::default()),
        spent: Vec::new(),
        work: None,
        demands: Vec::new(),
    }
}

/// Such an entry may have missed that a part of prompts was quarantined.
#[test]
fn entries_that_start_or_were_silent_are_noticed() {
    let mut hub = hub_with(std::iter::empty());
    assert!(hub.is_returning(&report(1, 1), NOW));
    hub.handle_report(report(1, 1), NOW);
    let soon = NOW + TimeSpan::from_millis(250);
    assert!(!hub.is_returning(&report(1, 2), soon));
    assert!(hub.is_returning(&report(2, 1), soon), "a new process");
    assert!(hub.is_returning(&report(1, 2), NOW + TimeSpan::from_secs(3)), "a frozen process");
}

/// A target that was missing from the last report counted with its whole total again when it came
/// back, so that in a large fleet a rarely used model seemed to be in heavy use.
#[test]
fn a_target_that_returns_counts_only_its_new_requests() {
    let mut hub = FleetHub::new(InstanceId::new(9));
    let interval = TimeSpan::from_millis(250);
    let key = ("advice".parse().unwrap(), TargetId::new("m1".parse().unwrap()));
    let demand = |arrived| ServingDemand {
        service: "advice".parse().unwrap(),
        target: TargetId::new("m1".parse().unwrap()),
        arrived,
        waiting: 0,
        slack: TimeSpan::ZERO,
        running: Vec::new(),
    };
    for step in 0..40 {
        let demands = if step % 2 == 1 { vec![demand(step / 2 + 1)] } else { Vec::new() };
        let report = EntryReport { demands, ..report(1, step + 1) };
        assert!(hub.handle_report(report, NOW + interval * step));
    }
    // One request every half second.
    let rate = hub.target_uses(NOW + interval * 40)[&key].rate;
    assert!((1.2..2.2).contains(&rate), "{rate} requests per second");
}
