//! Under random lost, duplicate and late messages, changes of the holder and upstream restarts, an
//! upstream never gets more calls than its capacity.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use gentian_config::{ConfigSet, parse_config};
use gentian_core::peer::{SeatId, SeatRole, ShareGrant, ShareRequest};
use gentian_core::{BootId, FenceNumber, InstanceId, MonoTime, ShardNumber, TimeSpan, UpstreamId};
use gentian_decide::entry::ShareClient;
use gentian_decide::share::{ShareAllocator, SlotAllowance};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const STEP: TimeSpan = TimeSpan::from_millis(10);
const STEPS: u64 = 6_000;
const POLL_STEPS: u64 = 20;
const START: MonoTime = MonoTime::from_millis(1_000_000_000);
const SEAT: SeatId = SeatId::new(SeatRole::Share, ShardNumber::new(0));
const FULL_SLOTS: u64 = 8;
const FRESH_SLOTS: u64 = 2;
/// Shortest time for which a restarting upstream does not respond.
const MIN_DOWN_MILLIS: u64 = 1_300;
const WARM_UP_MILLIS: u64 = 20_000;

enum Message {
    Request(usize, ShareRequest),
    Grant(usize, ShareGrant),
}

struct Entry {
    client: ShareClient,
    allowance: SlotAllowance,
    call_ends: BTreeMap<(MonoTime, u64), ()>,
}

struct Simulation {
    random: SmallRng,
    set: ConfigSet,
    now: MonoTime,
    holder: ShareAllocator,
    fence: FenceNumber,
    entries: Vec<Entry>,
    messages: BTreeMap<(MonoTime, u64), Message>,
    counter: u64,
    boot: u64,
    up_since: MonoTime,
    started: u64,
    first_violation: Option<String>,
}

fn upstream() -> UpstreamId {
    "upstream-1".parse().unwrap()
}

impl Simulation {
    fn new(seed: u64, entries: u64) -> Self {
        let text = format!(
            "[domain d]\n[upstream upstream-1]\nkind = service\naddress = 127.0.0.1:1\ndomain = d\n\
             slots = {FULL_SLOTS}\nfresh_slots = {FRESH_SLOTS}\n"
        );
        let set = parse_config(&text).unwrap();
        let fence = FenceNumber::new(1);
        let mut holder = ShareAllocator::new(SEAT, fence, START);
        holder.update(&set, START);
        let entry = |i| Entry {
            client: ShareClient::new(InstanceId::new(i)),
            allowance: SlotAllowance::new(upstream()),
            call_ends: BTreeMap::new(),
        };
        Self {
            random: SmallRng::seed_from_u64(seed),
            set,
            now: START,
            holder,
            fence,
            entries: (0..entries).map(entry).collect(),
            messages: BTreeMap::new(),
            counter: 0,
            boot: 1,
            up_since: START,
            started: 0,
            first_violation: None,
        }
    }

    fn is_up(&self) -> bool {
        self.now >= self.up_since
    }

    fn run(&mut self) {
        for step in 0..STEPS {
            self.now = self.now + STEP;
            self.cause_faults();
            self.deliver();
            if step % POLL_STEPS == 0 {
                match self.is_up() {
                    true => self.holder.record_boot(&upstream(), BootId::new(self.boot), self.now),
                    false => self.holder.record_no_response(&upstream()),
                }
            }
            for i in 0..self.entries.len() {
                self.step_entry(i, step);
            }
            self.check();
        }
    }

    fn cause_faults(&mut self) {
        if self.random.random_range(0..1_500) == 0 {
            self.fence = self.fence.next();
            self.holder = ShareAllocator::new(SEAT, self.fence, self.now);
            self.holder.update(&self.set, self.now);
        }
        if self.is_up() && self.random.random_range(0..2_000) == 0 {
            let down = self.random.random_range(MIN_DOWN_MILLIS..4_000);
            self.up_since = self.now + TimeSpan::from_millis(down);
            self.boot += 1;
            for entry in &mut self.entries {
                entry.call_ends.iter().for_each(|_| entry.allowance.end_call());
                entry.call_ends.clear();
            }
        }
    }

    fn step_entry(&mut self, i: usize, step: u64) {
        let now = self.now;
        let is_up = self.is_up();
        let new_calls = self.random.random_range(0..4);
        let sees_boot = is_up && self.random.random_range(0..20) == 0;
        let entry = &mut self.entries[i];
        if sees_boot {
            entry.allowance.record_boot(BootId::new(self.boot), now);
        }
        while entry.call_ends.first_key_value().is_some_and(|(key, ())| key.0 <= now) {
            entry.call_ends.pop_first();
            entry.allowance.end_call();
        }
        entry.allowance.clear_waiting_calls();
        for _ in 0..new_calls {
            if !entry.allowance.start_call(now) {
                entry.allowance.record_waiting_call();
            } else if is_up {
                self.started += 1;
                self.counter += 1;
                let at = now + TimeSpan::from_millis(self.random.random_range(20..3_000));
                entry.call_ends.insert((at, self.counter), ());
            } else {
                entry.allowance.end_call();
            }
        }
        if entry.client.can_send(SEAT, now)
            && step.is_multiple_of(2)
            && let Some(request) = entry.allowance.make_request(now)
        {
            let request = entry.client.make_request(SEAT, Vec::new(), vec![request], now);
            self.send(|| Message::Request(i, request.clone()));
        }
    }

    fn send(&mut self, message: impl Fn() -> Message) {
        let copies = [0, 1, 1, 1, 1, 1, 1, 1, 1, 2][self.random.random_range(0..10)];
        for _ in 0..copies {
            let is_late = self.random.random_range(0..30) == 0;
            let max_millis = if is_late { 2_500 } else { 8 };
            let at = self.now + TimeSpan::from_millis(self.random.random_range(1..=max_millis));
            self.counter += 1;
            self.messages.insert((at, self.counter), message());
        }
    }

    fn deliver(&mut self) {
        while self.messages.first_key_value().is_some_and(|(key, _)| key.0 <= self.now) {
            match self.messages.pop_first().unwrap().1 {
                Message::Request(i, request) => {
                    if let Some(grant) = self.holder.handle_request(&request, self.now) {
                        self.send(|| Message::Grant(i, grant.clone()));
                    }
                }
                Message::Grant(i, grant) => {
                    let entry = &mut self.entries[i];
                    if let Some(sent_at) = entry.client.close_request(&grant) {
                        let slots = grant.slots.iter();
                        slots.for_each(|s| {
                            entry.allowance.handle_grant(s, grant.slot_ttl, sent_at, self.now);
                        });
                    }
                }
            }
        }
    }

    fn check(&mut self) {
        let running: u64 = self.entries.iter().map(|entry| entry.call_ends.len() as u64).sum();
        let age = self.now.since(self.up_since).as_millis().min(WARM_UP_MILLIS);
        let capacity = FRESH_SLOTS + (FULL_SLOTS - FRESH_SLOTS) * age / WARM_UP_MILLIS;
        if running > capacity && self.first_violation.is_none() {
            self.first_violation =
                Some(format!("{running} calls, capacity {capacity} at {:?}", self.now));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 80, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_upstream_exceeds_its_capacity(seed: u64, entries in 1_u64..10) {
        let mut simulation = Simulation::new(seed, entries);
        simulation.run();
        prop_assert_eq!(&simulation.first_violation, &None);
        prop_assert!(simulation.started > 50, "only {} calls started", simulation.started);
    }
}
