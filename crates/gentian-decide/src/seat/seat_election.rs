//! One process's part in one seat.

use gentian_core::peer::{SeatElector, SeatId, SeatQuery, SeatRecord, SeatReply};
use gentian_core::{FastMap, FastSet, FenceNumber, MonoTime, SequenceNumber, VmId};

use super::held_seat::HeldSeat;
use super::{
    ElectorCandidate, SeatAction, SeatRules, SeatTimes, ServiceContact, StoredSeat, WriteOutcome,
    choose_electors,
};

/// Questions whose answers are still accepted.
const OPEN_QUESTIONS: usize = 64;

/// A write whose effect is not known yet.
#[derive(Clone, Debug)]
struct OpenWrite {
    record: SeatRecord,
    sent: MonoTime,
}

/// Decides when a process takes, keeps and gives up a seat.
///
/// A holder acts while its last confirmed write is fresh. Past that, it acts only while every
/// other elector has said, in answer to a recent question, that it has no contact with the
/// service. A taker needs unbroken contact for a grace that is longer than the lease and than the
/// life of an answer, so nobody takes a seat while its holder may act.
#[derive(Debug)]
pub struct SeatElection {
    seat: SeatId,
    own: SeatElector,
    times: SeatTimes,
    rules: SeatRules,
    contact: ServiceContact,
    stored: Option<StoredSeat>,
    seen: MonoTime,
    highest_fence: FenceNumber,
    holding: Option<HeldSeat>,
    /// Electors that a write without an answer may have put into the record.
    possible_electors: Vec<SeatElector>,
    write: Option<OpenWrite>,
    is_calling: bool,
    called: MonoTime,
    must_read: bool,
    is_leaving: bool,
    questions: FastMap<SequenceNumber, MonoTime>,
    question: SequenceNumber,
}

impl SeatElection {
    /// Creates the keeper of `seat` for the process `own`.
    pub fn new(seat: SeatId, own: SeatElector) -> Self {
        let times = SeatTimes::new();
        Self {
            seat,
            own,
            times,
            rules: SeatRules::new(),
            contact: ServiceContact::new(times.contact_gap),
            stored: None,
            seen: MonoTime::ORIGIN,
            highest_fence: FenceNumber::default(),
            holding: None,
            possible_electors: Vec::new(),
            write: None,
            is_calling: false,
            called: MonoTime::ORIGIN,
            must_read: true,
            is_leaving: false,
            questions: FastMap::default(),
            question: SequenceNumber::default(),
        }
    }

    /// Replaces the rules.
    pub fn with_rules(self, rules: SeatRules) -> Self {
        Self { rules, ..self }
    }

    /// Returns the seat.
    pub fn seat(&self) -> SeatId {
        self.seat
    }

    /// Returns the record as this process knows it.
    pub fn stored(&self) -> Option<&StoredSeat> {
        self.stored.as_ref()
    }

    /// Returns the fencing number under which the process may act now, if it may.
    pub fn may_act(&self, now: MonoTime) -> Option<FenceNumber> {
        let others = self.other_electors();
        let holding = self.holding.as_ref()?;
        holding.may_act(&others, &self.times, &self.rules, now).then_some(holding.fence)
    }

    /// Returns the fencing number under which the process holds the seat, acting or not.
    pub fn held_fence(&self) -> Option<FenceNumber> {
        self.holding.as_ref().map(|holding| holding.fence)
    }

    /// Tells whether the process may act only because no elector has contact.
    pub fn is_past_lease(&self, now: MonoTime) -> bool {
        let confirmed = self.holding.as_ref().and_then(|holding| holding.confirmed);
        confirmed.is_some_and(|sent| now >= sent + self.times.lease)
    }

    /// Starts to give the seat up; the process acts no more.
    pub fn release(&mut self) {
        self.is_leaving = true;
    }

    /// Tells whether the process has nothing left to give up.
    pub fn has_released(&self) -> bool {
        self.holding.is_none() && !self.is_calling
    }

    /// Decides what to do now.
    pub fn decide(
        &mut self,
        candidates: &[ElectorCandidate],
        listed: &FastSet<VmId>,
        now: MonoTime,
    ) -> Vec<SeatAction> {
        self.contact.note_gap(now);
        self.end_grace(now);
        let mut actions = self.ask_electors(now);
        if !self.is_calling
            && let Some(call) = self.next_call(candidates, listed, now)
        {
            self.is_calling = true;
            self.called = now;
            if let SeatAction::Write { record, .. } = &call {
                self.possible_electors.extend(record.electors.iter().cloned());
                self.write = Some(OpenWrite { record: record.clone(), sent: now });
            }
            actions.push(call);
        }
        actions
    }

    /// Takes the end of a read in; `None` is a read without an answer.
    pub fn handle_read(&mut self, result: Option<Option<StoredSeat>>, now: MonoTime) {
        self.is_calling = false;
        let Some(stored) = result else {
            self.contact.note_failure();
            self.must_read = true;
            return;
        };
        self.contact.note_answer(now);
        self.must_read = false;
        if self.stored != stored {
            self.seen = now;
        }
        self.stored = stored;
        self.take_record(now);
    }

    /// Takes the end of a write in.
    pub fn handle_write(&mut self, outcome: WriteOutcome, now: MonoTime) {
        self.is_calling = false;
        let Some(write) = self.write.take() else { return };
        match outcome {
            WriteOutcome::Applied(revision) => self.note_won(write, revision, now),
            WriteOutcome::NotApplied => {
                self.contact.note_answer(now);
                self.must_read = true;
            }
            WriteOutcome::Unknown => {
                self.contact.note_failure();
                self.must_read = true;
            }
        }
    }

    /// Answers a holder's question.
    pub fn answer_query(&mut self, question: &SeatQuery, now: MonoTime) -> SeatReply {
        self.contact.note_gap(now);
        SeatReply {
            seat: self.seat,
            elector: self.own.instance,
            number: question.number,
            has_contact: !self.contact.is_lost(),
            fence: self.highest_fence,
        }
    }

    /// Takes an elector's answer in.
    pub fn handle_reply(&mut self, answer: &SeatReply, now: MonoTime) {
        let Some(asked) = self.questions.get(&answer.number).copied() else { return };
        let counted_from = if self.rules.counts_answers_from_question { asked } else { now };
        if let Some(holding) = &mut self.holding {
            holding.note_answer(answer, counted_from);
        }
    }

    fn next_call(
        &self,
        candidates: &[ElectorCandidate],
        listed: &FastSet<VmId>,
        now: MonoTime,
    ) -> Option<SeatAction> {
        if self.must_read {
            let is_due = now.since(self.called) >= self.times.ask_every;
            return (is_due || !self.contact.is_lost()).then_some(SeatAction::Read);
        }
        let Some(stored) = &self.stored else {
            return (!self.is_leaving).then(|| self.first_write(candidates));
        };
        let expected = stored.revision;
        if self.holding.is_some() {
            let is_due = now.since(self.called) >= self.times.renew_every;
            let record = self.renewed_record(stored, candidates);
            return (is_due || self.is_leaving).then_some(SeatAction::Write { record, expected });
        }
        if !self.is_leaving && self.may_take(stored, listed, now) {
            let record = self.taken_record(stored);
            return Some(SeatAction::Write { record, expected });
        }
        (now.since(self.called) >= self.times.read_every).then_some(SeatAction::Read)
    }

    fn first_write(&self, candidates: &[ElectorCandidate]) -> SeatAction {
        let record = SeatRecord {
            seat: self.seat,
            holder: Some(self.own.clone()),
            fence: FenceNumber::default().next(),
            renewal: SequenceNumber::default(),
            electors: choose_electors(self.seat, &self.own, &[], candidates),
        };
        SeatAction::Write { record, expected: SequenceNumber::default() }
    }

    fn renewed_record(&self, stored: &StoredSeat, candidates: &[ElectorCandidate]) -> SeatRecord {
        let old = &stored.record;
        let electors = choose_electors(self.seat, &self.own, &old.electors, candidates);
        let holder = (!self.is_leaving).then(|| self.own.clone());
        SeatRecord { holder, renewal: old.renewal.next(), electors, ..old.clone() }
    }

    /// The taker keeps the electors, so the old holder asks everyone who could take the seat next.
    fn taken_record(&self, stored: &StoredSeat) -> SeatRecord {
        let old = &stored.record;
        let holder = Some(self.own.clone());
        SeatRecord { holder, fence: old.fence.next(), renewal: old.renewal.next(), ..old.clone() }
    }

    fn may_take(&self, stored: &StoredSeat, listed: &FastSet<VmId>, now: MonoTime) -> bool {
        let record = &stored.record;
        let is_elector = record.has_elector(self.own.instance);
        let are_gone = !record.electors.iter().any(|elector| listed.contains(&elector.vm));
        if self.rules.takes_by_elector_only && !is_elector && !are_gone {
            return false;
        }
        let is_silent = now.since(self.seen) >= self.times.grace;
        let has_contact =
            self.contact.has_lasted(self.times.grace, now) || !self.rules.counts_grace_from_contact;
        has_contact && (is_silent || record.holder.is_none())
    }

    fn note_won(&mut self, write: OpenWrite, revision: SequenceNumber, now: MonoTime) {
        let had_contact = self.contact.has_lasted(self.times.grace, now);
        self.contact.note_answer(now);
        self.highest_fence = self.highest_fence.max(write.record.fence);
        self.possible_electors.clear();
        let is_first = write.record.fence == FenceNumber::default().next();
        match &mut self.holding {
            Some(holding) if write.record.holder.is_some() => holding.confirm(write.sent),
            Some(_) => self.holding = None,
            None => {
                let needs_grace =
                    self.rules.counts_grace_from_contact && !(had_contact || is_first);
                let holding = HeldSeat::new(write.record.fence, Some(write.sent), needs_grace);
                self.holding = Some(holding);
            }
        }
        self.stored = Some(StoredSeat { record: write.record, revision });
        self.seen = now;
    }

    fn take_record(&mut self, now: MonoTime) {
        let Some(stored) = &self.stored else { return };
        let fence = stored.record.fence;
        let is_own = stored.record.is_held_by(self.own.instance);
        self.highest_fence = self.highest_fence.max(fence);
        let is_held = self.holding.as_ref().is_some_and(|holding| holding.fence == fence);
        if !is_own {
            self.holding = None;
            self.possible_electors.clear();
        } else if !is_held {
            self.holding = Some(HeldSeat::new(fence, None, true));
            self.seen = now;
        }
    }

    fn end_grace(&mut self, now: MonoTime) {
        let has_lasted = self.contact.has_lasted(self.times.grace, now);
        if let Some(holding) = &mut self.holding
            && has_lasted
        {
            holding.needs_grace = false;
        }
    }

    fn ask_electors(&mut self, now: MonoTime) -> Vec<SeatAction> {
        let others = self.other_electors();
        let Some(holding) = &mut self.holding else { return Vec::new() };
        let is_due = now.since(holding.asked) >= self.times.ask_every;
        if !holding.wants_answers(&self.times, now) || !is_due {
            return Vec::new();
        }
        holding.asked = now;
        self.question = self.question.next();
        self.questions.retain(|_, asked| now.since(*asked) < self.times.answer_life * 2);
        if self.questions.len() < OPEN_QUESTIONS {
            self.questions.insert(self.question, now);
        }
        let number = self.question;
        let query = SeatQuery { seat: self.seat, sender: self.own.instance, number };
        others.into_iter().map(|elector| SeatAction::Query { elector, query }).collect()
    }

    fn other_electors(&self) -> Vec<SeatElector> {
        let known = self.stored.iter().flat_map(|stored| &stored.record.electors);
        let mut others: Vec<SeatElector> = known.chain(&self.possible_electors).cloned().collect();
        others.retain(|elector| elector.instance != self.own.instance);
        others.sort();
        others.dedup();
        others
    }
}
