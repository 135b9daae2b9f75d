//! Streams that go on, or are taken up, while upstreams of several versions of a service serve.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use gentian_config::serving::{RetrySafety, ServiceWeight, ServingConfig, ServingRoute};
use gentian_core::peer::{OriginTrace, ServiceVersion, StreamOrigin, TargetId};
use gentian_core::{
    InstanceId, MonoTime, RequestId, ServiceId, SoftwareVersion, StoreRevision, StreamId, TimeSpan,
    TokenCount, UpstreamId, VmId,
};
use gentian_decide::quarantine::WorkQuarantine;
use gentian_decide::serving::{
    AttemptOutcome, CallScheduler, PickOutcome, ScheduleDecision, ServingBounds, ServingCall,
    UpstreamRegistration, UpstreamState, UpstreamTable, VersionHistory,
};
use gentian_decide::streams::{
    KnownStart, OriginTracer, ReportedStart, StreamOrigins, TakeUp, TakeUpCheck, TakeUpClaim,
    UnknownCause,
};
use rstest::rstest;

const STREAM: StreamId = StreamId::new(7);
/// Longer than any wait of a request for records or replies.
const LONG_WAIT: TimeSpan = TimeSpan::from_millis(1_000);
/// Longer than entries rely on a list of upstreams.
const SETTLED: TimeSpan = TimeSpan::from_secs(3);

fn start() -> MonoTime {
    MonoTime::from_millis(1_000_000)
}

fn service() -> ServiceId {
    "advisor".parse().unwrap()
}

fn version(text: &str) -> SoftwareVersion {
    text.parse().unwrap()
}

fn service_version(text: &str) -> ServiceVersion {
    ServiceVersion { service: service(), software: version(text) }
}

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

fn route() -> ServingRoute {
    ServingRoute {
        id: "advice".parse().unwrap(),
        host: "desk.example".to_owned(),
        path_prefix: "/advice/".to_owned(),
        kind: RetrySafety::Stream { is_resumable: true },
        timeout: TimeSpan::from_secs(15),
        target_latency: TimeSpan::from_millis(500),
        abandon_time: TimeSpan::from_secs(60),
        max_attempts: 2,
        priority: 1,
        services: vec![ServiceWeight { service: service(), weight: 1 }],
        allows_anonymous: true,
    }
}

fn registration(id: &str, version_text: &str, incarnation: u64) -> UpstreamRegistration {
    UpstreamRegistration {
        id: id.parse().unwrap(),
        revision: StoreRevision::default(),
        incarnation,
        service: service(),
        address: "127.0.0.1:7400".parse().unwrap(),
        domain: "north".parse().unwrap(),
        version: Some(version(version_text)),
        state: UpstreamState::Ready,
        slots: gentian_core::SlotCount::new(64),
        cold_remaining: TimeSpan::ZERO,
        models: None,
    }
}

/// A request that was received and queued at these times.
fn serving_call(origin: Option<&str>, received: MonoTime, queued: MonoTime) -> ServingCall {
    ServingCall {
        id: RequestId::new(1),
        route: Arc::new(route()),
        service: service(),
        organisation: None,
        target: None,
        cost: TokenCount::new(1),
        prompt_tokens: 0,
        shared_prefix: None,
        shared_parts: Vec::new(),
        request: None,
        stream: Some(STREAM),
        is_resuming: origin.is_some(),
        origin: origin.map(service_version),
        received,
        queued,
        deadline: received + route().timeout,
        tried: Vec::new(),
        possible_executions: 0,
        is_charged: false,
    }
}

/// An entry with its list of upstreams.
struct Entry {
    table: UpstreamTable,
    origins: StreamOrigins,
}

impl Entry {
    /// Creates an entry of a fleet of three that has never been without a list.
    fn new(vm: &str) -> Self {
        let mut table = UpstreamTable::new("north".parse().unwrap(), bounds());
        table.update(Arc::new(ServingConfig::default()));
        let mut origins = StreamOrigins::new(vm.parse().unwrap());
        let entries: Vec<VmId> =
            ["vm-0", "vm-1", "vm-2"].map(|name| name.parse().unwrap()).to_vec();
        origins.update_entries(entries);
        origins.update_hub(Some(&"vm-0".parse().unwrap()));
        Self { table, origins }
    }

    /// Returns the entry as one of a fleet of this size.
    fn with_fleet(mut self, size: usize) -> Self {
        let entries = (0..size).map(|number| format!("vm-{number}").parse().unwrap());
        self.origins.update_entries(entries.collect());
        self
    }

    /// Returns the entry as of its start, with others before it.
    fn with_start(self, now: MonoTime) -> Self {
        Self { table: self.table.with_start(now), ..self }
    }

    fn list(&mut self, upstreams: &[(&str, &str)], now: MonoTime) {
        let registrations = upstreams.iter().map(|(id, text)| registration(id, text, 1)).collect();
        self.table.update_registrations(registrations, StoreRevision::default(), now);
        self.table.versions.record_list_time(now);
    }

    fn begin(&mut self, stream: StreamId, upstream: &str, text: &str, now: MonoTime) -> Vec<VmId> {
        let origin = StreamOrigin::Version(service_version(text));
        let upstream: UpstreamId = upstream.parse().unwrap();
        let versions = &self.table.versions.history;
        let notices = self.origins.record_begin(stream, &upstream, origin, versions, now);
        notices.into_iter().map(|(vm, _)| vm).collect()
    }

    /// Returns the outcome of a claim that arrived at `received`, as of `now`.
    fn check_at(&mut self, received: MonoTime, now: MonoTime) -> TakeUp {
        self.check_with(received, now).0
    }

    fn check_with(
        &mut self,
        received: MonoTime,
        now: MonoTime,
    ) -> (TakeUp, Vec<(VmId, gentian_core::peer::OriginQuery)>) {
        let claim = TakeUpClaim {
            stream: Some(STREAM),
            service: service(),
            received,
            is_list_current: self.table.versions.is_list_current(now),
        };
        self.origins.check(&claim, &self.table.versions.history, now)
    }

    /// Has `others` reply to the queries of this entry about a claim, and returns its outcome.
    fn ask(&mut self, others: &mut [&mut Entry], now: MonoTime) -> TakeUp {
        let (take_up, queries) = self.check_with(now, now);
        if take_up != TakeUp::Pending {
            return take_up;
        }
        for (vm, query) in queries {
            for other in others.iter_mut().filter(|other| other.vm() == vm) {
                let reply = other.origins.handle_query(&query, &other.table.versions.history, now);
                self.origins.handle_reply(&reply, now);
            }
        }
        self.check_at(now, now)
    }

    fn vm(&self) -> VmId {
        let query = gentian_core::peer::OriginQuery {
            vm: "vm-9".parse().unwrap(),
            stream: StreamId::new(0),
            service: service(),
        };
        self.origins.handle_query(&query, &self.table.versions.history, start()).vm
    }

    fn pick(&mut self, origin: Option<&str>, now: MonoTime) -> PickOutcome {
        self.table.pick(&serving_call(origin, now, now), now)
    }

    fn picked(&mut self, origin: Option<&str>, now: MonoTime) -> Option<String> {
        match self.pick(origin, now) {
            PickOutcome::Send(pick) => Some(pick.upstream.to_string()),
            _ => None,
        }
    }
}

/// A fleet of three in which two versions have served for a while.
fn mixed_fleet() -> [Entry; 3] {
    ["vm-0", "vm-1", "vm-2"].map(|vm| {
        let mut entry = Entry::new(vm);
        entry.list(&[("a1", "v1"), ("b1", "v2")], start());
        entry
    })
}

/// A stream whose upstream crashed went on at one of another version within its answer.
#[test]
fn a_stream_goes_on_at_its_own_version_only() {
    let mut entry = Entry::new("vm-0");
    entry.list(&[("a1", "v1"), ("a2", "v1"), ("b1", "v2"), ("b2", "v2")], start());
    let id: UpstreamId = "a1".parse().unwrap();
    entry.table.record_outcome(&id, AttemptOutcome::Unreachable, start());
    assert_eq!(entry.picked(Some("v1"), start()), Some("a2".to_owned()));
}

#[test]
fn a_stream_whose_version_has_left_is_refused_at_once() {
    let mut entry = Entry::new("vm-0");
    entry.list(&[("a1", "v1"), ("b1", "v2")], start());
    entry.list(&[("b1", "v2")], start() + SETTLED);
    assert_eq!(entry.pick(Some("v1"), start() + SETTLED), PickOutcome::VersionGone);
}

/// A caller broke its stream itself and took it up at another entry.
#[test]
fn a_stream_is_taken_up_at_another_entry() {
    let [mut first, mut second, mut third] = mixed_fleet();
    first.begin(STREAM, "b1", "v2", start());
    let take_up = third.ask(&mut [&mut first, &mut second], start());
    assert_eq!(take_up, TakeUp::Of(service_version("v2")));
}

/// An entry with an older list began the stream, and has told nobody: it doesn't know of the further
/// version yet. The entries that are told of a stream don't know it, and it was refused.
#[test]
fn a_stream_is_asked_for_at_all_entries_before_it_is_unknown() {
    let size = 12;
    let mut fleet: Vec<Entry> =
        (0..size).map(|it| Entry::new(&format!("vm-{it}")).with_fleet(size)).collect();
    let mut asker = fleet.pop().unwrap();
    asker.list(&[("a1", "v1"), ("b1", "v2")], start());
    let (take_up, queries) = asker.check_with(start(), start());
    assert_eq!(take_up, TakeUp::Pending);
    for entry in &mut fleet {
        entry.list(&[("a1", "v1")], start());
    }
    let asked: Vec<VmId> = queries.iter().map(|(vm, _)| vm.clone()).collect();
    let beginner = fleet.iter_mut().find(|entry| !asked.contains(&entry.vm())).unwrap();
    assert!(beginner.begin(STREAM, "a1", "v1", start()).is_empty());
    let mut rounds = 0;
    let mut queries = queries;
    while !queries.is_empty() {
        rounds += 1;
        for (vm, query) in queries {
            let other = fleet.iter().find(|entry| entry.vm() == vm).unwrap();
            let history = &other.table.versions.history;
            let reply = other.origins.handle_query(&query, history, start());
            asker.origins.handle_reply(&reply, start());
        }
        let (take_up, next) = asker.check_with(start(), start());
        queries = next;
        if queries.is_empty() {
            assert_eq!(take_up, TakeUp::Of(service_version("v1")));
        }
    }
    assert_eq!(rounds, 2);
}

/// Entries that don't reply end the wait, and many streams at once don't flood a large fleet.
#[test]
fn queries_to_all_entries_are_bounded() {
    let size = 300;
    let mut asker = Entry::new("vm-1").with_fleet(size);
    asker.list(&[("a1", "v1"), ("b1", "v2")], start());
    let mut sent = 0;
    let mut open: Vec<u64> = (0..100).collect();
    for now in (0..=500).step_by(20).map(|ms| start() + TimeSpan::from_millis(ms)) {
        let versions = &asker.table.versions.history;
        open.retain(|number| {
            let claim = TakeUpClaim {
                stream: Some(StreamId::new(*number)),
                service: service(),
                received: start(),
                is_list_current: true,
            };
            let (take_up, queries) = asker.origins.check(&claim, versions, now);
            sent += queries.len();
            take_up == TakeUp::Pending
        });
    }
    assert!(open.is_empty(), "{open:?} wait");
    // Each is asked for at three entries four times; the rest is less than two whole fleets.
    assert!(sent < 100 * 3 * 4 + 2 * size, "{sent} queries");
    assert!(sent > 100 * 3 * 4 + size / 2, "{sent} queries");
}

/// The entry that began the stream has ended; the others were told.
#[test]
fn a_stream_is_taken_up_after_its_entry_has_ended() {
    let [mut first, mut second, mut third] = mixed_fleet();
    let origin = StreamOrigin::Version(service_version("v2"));
    let upstream: UpstreamId = "b1".parse().unwrap();
    let versions = &first.table.versions.history;
    let notices = first.origins.record_begin(STREAM, &upstream, origin, versions, start());
    assert!(!notices.is_empty());
    for (vm, notice) in notices {
        for other in [&mut second, &mut third].into_iter().filter(|other| other.vm() == vm) {
            other.origins.handle_notice(&notice, start());
        }
    }
    assert_eq!(second.ask(&mut [&mut third], start()), TakeUp::Of(service_version("v2")));
    assert_eq!(third.ask(&mut [&mut second], start()), TakeUp::Of(service_version("v2")));
}

/// Streams that began before the further version appeared are told as soon as it does.
#[test]
fn earlier_streams_are_announced_with_a_further_version() {
    let mut entry = Entry::new("vm-1");
    entry.list(&[("a1", "v1")], start());
    assert!(entry.begin(STREAM, "a1", "v1", start()).is_empty());
    entry.list(&[("a1", "v1"), ("b1", "v2")], start() + SETTLED);
    assert_eq!(entry.table.versions.drain_mixed_services(), vec![service()]);
    let versions = &entry.table.versions.history;
    let notices = entry.origins.announce_streams(&service(), versions, start() + SETTLED);
    assert!(notices.iter().any(|(_, notice)| notice.streams[0].0 == STREAM));
}

/// An entry stood still while upstreams of a further version joined; it took its old list for granted.
#[test]
fn an_entry_that_stood_still_does_not_rely_on_its_list() {
    let mut entry = Entry::new("vm-2");
    entry.list(&[("a1", "v1")], start());
    let thawed = start() + TimeSpan::from_secs(6);
    assert_eq!(entry.check_at(thawed, thawed), TakeUp::Pending);
    entry.list(&[("a1", "v1"), ("b1", "v2")], thawed + TimeSpan::from_millis(100));
    assert_eq!(entry.check_at(thawed, thawed + LONG_WAIT), TakeUp::Unknown(UnknownCause::NoReply));
}

/// The further version had come and gone while the entry stood still.
#[test]
fn an_entry_that_stood_still_does_not_rely_on_what_serves_now() {
    let mut entry = Entry::new("vm-2");
    entry.list(&[("a1", "v1")], start());
    let thawed = start() + TimeSpan::from_secs(9);
    entry.list(&[("a1", "v1")], thawed);
    assert_eq!(entry.check_at(thawed, thawed), TakeUp::Pending);
    entry.table.versions.restore(&[service_version("v1"), service_version("v2")], thawed);
    assert_eq!(entry.check_at(thawed, thawed + LONG_WAIT), TakeUp::Unknown(UnknownCause::NoReply));
}

/// The entry of the take-up has just started, and nobody is left who knows.
#[test]
fn an_entry_that_has_just_started_refuses_what_it_does_not_know() {
    let mut entry = Entry::new("vm-2").with_start(start());
    entry.list(&[("b1", "v2")], start());
    assert_eq!(entry.check_at(start(), start()), TakeUp::Pending);
    assert_eq!(
        entry.check_at(start(), start() + LONG_WAIT),
        TakeUp::Unknown(UnknownCause::NoRecords)
    );
}

/// All entries were killed and started anew.
#[test]
fn the_stored_trace_tells_which_version_began_a_stream() {
    let [mut writer, ..] = mixed_fleet();
    writer.begin(STREAM, "b1", "v2", start());
    let trace = writer.origins.trace(&writer.table.versions.history, start());
    let mut entry = Entry::new("vm-2").with_start(start());
    entry.origins.restore(&trace, start());
    entry.table.versions.restore(&trace.versions, start());
    entry.list(&[("a1", "v1"), ("b1", "v2")], start());
    assert_eq!(entry.check_at(start(), start()), TakeUp::Of(service_version("v2")));
}

/// All entries were killed just as the upstreams of the old version had left.
#[test]
fn the_stored_trace_tells_of_a_version_that_has_left() {
    let [mut writer, ..] = mixed_fleet();
    writer.list(&[("b1", "v2")], start() + SETTLED);
    let trace = writer.origins.trace(&writer.table.versions.history, start() + SETTLED);
    let mut entry = Entry::new("vm-2").with_start(start() + SETTLED);
    entry.origins.restore(&trace, start() + SETTLED);
    entry.table.versions.restore(&trace.versions, start() + SETTLED);
    entry.list(&[("b1", "v2")], start() + SETTLED);
    let now = start() + SETTLED;
    assert_eq!(entry.check_at(now, now + LONG_WAIT), TakeUp::Unknown(UnknownCause::NoReply));
}

/// With one version, a take-up needs nobody else, also right after a start.
#[rstest]
#[case::long_running(false)]
#[case::just_started(true)]
fn streams_of_the_only_version_go_on_at_once(#[case] is_new: bool) {
    let mut entry = Entry::new("vm-1");
    if is_new {
        entry = entry.with_start(start());
        entry.table.versions.restore(&[service_version("v1")], start());
    }
    entry.list(&[("a1", "v1"), ("a2", "v1")], start());
    assert_eq!(entry.check_at(start(), start()), TakeUp::Of(service_version("v1")));
}

/// While the key-value service is silent no list is recent, and nothing began at a further version.
#[test]
fn entries_that_agree_on_the_only_version_go_on() {
    let mut fleet = ["vm-0", "vm-1", "vm-2"].map(|vm| {
        let mut entry = Entry::new(vm);
        entry.list(&[("a1", "v1"), ("a2", "v1")], start());
        entry
    });
    let now = start() + TimeSpan::from_secs(5);
    let [first, second, third] = &mut fleet;
    assert_eq!(third.ask(&mut [first, second], now), TakeUp::Of(service_version("v1")));
}

/// Every list without the further version is too old before a stream begins there.
#[test]
fn streams_begin_at_a_further_version_once_all_entries_know_it() {
    let mut entry = Entry::new("vm-0");
    entry.list(&[("a1", "v1")], start());
    entry.list(&[("a1", "v1"), ("b1", "v2")], start() + SETTLED);
    let id: UpstreamId = "a1".parse().unwrap();
    (0..8).for_each(|_| entry.table.record_start(&id, 0, start() + SETTLED));
    assert_eq!(entry.picked(None, start() + SETTLED), Some("a1".to_owned()));
    let later = start() + SETTLED + bounds().drain_time;
    assert_eq!(entry.picked(None, later), Some("b1".to_owned()));
}

/// A replica that crashed came back under its name as another version.
#[test]
fn streams_of_an_upstream_that_restarted_as_another_version_are_uncertain() {
    let mut entry = Entry::new("vm-0");
    entry.list(&[("a1", "v1"), ("b1", "v2")], start());
    let begun = start() + TimeSpan::from_millis(300);
    entry.begin(STREAM, "a1", "v1", begun);
    let now = start() + TimeSpan::from_millis(600);
    let new = registration("a1", "v2", 2);
    let others = vec![new, registration("b1", "v2", 1)];
    entry.table.update_registrations(others, StoreRevision::default(), now);
    for (upstream, since) in entry.table.versions.drain_restarts() {
        entry.origins.record_restart(&upstream, since);
    }
    assert_eq!(entry.check_at(now, now), TakeUp::Unknown(UnknownCause::Uncertain));
}

/// The upstream of a stream that had run for over half of its time broke off, and the others of its
/// version took no work for a moment: the stream was given up at once, since the wait counted from the
/// arrival of the request.
#[test]
fn a_stream_that_has_run_for_long_waits_for_an_upstream() {
    let mut entry = Entry::new("vm-0");
    let broken = start() + TimeSpan::from_secs(9);
    entry.list(&[("a1", "v1"), ("b1", "v2")], broken);
    let id: UpstreamId = "a1".parse().unwrap();
    entry.table.record_outcome(&id, AttemptOutcome::Unreachable, broken);
    let mut scheduler = CallScheduler::new(bounds());
    let mut quarantine = WorkQuarantine::new("vm-0".parse().unwrap());
    scheduler.admit(serving_call(Some("v1"), start(), broken), broken).unwrap();
    let decisions = scheduler.decide(&mut entry.table, &mut quarantine, broken);
    assert!(decisions.is_empty(), "{decisions:?}");
    let later = broken + TimeSpan::from_millis(1_100);
    entry.list(&[("a1", "v1"), ("b1", "v2")], later);
    let decisions = scheduler.decide(&mut entry.table, &mut quarantine, later);
    let [ScheduleDecision::Send(_, pick)] = &decisions[..] else { panic!("{decisions:?}") };
    assert_eq!(pick.upstream, id);
    // It doesn't wait for longer than half of the time that was left.
    scheduler.admit(serving_call(Some("v1"), start(), broken), broken).unwrap();
    entry.table.record_outcome(&id, AttemptOutcome::Unreachable, later);
    let end = broken + TimeSpan::from_secs(3);
    entry.table.record_outcome(&id, AttemptOutcome::Unreachable, end);
    let decisions = scheduler.decide(&mut entry.table, &mut quarantine, end);
    assert!(matches!(&decisions[..], [ScheduleDecision::Refuse(..)]), "{decisions:?}");
}

/// The hub was lost, so that it wasn't known which models upstreams have, and streams were given up after
/// two seconds while new ones waited for the next hub.
#[test]
fn a_stream_waits_for_the_models_of_its_version_while_no_hub_reports_them() {
    let mut entry = Entry::new("vm-0");
    entry.list(&[("a1", "v1"), ("b1", "v2")], start());
    let mut scheduler = CallScheduler::new(bounds());
    let mut quarantine = WorkQuarantine::new("vm-0".parse().unwrap());
    let target = Some(TargetId::new("m1".parse().unwrap()));
    let call = ServingCall { target, ..serving_call(Some("v1"), start(), start()) };
    scheduler.admit(call, start()).unwrap();
    let later = start() + TimeSpan::from_secs(4);
    let decisions = scheduler.decide(&mut entry.table, &mut quarantine, later);
    assert!(decisions.is_empty(), "{decisions:?}");
    entry.table.update_resident_models(InstanceId::new(1), Vec::new(), later);
    let decisions = scheduler.decide(&mut entry.table, &mut quarantine, later);
    assert!(matches!(&decisions[..], [ScheduleDecision::Refuse(..)]), "{decisions:?}");
}

/// Until it is listed again, an upstream that was down isn't taken for what it was: it is asked for its
/// start, and gets no stream if it names none or another one. It was left out before, so that the streams
/// of a version with one upstream were lost while the store was silent.
#[test]
fn a_stream_does_not_go_on_at_an_upstream_that_may_have_restarted() {
    let mut entry = Entry::new("vm-0");
    entry.list(&[("a1", "v1"), ("b1", "v2")], start());
    let down = start() + TimeSpan::from_millis(100);
    let id: UpstreamId = "a1".parse().unwrap();
    entry.table.record_outcome(&id, AttemptOutcome::Broken, down);
    let PickOutcome::Send(pick) = entry.pick(Some("v1"), down) else { panic!("no upstream") };
    assert!(pick.start.is_doubtful);
    assert_eq!(pick.start.check_take_up(ReportedStart::At(1)), TakeUpCheck::Send);
    assert_eq!(pick.start.check_take_up(ReportedStart::At(90_000)), TakeUpCheck::Restarted(90_000));
    assert_eq!(pick.start.check_take_up(ReportedStart::Unnamed), TakeUpCheck::Unnamed);
    assert!(entry.table.record_reported_start(&id, 1, None));
    assert_eq!(entry.pick(Some("v1"), down), PickOutcome::Uncertain);
    let listed = down + TimeSpan::from_millis(500);
    entry.list(&[("a1", "v1"), ("b1", "v2")], listed);
    assert_eq!(entry.picked(Some("v1"), listed), Some("a1".to_owned()));
}

/// One that is certain to be what is listed needs no second try.
#[test]
fn a_stream_prefers_an_upstream_that_has_not_broken_off() {
    let mut entry = Entry::new("vm-0");
    entry.list(&[("a1", "v1"), ("a2", "v1"), ("b1", "v2")], start());
    let down = start() + TimeSpan::from_millis(100);
    entry.table.record_outcome(&"a1".parse().unwrap(), AttemptOutcome::Broken, down);
    let a2: UpstreamId = "a2".parse().unwrap();
    (0..8).for_each(|_| entry.table.record_start(&a2, 0, down));
    assert_eq!(entry.picked(Some("v1"), down), Some("a2".to_owned()));
}

/// Upstreams crashed and were back at once as another version, and entries that listed the earlier one
/// sent them the rests of streams.
#[rstest]
#[case::same_start(ReportedStart::At(10_000), TakeUpCheck::Send)]
#[case::registered_after_its_start(ReportedStart::At(9_800), TakeUpCheck::Send)]
#[case::back_at_once(ReportedStart::At(10_200), TakeUpCheck::Restarted(10_200))]
#[case::back_as_another_start(ReportedStart::At(14_000), TakeUpCheck::Restarted(14_000))]
#[case::clock_set_back(ReportedStart::At(2_000), TakeUpCheck::Restarted(2_000))]
#[case::huge(ReportedStart::At(u64::MAX), TakeUpCheck::Restarted(u64::MAX))]
#[case::ended(ReportedStart::Ended, TakeUpCheck::Unknown)]
#[case::silent(ReportedStart::NoReply, TakeUpCheck::Unknown)]
#[case::names_no_start(ReportedStart::Unnamed, TakeUpCheck::Send)]
fn the_rest_of_a_stream_is_sent_to_the_listed_start_only(
    #[case] reply: ReportedStart,
    #[case] expected: TakeUpCheck,
) {
    let known = KnownStart::new(10_000);
    assert_eq!(known.check_take_up(reply), expected);
    // After a connection broke, only a report that names the listed start is enough.
    let doubtful = KnownStart { is_doubtful: true, ..known };
    let expected = if reply == ReportedStart::Unnamed { TakeUpCheck::Unnamed } else { expected };
    assert_eq!(doubtful.check_take_up(reply), expected);
}

/// An entry that had stood still took the end of an upstream that was back for the end of its response.
/// A start that was reported before the request was sent is known as well: the registration is late.
#[rstest]
#[case::same_start(ReportedStart::At(10_000), true)]
#[case::reported_before(ReportedStart::At(14_000), true)]
#[case::back_as_another_start(ReportedStart::At(19_000), false)]
#[case::ended(ReportedStart::Ended, false)]
#[case::silent(ReportedStart::NoReply, false)]
#[case::names_no_start(ReportedStart::Unnamed, true)]
fn a_response_is_whole_if_its_upstream_has_not_ended(
    #[case] reply: ReportedStart,
    #[case] expected: bool,
) {
    let known = KnownStart { listed: 10_000, reported: Some(14_000), is_doubtful: false };
    assert_eq!(known.shows_end(reply), expected);
}

/// The report of an upstream shows that it has started again: until it is listed anew, each further
/// take-up would try it in vain or join two versions. New streams still begin there.
#[test]
fn no_stream_goes_on_at_an_upstream_whose_report_names_another_start() {
    let mut entry = Entry::new("vm-0");
    entry.list(&[("a1", "v1")], start());
    let (id, returned): (UpstreamId, u64) = ("a1".parse().unwrap(), 90_000);
    assert!(entry.table.record_reported_start(&id, 1, Some(returned)));
    assert!(!entry.table.record_reported_start(&id, 1, Some(returned)));
    assert_eq!(entry.picked(Some("v1"), start()), None);
    assert_eq!(entry.picked(None, start()), Some("a1".to_owned()));
    // A list that is read while the registration is late doesn't change that.
    let later = start() + TimeSpan::from_millis(600);
    entry.list(&[("a1", "v1")], later);
    assert_eq!(entry.picked(Some("v1"), later), None);
    let listed = registration("a1", "v1", returned);
    entry.table.update_registrations(vec![listed], StoreRevision::default(), later);
    assert_eq!(entry.picked(Some("v1"), later), Some("a1".to_owned()));
}

/// What is stored changes only if there is something to store.
#[test]
fn an_unchanged_trace_is_not_stored_again() {
    let mut entry = Entry::new("vm-0");
    entry.list(&[("a1", "v1")], start());
    entry.begin(STREAM, "a1", "v1", start());
    let trace = entry.origins.trace(&entry.table.versions.history, start());
    assert_eq!(trace.versions, vec![service_version("v1")]);
    assert!(trace.streams.is_empty());
    let mut tracer = OriginTracer::new(OriginTrace::default());
    assert!(tracer.record_trace(&trace));
    assert!(!tracer.record_trace(&trace));
}

/// A version is remembered for as long as one of its streams may be taken up.
#[test]
fn a_version_is_forgotten_after_the_horizon() {
    let mut history = VersionHistory::new(TimeSpan::from_secs(2));
    history.update_horizon(TimeSpan::from_secs(30));
    let (service, old, new) = (service(), version("v1"), version("v2"));
    history.update([(&service, &old), (&service, &new)].into_iter(), start());
    history.update([(&service, &new)].into_iter(), start());
    assert!(history.is_mixed(&service, start() + TimeSpan::from_secs(29)));
    assert_eq!(history.only_version(&service, start() + TimeSpan::from_secs(30)), Some(&new));
}
