//! A limit of requests that an upstream names holds for all entries together, whatever becomes of
//! the hub.

#![allow(clippy::unwrap_used)]

use gentian_core::peer::{PermitReply, RankedPermits};
use gentian_core::{InstanceId, MonoTime, RequestRate, TimeSpan, UpstreamId, VmId};
use gentian_decide::limits::{PermitClient, PermitLedger, PermitState, RequestShare};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const START: MonoTime = MonoTime::from_millis(1_000_000);
const STEP: TimeSpan = TimeSpan::from_millis(5);
/// The stated target: in some 4 s, one and a half times what the limit allows, and five more.
const WINDOW: TimeSpan = TimeSpan::from_secs(4);
const MAX_FACTOR: f64 = 1.5;
const MAX_BEYOND: f64 = 5.0;
/// Times after which entries notice that the hub is silent.
const SILENCE_MILLIS: std::ops::Range<u64> = 700..1_450;
const LOST_PERCENT: u32 = 3;
const PRIORITY: u8 = 1;

enum Message {
    Request(RankedPermits),
    Reply(usize, PermitReply),
}

struct Entry {
    vm: VmId,
    instance: InstanceId,
    client: PermitClient,
    share: RequestShare,
    /// Requests that wait.
    demand: u32,
    /// When it notices that the hub is lost.
    notices_loss: Option<MonoTime>,
}

struct Fleet {
    limit: RequestRate,
    entries: Vec<Entry>,
    ledger: Option<PermitLedger>,
    messages: Vec<(MonoTime, Message)>,
    sent: Vec<MonoTime>,
    random: StdRng,
    upstream: UpstreamId,
    now: MonoTime,
}

impl Fleet {
    fn new(entries: usize, limit: RequestRate, seed: u64) -> Self {
        let make_entry = |index: usize| Entry {
            vm: format!("vm-{index}").parse().unwrap(),
            instance: InstanceId::new(index as u64),
            client: PermitClient::new(),
            share: RequestShare::default(),
            demand: 0,
            notices_loss: None,
        };
        let mut fleet = Self {
            limit,
            entries: (0..entries).map(make_entry).collect(),
            ledger: None,
            messages: Vec::new(),
            sent: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            upstream: "i-1".parse().unwrap(),
            now: START,
        };
        // The first hub has been there for long.
        fleet.start_hub(START - TimeSpan::from_secs(60));
        fleet
    }

    fn start_hub(&mut self, since: MonoTime) {
        self.ledger = Some(PermitLedger::new(since));
        for entry in &mut self.entries {
            entry.notices_loss = None;
            entry.client.update_hub(true);
        }
    }

    fn lose_hub(&mut self) {
        self.ledger = None;
        for entry in &mut self.entries {
            let silence = TimeSpan::from_millis(self.random.random_range(SILENCE_MILLIS));
            entry.notices_loss = Some(self.now + silence);
        }
    }

    /// Runs the fleet with `rate` new requests a second, over all entries.
    fn run(&mut self, span: TimeSpan, rate: f64) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            let arrivals = rate * STEP.as_secs_f64();
            let mut count = arrivals.floor() as u32;
            count += u32::from(self.random.random_bool(arrivals.fract()));
            for _ in 0..count {
                let index = self.random.random_range(0..self.entries.len());
                // Requests that wait for long are refused.
                let demand = &mut self.entries[index].demand;
                *demand = (*demand + 1).min(10);
            }
            self.deliver();
            (0..self.entries.len()).for_each(|index| self.step_entry(index));
        }
    }

    fn step_entry(&mut self, index: usize) {
        let (now, limit, count) = (self.now, self.limit, self.entries.len() as u32);
        let entry = &mut self.entries[index];
        if entry.notices_loss.is_some_and(|time| time <= now) {
            entry.client.update_hub(false);
        }
        entry.client.begin_round(now);
        let mut sent = 0;
        for _ in 0..entry.demand {
            let is_free = match entry.client.needs_permits(now) {
                true => entry.client.state(&self.upstream, PRIORITY, now) == PermitState::Granted,
                false => entry.share.has_capacity_for(limit, (index as u32, count), 7, now),
            };
            if is_free {
                entry.client.consume(&self.upstream);
                entry.share.record_limited(now);
                self.sent.push(now);
                sent += 1;
            } else if entry.client.needs_permits(now)
                && entry.client.state(&self.upstream, PRIORITY, now) == PermitState::Unknown
            {
                entry.client.want(&self.upstream, PRIORITY, 1, limit);
            }
        }
        entry.demand -= sent;
        if let Some(request) = entry.client.next_request(&entry.vm, entry.instance, now) {
            self.post(Message::Request(request));
        }
    }

    fn post(&mut self, message: Message) {
        if !self.random.random_ratio(LOST_PERCENT, 100) {
            let delay = TimeSpan::from_millis(self.random.random_range(1..20));
            self.messages.push((self.now + delay, message));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |(time, _)| *time <= now).collect();
        for (_, message) in due {
            match message {
                Message::Request(request) => {
                    let ledger = self.ledger.as_mut();
                    let reply = ledger.and_then(|it| it.handle_ranked(&request, |_| None, now));
                    let index = self
                        .entries
                        .iter()
                        .position(|entry| entry.vm == request.request.vm)
                        .unwrap();
                    reply.into_iter().for_each(|it| self.post(Message::Reply(index, it)));
                }
                Message::Reply(index, reply) => {
                    self.entries[index].client.handle_reply(&reply, now);
                }
            }
        }
    }

    fn most_in_window(&self) -> usize {
        let count = |start: &MonoTime| {
            let counted =
                self.sent.iter().filter(|time| **time >= *start && time.since(*start) < WINDOW);
            counted.count()
        };
        self.sent.iter().map(count).max().unwrap_or(0)
    }

    fn check_limit(&self) {
        let allowed = self.limit.requests_in(WINDOW) * MAX_FACTOR + MAX_BEYOND;
        let most = self.most_in_window();
        assert!(most as f64 <= allowed, "{most} in a window, allowed {allowed}");
    }

    fn requests_since(&self, start: MonoTime) -> usize {
        self.sent.iter().filter(|time| **time >= start).count()
    }
}

#[rstest]
fn a_limit_holds_for_all_entries_while_hubs_are_lost(
    #[values(1, 6, 90)] entries: usize,
    #[values(200, 1_000, 1_700, 5_000, 20_000)] limit_millis: u64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let limit = RequestRate::from_millis(limit_millis);
    let mut fleet = Fleet::new(entries, limit, seed);
    for _ in 0..4 {
        let span = fleet.random.random_range(500..6_000);
        fleet.run(TimeSpan::from_millis(span), 60.0);
        fleet.lose_hub();
        let span = fleet.random.random_range(300..9_000);
        fleet.run(TimeSpan::from_millis(span), 60.0);
        let now = fleet.now;
        fleet.start_hub(now);
    }
    fleet.check_limit();
}

/// A fleet of 90 serves as much as one of 6 before an upstream that takes one request a second.
#[rstest]
fn a_limit_is_used_wherever_the_requests_arrive(
    #[values(1, 6, 90)] entries: usize,
    #[values(1_000, 5_000)] limit_millis: u64,
) {
    let limit = RequestRate::from_millis(limit_millis);
    let mut fleet = Fleet::new(entries, limit, 5);
    let rate = limit.per_second() * 3.0;
    fleet.run(TimeSpan::from_secs(60), rate);
    let used = fleet.requests_since(START) as f64 / limit.requests_in(TimeSpan::from_secs(60));
    fleet.check_limit();
    assert!(used > 0.8, "{used} of the limit is used");
}

/// The upstream accepts all that comes, although it names a limit.
#[test]
fn requests_below_a_limit_do_not_wait() {
    let mut fleet = Fleet::new(6, RequestRate::from_millis(10_000), 6);
    fleet.run(TimeSpan::from_secs(20), 4.0);
    let waiting: u32 = fleet.entries.iter().map(|entry| entry.demand).sum();
    assert!(fleet.sent.len() > 60 && waiting <= 1, "{} sent, {waiting} wait", fleet.sent.len());
}

#[test]
fn a_request_for_permits_that_comes_twice_grants_once() {
    let mut client = PermitClient::new();
    client.update_hub(true);
    client.begin_round(START);
    let upstream: UpstreamId = "i-1".parse().unwrap();
    client.want(&upstream, PRIORITY, 1, RequestRate::from_millis(1_000));
    let vm: VmId = "vm-1".parse().unwrap();
    let request = client.next_request(&vm, InstanceId::new(1), START).unwrap();
    let mut ledger = PermitLedger::new(MonoTime::ORIGIN);
    let reply = ledger.handle_ranked(&request, |_| None, START).unwrap();
    assert_eq!(ledger.handle_ranked(&request, |_| None, START), None);
    client.handle_reply(&reply, START);
    client.consume(&upstream);
    client.handle_reply(&reply, START);
    assert_ne!(client.state(&upstream, PRIORITY, START), PermitState::Granted);
}

/// A hub of an earlier version reports, but does not reply to requests for permits.
#[test]
fn entries_keep_to_their_shares_when_the_hub_grants_no_permits() {
    let limit = RequestRate::from_millis(4_000);
    let mut fleet = Fleet::new(6, limit, 8);
    fleet.ledger = None;
    fleet.run(TimeSpan::from_secs(20), 20.0);
    fleet.check_limit();
    assert!(fleet.sent.len() > 15, "{} sent", fleet.sent.len());
}
