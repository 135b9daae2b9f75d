//! Model of the processes, links and key-value service around real seat elections.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use gentian_core::peer::{SeatElector, SeatId, SeatQuery, SeatRecord, SeatReply, SeatRole};
use gentian_core::{FastSet, InstanceId, MonoTime, ShardNumber, StoreRevision, TimeSpan, VmId};
use gentian_decide::seat::{
    ElectorCandidate, SeatAction, SeatElection, SeatRules, StoredSeat, WriteOutcome,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const STEP: TimeSpan = TimeSpan::from_millis(50);
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);
const VM_COUNT: usize = 6;

/// Chances of the faults, in thousandths.
#[derive(Clone, Copy)]
pub(crate) struct FaultPlan {
    /// Per process and step: its calls to the key-value service fail for up to 8 s.
    pub(crate) cut: u32,
    /// Per process and step: it is paused for up to 8 s.
    pub(crate) pause: u32,
    /// Per process and step: it is replaced by a new instance, which starts within 3 s.
    pub(crate) crash: u32,
    /// Per step: the key-value service fails for up to `max_outage_millis`.
    pub(crate) outage: u32,
    /// Longest outage.
    pub(crate) max_outage_millis: u64,
    /// Per query, reply of an elector or response to a write: it is lost.
    pub(crate) lost_reply: u32,
    /// Per process and step: its messages to other processes take up to 5 s, for up to 6 s.
    pub(crate) slow: u32,
    /// Per step: the calls of all processes but one to the key-value service fail for up to 8 s.
    pub(crate) common_cut: u32,
}

enum Delivery {
    Read(Option<Option<StoredSeat>>),
    Write(WriteOutcome),
    Query(SeatQuery, usize),
    Reply(SeatReply),
}

struct Process {
    election: SeatElection,
    own: SeatElector,
    inbox: BTreeMap<(MonoTime, u64), Delivery>,
    paused_until: MonoTime,
    cut_until: MonoTime,
    slow_until: MonoTime,
    delay: TimeSpan,
}

/// Result of one schedule, in numbers of steps.
#[derive(Default, Debug)]
pub(crate) struct ModelReport {
    pub(crate) steps: u64,
    /// Steps with at least one acting holder.
    pub(crate) acting_steps: u64,
    /// Steps with more than one acting holder.
    pub(crate) conflict_steps: u64,
}

pub(crate) struct SeatModel {
    random: SmallRng,
    plan: FaultPlan,
    rules: SeatRules,
    now: MonoTime,
    processes: Vec<Process>,
    stored: Option<StoredSeat>,
    outage_until: MonoTime,
    late_writes: BTreeMap<(MonoTime, u64), (SeatRecord, StoreRevision)>,
    counter: u64,
}

impl SeatModel {
    pub(crate) fn new(seed: u64, plan: FaultPlan, rules: SeatRules) -> Self {
        let mut model = Self {
            random: SmallRng::seed_from_u64(seed),
            plan,
            rules,
            now: MonoTime::from_millis(1_000_000),
            processes: Vec::new(),
            stored: None,
            outage_until: MonoTime::ORIGIN,
            late_writes: BTreeMap::new(),
            counter: 0,
        };
        for i in 0..VM_COUNT {
            let process = model.start_process(i);
            model.processes.push(process);
        }
        model
    }

    pub(crate) fn run(mut self, steps: u64) -> ModelReport {
        let mut report = ModelReport::default();
        for _ in 0..steps {
            self.now = self.now + STEP;
            self.cause_faults();
            self.apply_late_writes();
            for i in 0..self.processes.len() {
                self.step_process(i);
            }
            let now = self.now;
            let live = self.processes.iter_mut().filter(|process| process.paused_until <= now);
            let acting = live.filter_map(|process| process.election.acting_fence(now)).count();
            report.steps += 1;
            report.acting_steps += u64::from(acting > 0);
            report.conflict_steps += u64::from(acting > 1);
        }
        report
    }

    fn start_process(&mut self, vm: usize) -> Process {
        let seat = SeatId::new(SeatRole::Placement, ShardNumber::new(0));
        let own = SeatElector {
            vm: vm_id(vm),
            instance: InstanceId::new(self.random.random()),
            address: ([127, 0, 0, 1], vm as u16 + 1).into(),
        };
        let election = SeatElection::new(seat, own.clone()).with_rules(self.rules);
        let inbox = BTreeMap::new();
        let past = MonoTime::ORIGIN;
        Process {
            election,
            own,
            inbox,
            paused_until: past,
            cut_until: past,
            slow_until: past,
            delay: TimeSpan::ZERO,
        }
    }

    fn chance(&mut self, per_thousand: u32) -> bool {
        self.random.random_range(0..1_000) < per_thousand
    }

    fn span(&mut self, max_millis: u64) -> TimeSpan {
        TimeSpan::from_millis(self.random.random_range(1..=max_millis))
    }

    fn cause_faults(&mut self) {
        if self.chance(self.plan.outage) {
            self.outage_until = self.now + self.span(self.plan.max_outage_millis);
        }
        if self.chance(self.plan.common_cut) {
            let unaffected = self.random.random_range(0..VM_COUNT);
            let until = self.now + self.span(8_000);
            let others = self.processes.iter_mut().enumerate().filter(|(i, _)| *i != unaffected);
            others.for_each(|(_, process)| process.cut_until = until);
        }
        for i in 0..self.processes.len() {
            if self.chance(self.plan.cut) {
                self.processes[i].cut_until = self.now + self.span(8_000);
            }
            if self.chance(self.plan.slow) {
                self.processes[i].slow_until = self.now + self.span(6_000);
                self.processes[i].delay = self.span(5_000);
            }
            if self.chance(self.plan.pause) {
                self.processes[i].paused_until = self.now + self.span(8_000);
            }
            if self.chance(self.plan.crash) {
                let mut process = self.start_process(i);
                process.paused_until = self.now + self.span(3_000);
                self.processes[i] = process;
            }
        }
    }

    fn apply_late_writes(&mut self) {
        while let Some(entry) = self.late_writes.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (record, expected) = entry.remove();
            if self.outage_until <= self.now {
                self.apply(record, expected);
            }
        }
    }

    fn apply(&mut self, record: SeatRecord, expected: StoreRevision) -> WriteOutcome {
        let current = self.stored.as_ref().map_or(StoreRevision::default(), |s| s.revision);
        if current != expected {
            return WriteOutcome::NotApplied;
        }
        self.counter += 1;
        let revision = StoreRevision::new(self.counter);
        self.stored = Some(StoredSeat { record, revision });
        WriteOutcome::Applied(revision)
    }

    fn step_process(&mut self, i: usize) {
        let now = self.now;
        if self.processes[i].paused_until > now {
            return;
        }
        while let Some(entry) = self.processes[i].inbox.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let delivery = entry.remove();
            self.deliver(i, delivery);
        }
        let candidates = self.candidates();
        let listed: FastSet<VmId> = (0..VM_COUNT).map(vm_id).collect();
        for action in self.processes[i].election.decide(&candidates, &listed, now) {
            self.carry_out(i, action);
        }
    }

    fn deliver(&mut self, i: usize, delivery: Delivery) {
        let now = self.now;
        match delivery {
            Delivery::Read(result) => self.processes[i].election.handle_read(result, now),
            Delivery::Write(outcome) => self.processes[i].election.handle_write(outcome, now),
            Delivery::Reply(reply) => self.processes[i].election.handle_reply(&reply, now),
            Delivery::Query(query, from) => {
                let reply = self.processes[i].election.reply_to_query(&query, now);
                self.send(i, from, Delivery::Reply(reply));
            }
        }
    }

    fn carry_out(&mut self, i: usize, action: SeatAction) {
        match action {
            SeatAction::Read => {
                let stored = self.stored.clone();
                let is_lost = self.is_call_lost(i);
                let result = (!is_lost).then_some(stored);
                self.finish_call(i, is_lost, Delivery::Read(result));
            }
            SeatAction::Write { record, expected } => self.carry_out_write(i, record, expected),
            SeatAction::Query { elector, query } => {
                let to = self.processes.iter().position(|process| process.own == elector);
                if let Some(to) = to {
                    self.send(i, to, Delivery::Query(query, i));
                }
            }
        }
    }

    fn carry_out_write(&mut self, i: usize, record: SeatRecord, expected: StoreRevision) {
        if self.is_call_lost(i) {
            if self.chance(400) {
                let at = self.now + self.span(6_000);
                self.counter += 1;
                self.late_writes.insert((at, self.counter), (record, expected));
            }
            self.finish_call(i, true, Delivery::Write(WriteOutcome::Unknown));
            return;
        }
        let outcome = self.apply(record, expected);
        let is_reply_lost = self.chance(self.plan.lost_reply);
        let outcome = if is_reply_lost { WriteOutcome::Unknown } else { outcome };
        self.finish_call(i, is_reply_lost, Delivery::Write(outcome));
    }

    fn is_call_lost(&mut self, i: usize) -> bool {
        self.outage_until > self.now || self.processes[i].cut_until > self.now
    }

    fn finish_call(&mut self, i: usize, is_lost: bool, delivery: Delivery) {
        let at = self.now + if is_lost { CALL_TIMEOUT } else { self.span(200) };
        self.counter += 1;
        self.processes[i].inbox.insert((at, self.counter), delivery);
    }

    fn send(&mut self, from: usize, to: usize, delivery: Delivery) {
        if self.chance(self.plan.lost_reply) {
            return;
        }
        let is_slow = self.processes[from].slow_until > self.now;
        let at = self.now + if is_slow { self.processes[from].delay } else { self.span(60) };
        self.counter += 1;
        self.processes[to].inbox.insert((at, self.counter), delivery);
    }

    fn candidates(&self) -> Vec<ElectorCandidate> {
        let live = self.processes.iter().enumerate();
        live.map(|(i, process)| ElectorCandidate {
            elector: process.own.clone(),
            domain: format!("domain-{}", i % 3).parse().unwrap(),
        })
        .collect()
    }
}

fn vm_id(vm: usize) -> VmId {
    format!("vm-{vm}").parse().unwrap()
}
