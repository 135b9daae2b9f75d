//! Model of processes, links and the key-value service around the real seat keepers.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use gentian_core::peer::{SeatElector, SeatId, SeatQuery, SeatRecord, SeatReply, SeatRole};
use gentian_core::{FastSet, InstanceId, MonoTime, SequenceNumber, ShardNumber, TimeSpan, VmId};
use gentian_decide::seat::{
    ElectorCandidate, SeatAction, SeatElection, SeatRules, StoredSeat, WriteOutcome,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const STEP: TimeSpan = TimeSpan::from_millis(50);
const CALL_LIMIT: TimeSpan = TimeSpan::from_millis(1_000);
const VM_COUNT: usize = 6;

/// How often faults happen, in chances per thousand steps.
#[derive(Clone, Copy)]
pub(crate) struct FaultPlan {
    pub(crate) cut: u32,
    pub(crate) pause: u32,
    pub(crate) death: u32,
    pub(crate) outage: u32,
    pub(crate) longest_outage: u64,
    pub(crate) lost_answer: u32,
    pub(crate) slow: u32,
    pub(crate) common_cut: u32,
}

enum Delivery {
    Read(Option<Option<StoredSeat>>),
    Write(WriteOutcome),
    Question(SeatQuery, usize),
    Answer(SeatReply),
}

struct Process {
    keeper: SeatElection,
    own: SeatElector,
    inbox: BTreeMap<(MonoTime, u64), Delivery>,
    paused_until: MonoTime,
    cut_until: MonoTime,
    slow_until: MonoTime,
    delay: TimeSpan,
}

/// Outcome of one schedule.
#[derive(Default, Debug)]
pub(crate) struct ModelReport {
    pub(crate) steps: u64,
    pub(crate) held_steps: u64,
    pub(crate) double_steps: u64,
}

pub(crate) struct SeatModel {
    random: SmallRng,
    plan: FaultPlan,
    rules: SeatRules,
    now: MonoTime,
    processes: Vec<Process>,
    stored: Option<StoredSeat>,
    outage_until: MonoTime,
    late_writes: BTreeMap<(MonoTime, u64), (SeatRecord, SequenceNumber)>,
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
            self.land_late_writes();
            for i in 0..self.processes.len() {
                self.step_process(i);
            }
            let now = self.now;
            let live = self.processes.iter_mut().filter(|process| process.paused_until <= now);
            let acting = live.filter_map(|process| process.keeper.may_act(now)).count();
            report.steps += 1;
            report.held_steps += u64::from(acting > 0);
            report.double_steps += u64::from(acting > 1);
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
        let keeper = SeatElection::new(seat, own.clone()).with_rules(self.rules);
        let inbox = BTreeMap::new();
        let never = MonoTime::ORIGIN;
        Process {
            keeper,
            own,
            inbox,
            paused_until: never,
            cut_until: never,
            slow_until: never,
            delay: TimeSpan::ZERO,
        }
    }

    fn chance(&mut self, per_thousand: u32) -> bool {
        self.random.random_range(0..1_000) < per_thousand
    }

    fn span(&mut self, most_millis: u64) -> TimeSpan {
        TimeSpan::from_millis(self.random.random_range(1..=most_millis))
    }

    fn cause_faults(&mut self) {
        if self.chance(self.plan.outage) {
            self.outage_until = self.now + self.span(self.plan.longest_outage);
        }
        if self.chance(self.plan.common_cut) {
            let spared = self.random.random_range(0..VM_COUNT);
            let until = self.now + self.span(8_000);
            let others = self.processes.iter_mut().enumerate().filter(|(i, _)| *i != spared);
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
            if self.chance(self.plan.death) {
                let mut process = self.start_process(i);
                process.paused_until = self.now + self.span(3_000);
                self.processes[i] = process;
            }
        }
    }

    fn land_late_writes(&mut self) {
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

    fn apply(&mut self, record: SeatRecord, expected: SequenceNumber) -> WriteOutcome {
        let current = self.stored.as_ref().map_or(SequenceNumber::default(), |s| s.revision);
        if current != expected {
            return WriteOutcome::NotApplied;
        }
        self.counter += 1;
        let revision = SequenceNumber::new(self.counter);
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
        for action in self.processes[i].keeper.decide(&candidates, &listed, now) {
            self.carry_out(i, action);
        }
    }

    fn deliver(&mut self, i: usize, delivery: Delivery) {
        let now = self.now;
        match delivery {
            Delivery::Read(result) => self.processes[i].keeper.handle_read(result, now),
            Delivery::Write(outcome) => self.processes[i].keeper.handle_write(outcome, now),
            Delivery::Answer(answer) => self.processes[i].keeper.handle_reply(&answer, now),
            Delivery::Question(question, from) => {
                let answer = self.processes[i].keeper.answer_query(&question, now);
                self.send(i, from, Delivery::Answer(answer));
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
            SeatAction::Write { record, expected } => self.carry_write(i, record, expected),
            SeatAction::Query { elector, query } => {
                let to = self.processes.iter().position(|process| process.own == elector);
                if let Some(to) = to {
                    self.send(i, to, Delivery::Question(query, i));
                }
            }
        }
    }

    fn carry_write(&mut self, i: usize, record: SeatRecord, expected: SequenceNumber) {
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
        let is_answer_lost = self.chance(self.plan.lost_answer);
        let outcome = if is_answer_lost { WriteOutcome::Unknown } else { outcome };
        self.finish_call(i, is_answer_lost, Delivery::Write(outcome));
    }

    fn is_call_lost(&mut self, i: usize) -> bool {
        self.outage_until > self.now || self.processes[i].cut_until > self.now
    }

    fn finish_call(&mut self, i: usize, is_lost: bool, delivery: Delivery) {
        let at = self.now + if is_lost { CALL_LIMIT } else { self.span(200) };
        self.counter += 1;
        self.processes[i].inbox.insert((at, self.counter), delivery);
    }

    fn send(&mut self, from: usize, to: usize, delivery: Delivery) {
        if self.chance(self.plan.lost_answer) {
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
