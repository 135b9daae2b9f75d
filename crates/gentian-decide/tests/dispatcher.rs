//! The dispatcher of an entry starts, retries, refuses and cancels requests.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use gentian_config::{ConfigSet, parse_config};
use gentian_core::peer::{PlacementReply, UpstreamView};
use gentian_core::{
    BootId, FenceNumber, InstanceId, MonoTime, RequestId, SequenceNumber, TimeSpan, TokenCount,
};
use gentian_decide::entry::{CallDecision, CallOutcome, RequestDispatcher, WaitingCall};
use gentian_decide::request::RefusalCode;
use gentian_decide::share::ShareAllocator;

const START: MonoTime = MonoTime::from_millis(1_000_000);
const CONFIG: &str = "\
[organisation club]
rate = 1000
burst = 4000
[domain d]
[upstream s1]
kind = service
address = 127.0.0.1:1
domain = d
slots = 1
[upstream s2]
kind = service
address = 127.0.0.1:2
domain = d
slots = 1
[route planner]
path = /planner
kind = service
organisations = club
upstreams = s1, s2
deadline = 5s
";

/// A dispatcher with the holder of its share seat.
struct DispatcherSetup {
    set: Arc<ConfigSet>,
    dispatcher: RequestDispatcher,
    allocator: ShareAllocator,
    now: MonoTime,
}

impl DispatcherSetup {
    fn new(has_views: bool) -> Self {
        let set = Arc::new(parse_config(CONFIG).unwrap());
        let fence = FenceNumber::new(1);
        let seat = set.fleet.share_seats().next().unwrap();
        let mut allocator = ShareAllocator::new(seat, fence, START);
        allocator.update(&set, START);
        let mut dispatcher = RequestDispatcher::new(InstanceId::new(1));
        dispatcher.update(Arc::clone(&set));
        let mut setup = Self { set, dispatcher, allocator, now: START };
        if has_views {
            setup.deliver_views(fence);
        }
        setup
    }

    fn deliver_views(&mut self, fence: FenceNumber) {
        let boot = BootId::new(1);
        let views = self.set.upstreams.keys().map(|id| UpstreamView {
            upstream: id.clone(),
            revision: SequenceNumber::new(1),
            boot: Some(boot),
            objects: Vec::new(),
            is_leaving: false,
        });
        let request = self.dispatcher.make_placement_request(self.now).unwrap();
        let views = views.collect();
        let revision = SequenceNumber::new(1);
        let (seat, sequence) = (request.seat, request.sequence);
        let reply = PlacementReply { seat, fence, sequence, revision, views };
        assert!(self.dispatcher.handle_placement_reply(reply, self.now));
        let ids: Vec<_> = self.set.upstreams.keys().cloned().collect();
        ids.iter().for_each(|id| self.allocator.record_boot(id, boot, START));
    }

    fn admit(&mut self, id: u64) {
        let call = WaitingCall {
            id: RequestId::new(id),
            organisation: self.set.organisations.values().next().cloned(),
            route: Arc::new(self.set.routes.values().next().unwrap().clone()),
            target: None,
            cost: TokenCount::new(10),
            deadline: self.now + TimeSpan::from_secs(5),
            queued_at: self.now,
            tried: Vec::new(),
            reservation: None,
        };
        self.dispatcher.admit(call, self.now);
    }

    /// Runs 300 ms in which every share request is granted, and returns the decisions.
    fn run_300_ms(&mut self) -> Vec<CallDecision> {
        let mut decisions = Vec::new();
        for _ in 0..30 {
            self.now = self.now + TimeSpan::from_millis(10);
            decisions.extend(self.dispatcher.decide(self.now));
            for request in self.dispatcher.make_share_requests(self.now) {
                let grant = self.allocator.handle_request(&request, self.now).unwrap();
                assert!(self.dispatcher.handle_grant(&grant, self.now));
            }
        }
        decisions
    }
}

fn sent(decisions: &[CallDecision]) -> Vec<(u64, String)> {
    let is_sent = |decision: &CallDecision| match decision {
        CallDecision::Send { id, upstream, .. } => Some((id.get(), upstream.to_string())),
        CallDecision::Refuse { .. } => None,
    };
    decisions.iter().filter_map(is_sent).collect()
}

#[test]
fn request_starts_once_tokens_and_a_slot_are_granted() {
    let mut setup = DispatcherSetup::new(true);
    setup.admit(1);
    assert!(sent(&setup.dispatcher.decide(setup.now)).is_empty());
    assert_eq!(sent(&setup.run_300_ms()).len(), 1);
}

#[test]
fn request_that_was_not_sent_goes_to_another_upstream() {
    let mut setup = DispatcherSetup::new(true);
    setup.admit(1);
    let first = sent(&setup.run_300_ms()).remove(0);
    setup.dispatcher.end_call(RequestId::new(1), CallOutcome::NotExecuted, setup.now);
    let second = sent(&setup.run_300_ms()).remove(0);
    assert_eq!(first.0, second.0);
    assert_ne!(first.1, second.1);
}

#[test]
fn cancelled_request_releases_its_slot() {
    let mut setup = DispatcherSetup::new(true);
    (1..=2).for_each(|id| setup.admit(id));
    assert_eq!(sent(&setup.run_300_ms()).len(), 2);
    setup.admit(3);
    assert!(sent(&setup.run_300_ms()).is_empty(), "both upstreams are full");
    setup.dispatcher.cancel(RequestId::new(1), setup.now);
    assert_eq!(sent(&setup.run_300_ms())[0].0, 3);
}

#[test]
fn request_without_an_upstream_is_refused_at_its_deadline() {
    let mut setup = DispatcherSetup::new(false);
    setup.admit(1);
    let mut refused_at = None;
    while refused_at.is_none() && setup.now < START + TimeSpan::from_secs(10) {
        let is_refused = |decision: &CallDecision| {
            matches!(decision, CallDecision::Refuse { refusal, .. }
                if refusal.code == RefusalCode::DeadlineExceeded)
        };
        refused_at = setup.run_300_ms().iter().any(is_refused).then_some(setup.now);
    }
    let waited = refused_at.unwrap().since(START);
    assert!(waited >= TimeSpan::from_secs(5) && waited < TimeSpan::from_millis(5_600));
}

#[test]
fn view_is_requested_again_soon_until_there_is_one() {
    let mut setup = DispatcherSetup::new(false);
    let soon = TimeSpan::from_millis(30);
    assert!(setup.dispatcher.make_placement_request(setup.now).is_some());
    setup.now = setup.now + soon;
    assert!(setup.dispatcher.make_placement_request(setup.now).is_some(), "no view yet");
    setup.now = setup.now + soon;
    setup.deliver_views(FenceNumber::new(1));
    setup.now = setup.now + soon;
    assert!(setup.dispatcher.make_placement_request(setup.now).is_none(), "nothing waits");
}
