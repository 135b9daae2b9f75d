//! What the hub reports to entries about upstreams.

#![allow(clippy::unwrap_used)]

use gentian_core::peer::{EntryReport, FleetSummary, UpstreamListing};
use gentian_core::{FenceNumber, InstanceId, MonoTime, SequenceNumber, SlotCount, TimeSpan, VmId};
use gentian_decide::serving::FleetHub;

const NOW: MonoTime = MonoTime::from_millis(10_000);

fn listing(revision: u64) -> UpstreamListing {
    UpstreamListing {
        upstream: "engine-1".parse().unwrap(),
        revision: SequenceNumber::new(revision),
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
    let report = EntryReport {
        vm: vm.clone(),
        instance: InstanceId::new(1),
        sequence: SequenceNumber::new(sequence),
        known_revision: (InstanceId::new(9), SequenceNumber::new(known_revision)),
        spent: Vec::new(),
        work: None,
        demands: Vec::new(),
    };
    assert!(hub.handle_report(report, NOW));
    hub.make_summary(&vm, FenceNumber::new(1), NOW).unwrap()
}

fn hub_with(listings: impl Iterator<Item = UpstreamListing>) -> FleetHub {
    let mut hub = FleetHub::new(InstanceId::new(9));
    hub.update_listings(listings, SequenceNumber::new(10), NOW);
    hub
}

#[test]
fn heartbeats_are_not_sent_again() {
    let mut hub = hub_with([listing(3)].into_iter());
    let first = send_report(&mut hub, 1, 0);
    assert_eq!(first.listings.len(), 1);
    hub.update_listings([listing(8)].into_iter(), SequenceNumber::new(11), NOW);
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
    hub.update_listings([draining].into_iter(), SequenceNumber::new(21), NOW);
    let second = send_report(&mut hub, 2, first.revision.get());
    assert_eq!(second.listings[0].revision, SequenceNumber::new(20));
    assert!(!second.listings[0].is_ready);
}

#[test]
fn a_removal_has_the_revision_of_the_list() {
    let mut hub = hub_with([listing(3)].into_iter());
    let first = send_report(&mut hub, 1, 0);
    hub.update_listings(std::iter::empty(), SequenceNumber::new(30), NOW);
    let second = send_report(&mut hub, 2, first.revision.get());
    assert_eq!(second.listings[0].revision, SequenceNumber::new(30));
    assert!(!second.listings[0].is_ready);
}
