//! The dispatcher of an entry starts, retries, refuses and forgets requests.

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

/// A dispatcher with the holder of its share seat beside it.
struct Bench {
    set: Arc<ConfigSet>,
    dispatcher: RequestDispatcher,
    holder: ShareAllocator,
    now: MonoTime,
}

impl Bench {
    fn new(is_seen: bool) -> Self {
        let set = Arc::new(parse_config(CONFIG).unwrap());
        let fence = FenceNumber::new(1);
        let seat = set.fleet.share_seats().next().unwrap();
        let mut holder = ShareAllocator::new(seat, fence, START);
        holder.update(&set, START);
        let mut dispatcher = RequestDispatcher::new(InstanceId::new(1));
        dispatcher.update(Arc::clone(&set));
        let mut bench = Self { set, dispatcher, holder, now: START };
        if is_seen {
            bench.show_upstreams(fence);
        }
        bench
    }

    fn show_upstreams(&mut self, fence: FenceNumber) {
        let boot = BootId::new(1);
        let views = self.set.upstreams.keys().map(|id| UpstreamView {
            upstream: id.clone(),
            revision: SequenceNumber::new(1),
            boot: Some(boot),
            objects: Vec::new(),
            is_leaving: false,
        });
        let ask = self.dispatcher.make_placement_request(self.now).unwrap();
        let views = views.collect();
        let revision = SequenceNumber::new(1);
        let (seat, sequence) = (ask.seat, ask.sequence);
        let tell = PlacementReply { seat, fence, sequence, revision, views };
        assert!(self.dispatcher.handle_placement_reply(tell, self.now));
        let ids: Vec<_> = self.set.upstreams.keys().cloned().collect();
        ids.iter().for_each(|id| self.holder.record_boot(id, boot, START));
    }

    fn admit(&mut self, id: u64) {
        let call = WaitingCall {
            id: RequestId::new(id),
            organisation: self.set.organisations.values().next().cloned(),
            route: Arc::new(self.set.routes.values().next().unwrap().clone()),
            target: None,
            cost: TokenCount::new(10),
            deadline: self.now + TimeSpan::from_secs(5),
            queued: self.now,
            tried: Vec::new(),
            receipt: None,
        };
        self.dispatcher.admit(call, self.now);
    }

    /// Lets 300 ms pass with every ask answered, and returns what was decided.
    fn pass(&mut self) -> Vec<CallDecision> {
        let mut decisions = Vec::new();
        for _ in 0..30 {
            self.now = self.now + TimeSpan::from_millis(10);
            decisions.extend(self.dispatcher.decide(self.now));
            for ask in self.dispatcher.make_share_requests(self.now) {
                let grant = self.holder.handle_request(&ask, self.now).unwrap();
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
fn request_starts_once_tokens_and_a_call_are_granted() {
    let mut bench = Bench::new(true);
    bench.admit(1);
    assert!(sent(&bench.dispatcher.decide(bench.now)).is_empty());
    assert_eq!(sent(&bench.pass()).len(), 1);
}

#[test]
fn request_that_did_not_run_goes_to_another_upstream() {
    let mut bench = Bench::new(true);
    bench.admit(1);
    let first = sent(&bench.pass()).remove(0);
    bench.dispatcher.end_call(RequestId::new(1), CallOutcome::NotSent, bench.now);
    let second = sent(&bench.pass()).remove(0);
    assert_eq!(first.0, second.0);
    assert_ne!(first.1, second.1);
}

#[test]
fn cancelled_request_gives_its_call_back() {
    let mut bench = Bench::new(true);
    (1..=2).for_each(|id| bench.admit(id));
    assert_eq!(sent(&bench.pass()).len(), 2);
    bench.admit(3);
    assert!(sent(&bench.pass()).is_empty(), "both upstreams are full");
    bench.dispatcher.cancel(RequestId::new(1), bench.now);
    assert_eq!(sent(&bench.pass())[0].0, 3);
}

#[test]
fn request_without_an_upstream_is_refused_at_its_deadline() {
    let mut bench = Bench::new(false);
    bench.admit(1);
    let mut refused_at = None;
    while refused_at.is_none() && bench.now < START + TimeSpan::from_secs(10) {
        let is_refused = |decision: &CallDecision| {
            matches!(decision, CallDecision::Refuse { refusal, .. }
                if refusal.code == RefusalCode::DeadlineExceeded)
        };
        refused_at = bench.pass().iter().any(is_refused).then_some(bench.now);
    }
    let waited = refused_at.unwrap().since(START);
    assert!(waited >= TimeSpan::from_secs(5) && waited < TimeSpan::from_millis(5_600));
}

#[test]
fn view_is_asked_for_again_soon_until_there_is_one() {
    let mut bench = Bench::new(false);
    let soon = TimeSpan::from_millis(30);
    assert!(bench.dispatcher.make_placement_request(bench.now).is_some());
    bench.now = bench.now + soon;
    assert!(bench.dispatcher.make_placement_request(bench.now).is_some(), "no view yet");
    bench.now = bench.now + soon;
    bench.show_upstreams(FenceNumber::new(1));
    bench.now = bench.now + soon;
    assert!(bench.dispatcher.make_placement_request(bench.now).is_none(), "nothing waits");
}
