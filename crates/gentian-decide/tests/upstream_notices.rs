//! Upstreams that say in a response that they are leaving, or for how long they want no requests.

#![allow(clippy::unwrap_used)]

mod engine_fleet;

use std::sync::Arc;

use gentian_config::serving::{RetrySafety, ServiceWeight, ServingRoute};
use gentian_core::{
    MonoTime, RequestId, ServiceId, SlotCount, StoreRevision, TimeSpan, TokenCount, UpstreamId,
};
use gentian_decide::quarantine::WorkQuarantine;
use gentian_decide::serving::{
    AttemptOutcome, CallScheduler, ScheduleDecision, ServingCall, UpstreamNotice,
    UpstreamRegistration, UpstreamState, UpstreamTable,
};
use rstest::rstest;

const NOW: MonoTime = MonoTime::from_millis(10_000);
const SECOND: TimeSpan = TimeSpan::from_secs(1);
/// Requests that wait are refused after the half of it.
const DEADLINE: TimeSpan = TimeSpan::from_secs(8);
const INCARNATION: u64 = 7;

/// An entry that knows upstreams of one service.
struct Entry {
    table: UpstreamTable,
    scheduler: CallScheduler,
    quarantine: WorkQuarantine,
    requests: u64,
    lists: u64,
}

impl Entry {
    fn new(upstreams: &[&str]) -> Self {
        let bounds = engine_fleet::bounds();
        let table = UpstreamTable::new("north".parse().unwrap(), bounds);
        let scheduler = CallScheduler::new(bounds);
        let quarantine = WorkQuarantine::new("vm-0".parse().unwrap());
        let mut entry = Self { table, scheduler, quarantine, requests: 0, lists: 0 };
        entry.read(upstreams, INCARNATION, NOW);
        entry
    }

    /// Reads a list in which these upstreams are ready.
    fn read(&mut self, upstreams: &[&str], incarnation: u64, now: MonoTime) {
        self.lists += 1;
        let revision = StoreRevision::new(self.lists);
        let registration = |name: &&str| UpstreamRegistration {
            id: name.parse().unwrap(),
            revision,
            incarnation,
            service: service(),
            address: "10.0.0.1:80".parse().unwrap(),
            domain: "north".parse().unwrap(),
            version: None,
            state: UpstreamState::Ready,
            slots: SlotCount::new(4),
            cold_remaining: TimeSpan::ZERO,
            models: None,
        };
        let registrations = upstreams.iter().map(registration).collect();
        self.table.update_registrations(registrations, revision, now);
    }

    fn admit(&mut self, now: MonoTime) -> Vec<ScheduleDecision> {
        self.requests += 1;
        let call = ServingCall {
            id: RequestId::new(self.requests),
            route: Arc::new(route()),
            service: service(),
            organisation: None,
            target: None,
            cost: TokenCount::new(1),
            prompt_tokens: 0,
            shared_prefix: None,
            shared_parts: Vec::new(),
            request: None,
            stream: None,
            is_resuming: false,
            origin: None,
            received: now,
            queued: now,
            deadline: now + DEADLINE,
            tried: Vec::new(),
            possible_executions: 0,
            is_charged: false,
        };
        self.scheduler.admit(call, now).unwrap();
        self.scheduler.decide(&mut self.table, &mut self.quarantine, now)
    }

    /// Sends a request and returns to which upstream, and its id.
    fn send(&mut self, now: MonoTime) -> Option<(RequestId, UpstreamId)> {
        match self.admit(now).pop()? {
            ScheduleDecision::Send(id, pick) => Some((id, pick.upstream)),
            ScheduleDecision::Refuse(..) => None,
        }
    }

    /// Sends a request whose response has `notice`; returns its upstream.
    fn receive(&mut self, notice: UpstreamNotice, now: MonoTime) -> UpstreamId {
        let (id, upstream) = self.send(now).unwrap();
        self.scheduler.record_notice(id, notice, &mut self.table, now);
        self.scheduler.end_attempt(id, AttemptOutcome::Rejected, &mut self.table, now);
        upstream
    }
}

fn service() -> ServiceId {
    "desk".parse().unwrap()
}

fn route() -> ServingRoute {
    ServingRoute {
        id: "book".parse().unwrap(),
        host: "desk.example".into(),
        path_prefix: "/".into(),
        kind: RetrySafety::Unsafe,
        timeout: DEADLINE,
        target_latency: TimeSpan::ZERO,
        abandon_time: TimeSpan::from_secs(60),
        max_attempts: 1,
        priority: 0,
        services: vec![ServiceWeight { service: service(), weight: 1 }],
        allows_anonymous: true,
    }
}

/// The registration lags behind, and may be missing for a while in an outage of its service.
#[rstest]
#[case::still_listed(&["a", "b"])]
#[case::expired_meanwhile(&[])]
fn an_upstream_that_announced_to_leave_stays_unused_while_its_registration_is_ready(
    #[case] listed_meanwhile: &[&str],
) {
    let mut entry = Entry::new(&["a", "b"]);
    let leaving = entry.receive(UpstreamNotice::Leaving, NOW);
    entry.read(listed_meanwhile, INCARNATION, NOW + SECOND);
    let much_later = NOW + TimeSpan::from_secs(1_000);
    entry.read(&["a", "b"], INCARNATION, NOW + SECOND * 3);
    for now in [NOW + SECOND * 3, much_later] {
        entry.read(&["a", "b"], INCARNATION, now);
        for _ in 0..8 {
            assert_ne!(entry.send(now).unwrap().1, leaving, "{now:?}");
        }
    }
}

#[test]
fn an_upstream_is_used_again_after_its_restart() {
    let mut entry = Entry::new(&["a"]);
    entry.receive(UpstreamNotice::Leaving, NOW);
    assert_eq!(entry.send(NOW), None);
    entry.read(&["a"], INCARNATION + 1, NOW + SECOND);
    assert!(entry.send(NOW + SECOND).is_some());
}

#[test]
fn a_late_response_of_an_earlier_incarnation_was_held_against_the_next_one() {
    let mut entry = Entry::new(&["a"]);
    let (id, _) = entry.send(NOW).unwrap();
    entry.read(&["a"], INCARNATION + 1, NOW + SECOND);
    for notice in [UpstreamNotice::Leaving, UpstreamNotice::Pause(SECOND * 30)] {
        entry.scheduler.record_notice(id, notice, &mut entry.table, NOW + SECOND);
    }
    assert!(entry.send(NOW + SECOND).is_some());
}

#[rstest]
#[case::still_listed(&["a", "b"])]
#[case::expired_meanwhile(&[])]
fn an_upstream_that_turned_a_request_away_got_more_of_them(#[case] listed_meanwhile: &[&str]) {
    let mut entry = Entry::new(&["a", "b"]);
    let paused = entry.receive(UpstreamNotice::Pause(SECOND * 10), NOW);
    entry.read(listed_meanwhile, INCARNATION, NOW + SECOND);
    entry.read(&["a", "b"], INCARNATION, NOW + SECOND * 3);
    for _ in 0..8 {
        assert_ne!(entry.send(NOW + SECOND * 9).unwrap().1, paused);
    }
    let used: Vec<UpstreamId> = (0..8).map(|_| entry.send(NOW + SECOND * 10).unwrap().1).collect();
    assert!(used.contains(&paused), "{used:?}");
}

/// A shorter pause that is named later does not end a longer one.
#[test]
fn a_request_that_no_upstream_takes_in_time_is_refused_at_once() {
    let mut entry = Entry::new(&["a"]);
    let (first, _) = entry.send(NOW).unwrap();
    entry.receive(UpstreamNotice::Pause(SECOND * 20), NOW);
    let notice = UpstreamNotice::Pause(SECOND);
    entry.scheduler.record_notice(first, notice, &mut entry.table, NOW + SECOND);
    let decisions = entry.admit(NOW + SECOND * 5);
    let [ScheduleDecision::Refuse(_, refusal)] = decisions.as_slice() else {
        panic!("{decisions:?}");
    };
    assert_eq!(refusal.retry_after, Some(SECOND * 15));
}

#[test]
fn a_request_waits_for_the_end_of_a_short_pause() {
    let mut entry = Entry::new(&["a"]);
    entry.receive(UpstreamNotice::Pause(SECOND), NOW);
    assert_eq!(entry.admit(NOW), []);
    assert_eq!(entry.scheduler.due(NOW), Some(NOW + SECOND));
    let decisions = entry.scheduler.decide(&mut entry.table, &mut entry.quarantine, NOW + SECOND);
    assert!(matches!(decisions.as_slice(), [ScheduleDecision::Send(..)]), "{decisions:?}");
}

/// The process was suspended between the selection and the sending: the upstream may be leaving by
/// then, or its permit may have gone to another entry.
#[test]
fn a_selection_is_not_used_after_a_pause() {
    let mut entry = Entry::new(&["a"]);
    let Some(ScheduleDecision::Send(_, pick)) = entry.admit(NOW).pop() else {
        panic!("nothing was sent")
    };
    assert!(pick.is_current(NOW + TimeSpan::from_millis(300)));
    assert!(!pick.is_current(NOW + TimeSpan::from_secs(2)));
}
