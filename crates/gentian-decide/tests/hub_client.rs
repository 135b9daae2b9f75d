//! What an entry makes of what the hub tells it.

#![allow(clippy::unwrap_used)]

mod engine_fleet;

use gentian_core::peer::FleetSummary;
use gentian_core::{FenceNumber, InstanceId, MonoTime, SequenceNumber, TimeSpan};
use gentian_decide::serving::{CallScheduler, HubClient, UpstreamTable};

const NOW: MonoTime = MonoTime::from_millis(10_000);
const DRAIN: TimeSpan = TimeSpan::from_secs(3);

fn tally(listing_age: TimeSpan) -> FleetSummary {
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

fn linked(listing_age: TimeSpan) -> HubClient {
    let bounds = engine_fleet::bounds();
    let mut desk = CallScheduler::new(bounds);
    let mut table = UpstreamTable::new("north".parse().unwrap(), bounds);
    let mut link = HubClient::new("vm-1".parse().unwrap(), InstanceId::new(1));
    link.update_entry_count(90);
    assert!(link.handle_summary(tally(listing_age), 90, &mut desk, &mut table, NOW));
    link
}

/// Registrations age on while no tally comes: an entry that waits until the hub counts as silent
/// would send requests to an upstream that left more than three seconds ago.
#[test]
fn registrations_are_read_again_well_before_a_leaving_upstream_may_get_no_requests() {
    let age = TimeSpan::from_millis(1_100);
    let until = linked(age).listings_fresh_until(DRAIN);
    let read = NOW - age;
    assert!(until.since(read) <= TimeSpan::from_secs(2), "{}", until.since(read));
    assert!(until > NOW);
}

#[test]
fn an_entry_without_a_hub_reads_for_itself() {
    let link = HubClient::new("vm-1".parse().unwrap(), InstanceId::new(1));
    assert!(link.listings_fresh_until(DRAIN) < NOW);
}
