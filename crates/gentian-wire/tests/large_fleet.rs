//! Exchange of the hub and an entry in a fleet of 300 entries and 3,000 upstreams. Summaries that exceeded a datagram
//! were never sent, so entries took the hub for lost.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use gentian_core::peer::{
    EntryReport, FleetMessage, FleetSummary, ListRead, ResidentModels, ServingDemand, TargetId,
    UpstreamListing, UpstreamWork,
};
use gentian_core::{
    FenceNumber, InstanceId, ModelId, MonoTime, SequenceNumber, SlotCount, StoreRevision, TimeSpan,
    TokenCount, UpstreamId, VmId,
};
use gentian_decide::serving::{
    CallScheduler, EngineModels, FleetHub, HubClient, LoadedModel, ServingBounds,
    UpstreamRegistration, UpstreamTable,
};
use gentian_wire::encode_datagram;

const UPSTREAMS: usize = 3_000;
const ENTRIES: usize = 300;
const MODELS: usize = 330;
/// Models for which requests came to one entry within the time for which demands count.
const MODELS_OF_ENTRY: usize = 20;
/// Requests of an entry in progress.
const RUNNING: usize = 10;
const START: MonoTime = MonoTime::from_millis(10_000);
const REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);
/// Link of the smallest VMs, 10 Mbit/s, in bytes a second.
const LINK_BYTES: usize = 1_250_000;

fn bounds() -> ServingBounds {
    ServingBounds {
        retry_ratio: 0.2,
        extra_retries: 58.0,
        retry_window: TimeSpan::from_secs(10),
        quota_window: TimeSpan::from_secs(8),
        quota_excess_fraction: 0.1,
        quota_slack: TokenCount::new(110_000),
        cold_rate_factor: 1.5,
        cold_slack: 5.0,
        takeover_delay: TimeSpan::from_secs(3),
        load_window: TimeSpan::from_secs(5),
        config_delay: TimeSpan::from_secs(2),
        drain_time: TimeSpan::from_secs(2),
        registration_ttl: TimeSpan::from_millis(3_600),
        shutdown_grace: TimeSpan::from_secs(8),
    }
}

fn upstream(number: usize) -> UpstreamId {
    format!("i-{number:08x}").parse().unwrap()
}

fn vm(number: usize) -> VmId {
    format!("front-domain-a-{number}").parse().unwrap()
}

fn target(model: usize) -> TargetId {
    TargetId::new(format!("daka5{model:05}").parse().unwrap())
}

fn listing(number: usize) -> UpstreamListing {
    UpstreamListing {
        upstream: upstream(number),
        revision: StoreRevision::new(100_000 + number as u64),
        incarnation: 1_790_000_000_000 + number as u64,
        service: "huvo11a".parse().unwrap(),
        address: format!("10.128.{}.{}:8080", number / 200, number % 200).parse().unwrap(),
        domain: "domain-a".parse().unwrap(),
        slots: SlotCount::new(64),
        is_ready: true,
        has_engine: true,
        cold_remaining: TimeSpan::ZERO,
    }
}

fn resident_models(number: usize) -> ResidentModels {
    let adapter = |adapter: usize| {
        target(number % MODELS).with_adapter(Some(format!("a{adapter}").parse().unwrap()))
    };
    let models = (0..3).map(|step| target((number + step * 110) % MODELS));
    ResidentModels {
        upstream: upstream(number),
        incarnation: 1_790_000_000_000 + number as u64,
        loaded: models.chain((1..=8).map(adapter)).collect(),
        in_transition: None,
    }
}

fn report(entry: usize, sequence: u64, known: (InstanceId, SequenceNumber)) -> EntryReport {
    let running = |step: usize| upstream((entry * RUNNING + step * 37) % UPSTREAMS);
    let demand = |step: usize| ServingDemand {
        service: "huvo11a".parse().unwrap(),
        target: target((entry * 7 + step) % MODELS),
        arrived: sequence,
        waiting: 0,
        slack: TimeSpan::ZERO,
        running: Vec::new(),
    };
    let work = UpstreamWork { running: 1, pending_prefill_tokens: 9_000 };
    EntryReport {
        vm: vm(entry),
        instance: InstanceId::new(entry as u64 + 1),
        sequence: SequenceNumber::new(sequence),
        known_revision: known,
        spent: (0..16).map(|it| (format!("hule{it:03}").parse().unwrap(), 1 << 20)).collect(),
        work: Some((0..RUNNING).map(|step| (running(step), work)).collect()),
        demands: (0..MODELS_OF_ENTRY).map(demand).collect(),
    }
}

fn large_hub() -> FleetHub {
    let mut hub = FleetHub::new(InstanceId::new(9));
    hub.update_listings((0..UPSTREAMS).map(listing), StoreRevision::new(200_000), START);
    hub.update_resident_models((0..UPSTREAMS).map(resident_models));
    hub
}

fn summary(hub: &mut FleetHub, report: EntryReport, now: MonoTime) -> (FleetSummary, usize) {
    let vm = report.vm.clone();
    assert!(hub.handle_report(report, now));
    let summary = hub.make_summary(&vm, FenceNumber::new(1), now).unwrap();
    let message = FleetMessage::Summary(summary.clone());
    let bytes = encode_datagram(&message, &"a shared secret 1".parse().unwrap());
    (summary, bytes.expect("a summary exceeds a datagram").len())
}

#[test]
fn a_hub_of_many_upstreams_could_not_send_its_rows() {
    let mut hub = large_hub();
    let (mut listings, mut rows) = (0, 0);
    let mut known = (InstanceId::default(), SequenceNumber::default());
    for sequence in 1..=40 {
        let (page, _) = summary(&mut hub, report(1, sequence, known), START);
        listings += page.listings.len();
        rows += page.resident_models.len();
        known = (page.hub, page.revision);
        let is_complete = listings == UPSTREAMS && rows == UPSTREAMS;
        let is_recent = page.listing_age < TimeSpan::from_secs(1);
        assert_eq!(is_recent, listings == UPSTREAMS, "the age counts with the last listing only");
        if is_complete {
            return;
        }
    }
    panic!("{listings} listings and {rows} rows after 40 pages");
}

#[test]
fn a_row_that_changes_between_two_pages_is_sent_again() {
    let mut hub = large_hub();
    let (first, _) = summary(&mut hub, report(1, 1, Default::default()), START);
    let changed = first.listings[0].clone();
    let gone = UpstreamListing { is_ready: false, ..changed.clone() };
    let others = (0..UPSTREAMS).map(listing).filter(|it| it.upstream != changed.upstream);
    hub.update_listings(others.chain([gone]), StoreRevision::new(300_000), START);
    let mut known = (first.hub, first.revision);
    for sequence in 2..=40 {
        let (page, _) = summary(&mut hub, report(1, sequence, known), START);
        known = (page.hub, page.revision);
        if page.listings.iter().any(|it| it.upstream == changed.upstream && !it.is_ready) {
            return;
        }
    }
    panic!("the entry never learned that an upstream left");
}

/// In a steady state, so that no rows are left to send.
#[test]
fn summaries_of_the_work_of_all_entries_filled_the_link_of_the_hub() {
    let mut hub = large_hub();
    let mut known = vec![(InstanceId::default(), SequenceNumber::default()); ENTRIES];
    let mut total = 0;
    for sequence in 1..=40 {
        let now = START + REPORT_INTERVAL * sequence;
        total = 0;
        for (entry, known) in known.iter_mut().enumerate() {
            let (page, bytes) = summary(&mut hub, report(entry, sequence, *known), now);
            *known = (page.hub, page.revision);
            total += bytes;
        }
    }
    println!("{total} bytes a second");
    assert!(total < LINK_BYTES / 2, "{total} bytes a second");
}

/// Those that are left out have less work than those that an entry is told of, so that it prefers them.
#[test]
fn an_entry_knows_the_busiest_of_the_upstreams_of_its_models() {
    let mut hub = large_hub();
    for entry in 0..ENTRIES {
        summary(&mut hub, report(entry, 1, Default::default()), START);
    }
    let busy = EntryReport {
        work: Some(vec![(
            upstream(7),
            UpstreamWork { running: 60, pending_prefill_tokens: 60_000 },
        )]),
        ..report(2, 2, Default::default())
    };
    let later = START + REPORT_INTERVAL * 2;
    summary(&mut hub, busy, later);
    let later = later + REPORT_INTERVAL;
    let (page, _) = summary(&mut hub, report(1, 2, Default::default()), later);
    let work = page.work.unwrap();
    let is_wanted = |number: usize| {
        let loaded = resident_models(number).loaded;
        (0..MODELS_OF_ENTRY).any(|step| loaded.contains(&target((7 + step) % MODELS)))
    };
    assert!(is_wanted(7));
    assert!(work.iter().any(|(id, it)| *id == upstream(7) && it.running >= 60), "{work:?}");
    let is_known = |id: &UpstreamId| (0..UPSTREAMS).any(|it| upstream(it) == *id && is_wanted(it));
    assert!(work.iter().all(|(id, _)| is_known(id)));
}

/// Between two summaries, listings became so old that each entry read all registrations itself.
#[test]
fn listings_of_a_large_fleet_became_too_old_between_two_summaries() {
    let mut hub = large_hub();
    for entry in 0..ENTRIES {
        summary(&mut hub, report(entry, 1, Default::default()), START);
    }
    let mut table = UpstreamTable::new("domain-a".parse().unwrap(), bounds());
    let mut scheduler = CallScheduler::new(bounds());
    let mut client = HubClient::new(vm(1), InstanceId::new(2));
    client.update_entry_count(ENTRIES);
    for sequence in 2..=40 {
        let report =
            client.next_report(&mut scheduler, START + REPORT_INTERVAL * sequence).unwrap();
        let report = EntryReport { sequence: SequenceNumber::new(sequence), ..report };
        let now = START + REPORT_INTERVAL * sequence;
        let (page, _) = summary(&mut hub, report, now);
        client.handle_summary(page, ENTRIES as u32, &mut scheduler, &mut table, now);
        client.record_own_list(now);
    }
    let read = START + REPORT_INTERVAL * 41;
    hub.update_listings((0..UPSTREAMS).map(listing), StoreRevision::new(300_000), read);
    let arrival = read + TimeSpan::from_millis(2);
    let notice = hub.listing_notice(read).unwrap();
    assert!(client.handle_listing_notice(&notice, arrival));
    assert!(client.listings_time().unwrap() >= read);

    let gone = UpstreamListing { is_ready: false, ..listing(5) };
    let listings = (0..UPSTREAMS).filter(|it| *it != 5).map(listing).chain([gone]);
    hub.update_listings(listings, StoreRevision::new(400_000), read);
    assert!(hub.outdated_vms(read).contains(&vm(1)), "a changed listing is sent at once");
    let notice = hub.listing_notice(read).unwrap();
    assert!(!client.handle_listing_notice(&notice, arrival), "the entry lacks the change");
}

fn registration(number: usize, revision: u64) -> UpstreamRegistration {
    let row = resident_models(number);
    let base = row.loaded.iter().filter(|target| target.adapter.is_none());
    let adapters_of = |model: &ModelId| {
        let targets = row.loaded.iter().filter(move |target| target.model == *model);
        targets.filter_map(|target| target.adapter.clone()).collect()
    };
    let loaded = base.map(|target| LoadedModel {
        id: target.model.clone(),
        adapters: adapters_of(&target.model),
    });
    let models = EngineModels { loaded: loaded.collect(), ..EngineModels::default() };
    let registration = UpstreamRegistration::from(listing(number));
    UpstreamRegistration {
        models: Some(models),
        revision: StoreRevision::new(revision),
        ..registration
    }
}

/// All rows for all entries took the hub's link for many seconds after a start and after each change of the hub.
#[test]
fn an_entry_that_has_read_the_registrations_got_all_rows_again() {
    let mut hub = large_hub();
    let registered: Vec<_> = (0..UPSTREAMS).map(|it| registration(it, 190_000)).collect();
    hub.update_registered_models(&registered);
    let read =
        ListRead { vm: vm(1), instance: InstanceId::new(2), revision: StoreRevision::new(200_000) };
    hub.handle_own_list(&read);
    let (page, bytes) = summary(&mut hub, report(1, 1, Default::default()), START);
    assert!(page.listings.is_empty() && page.resident_models.is_empty(), "{bytes} bytes");
    assert!(page.listing_age < TimeSpan::from_secs(1), "the entry's table is complete");

    // What changes later is sent: a heartbeat alone is no change.
    let later: Vec<_> = (0..UPSTREAMS).map(|it| registration(it, 210_000)).collect();
    hub.update_registered_models(&later);
    let changed = ResidentModels { loaded: vec![target(5)], ..resident_models(7) };
    hub.update_resident_models([changed]);
    let gone =
        UpstreamListing { is_ready: false, revision: StoreRevision::new(220_000), ..listing(9) };
    let listings = (0..UPSTREAMS).filter(|it| *it != 9).map(listing).chain([gone]);
    hub.update_listings(listings, StoreRevision::new(220_000), START);
    let (page, _) = summary(&mut hub, report(1, 2, (page.hub, page.revision)), START);
    assert_eq!(page.resident_models.len(), 1);
    assert_eq!(page.listings.len(), 1);

    // Another process on the VM has read nothing.
    let other = EntryReport { instance: InstanceId::new(77), ..report(1, 3, Default::default()) };
    let (page, _) = summary(&mut hub, other, START);
    assert!(page.listings.len() > 100);
}
