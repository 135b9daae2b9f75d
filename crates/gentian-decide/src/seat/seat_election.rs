//! Participation of one process in the election of the holder of one seat.

use gentian_core::peer::{SeatElector, SeatId, SeatQuery, SeatRecord, SeatReply};
use gentian_core::{FastMap, FastSet, FenceNumber, MonoTime, SequenceNumber, StoreRevision, VmId};

use super::held_seat::HeldSeat;
use super::{
    ElectorCandidate, SeatAction, SeatRules, SeatTimes, ServiceContact, StoredSeat, WriteOutcome,
    choose_electors,
};

/// Largest number of queries whose replies are still accepted. A query beyond it is sent, but its
/// replies are ignored.
const MAX_OPEN_QUERIES: usize = 64;

/// A write whose outcome is not known yet.
#[derive(Clone, Debug)]
struct OpenWrite {
    record: SeatRecord,
    sent_at: MonoTime,
}

/// Decides when a process takes, renews and releases a seat.
///
/// A holder may act until its lease expires, which counts from its last confirmed write. After
/// that, it may act only while every other elector has stated, in reply to a recent query, that it
/// has no contact with the key-value service. To take a seat, a process needs unbroken contact for
/// a grace period. The grace period is longer than the lease and longer than the validity of a
/// reply, so no process takes a seat while its holder may still act.
#[derive(Debug)]
pub struct SeatElection {
    seat: SeatId,
    own: SeatElector,
    times: SeatTimes,
    rules: SeatRules,
    contact: ServiceContact,
    stored: Option<StoredSeat>,
    record_changed_at: MonoTime,
    highest_fence: FenceNumber,
    held: Option<HeldSeat>,
    /// Electors that a write without a response may have put into the record.
    possible_electors: Vec<SeatElector>,
    write: Option<OpenWrite>,
    /// Whether a read or a write is open.
    has_open_call: bool,
    /// When the last read or write was sent.
    called_at: MonoTime,
    must_read: bool,
    is_releasing: bool,
    open_queries: FastMap<SequenceNumber, MonoTime>,
    query_number: SequenceNumber,
}

impl SeatElection {
    /// Creates the election for `seat` in which this process takes part as `own`.
    pub fn new(seat: SeatId, own: SeatElector) -> Self {
        let times = SeatTimes::new();
        Self {
            seat,
            own,
            times,
            rules: SeatRules::new(),
            contact: ServiceContact::new(times.max_contact_gap),
            stored: None,
            record_changed_at: MonoTime::ORIGIN,
            highest_fence: FenceNumber::default(),
            held: None,
            possible_electors: Vec::new(),
            write: None,
            has_open_call: false,
            called_at: MonoTime::ORIGIN,
            must_read: true,
            is_releasing: false,
            open_queries: FastMap::default(),
            query_number: SequenceNumber::default(),
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

    /// Returns the seat record as last seen by this process.
    pub fn stored(&self) -> Option<&StoredSeat> {
        self.stored.as_ref()
    }

    /// Returns the fencing number under which the process may act now, or `None` if it may not.
    pub fn acting_fence(&self, now: MonoTime) -> Option<FenceNumber> {
        let others = self.other_electors();
        let held = self.held.as_ref()?;
        held.may_act(&others, &self.times, &self.rules, now).then_some(held.fence)
    }

    /// Returns the fencing number under which the process holds the seat, whether or not it may act.
    pub fn held_fence(&self) -> Option<FenceNumber> {
        self.held.as_ref().map(|held| held.fence)
    }

    /// Returns whether the lease has expired. The process may then act only while no other elector
    /// has contact with the key-value service.
    pub fn is_past_lease(&self, now: MonoTime) -> bool {
        let lease_start = self.held.as_ref().and_then(|held| held.lease_start);
        lease_start.is_some_and(|sent_at| now >= sent_at + self.times.lease)
    }

    /// Starts to release the seat.
    pub fn release(&mut self) {
        self.is_releasing = true;
    }

    /// Returns whether the process has nothing left to release.
    pub fn has_released(&self) -> bool {
        self.held.is_none() && !self.has_open_call
    }

    /// Returns the actions that are due now. `listed_vms` are the VMs that still exist.
    pub fn decide(
        &mut self,
        candidates: &[ElectorCandidate],
        listed_vms: &FastSet<VmId>,
        now: MonoTime,
    ) -> Vec<SeatAction> {
        self.contact.break_after_gap(now);
        self.end_grace(now);
        let mut actions = self.query_electors(now);
        if !self.has_open_call
            && let Some(call) = self.next_call(candidates, listed_vms, now)
        {
            self.has_open_call = true;
            self.called_at = now;
            if let SeatAction::Write { record, .. } = &call {
                self.possible_electors.extend(record.electors.iter().cloned());
                self.write = Some(OpenWrite { record: record.clone(), sent_at: now });
            }
            actions.push(call);
        }
        actions
    }

    /// Handles the result of a read. `None` is a read without a response, and `Some(None)` a
    /// response that there is no record.
    pub fn handle_read(&mut self, result: Option<Option<StoredSeat>>, now: MonoTime) {
        self.has_open_call = false;
        let Some(stored) = result else {
            self.contact.record_failure();
            self.must_read = true;
            return;
        };
        self.contact.record_response(now);
        self.must_read = false;
        if self.stored != stored {
            self.record_changed_at = now;
        }
        self.stored = stored;
        self.apply_record(now);
    }

    /// Handles the outcome of a write.
    pub fn handle_write(&mut self, outcome: WriteOutcome, now: MonoTime) {
        self.has_open_call = false;
        let Some(write) = self.write.take() else { return };
        match outcome {
            WriteOutcome::Applied(revision) => self.handle_applied(write, revision, now),
            WriteOutcome::NotApplied => {
                self.contact.record_response(now);
                self.must_read = true;
            }
            WriteOutcome::Unknown => {
                self.contact.record_failure();
                self.must_read = true;
            }
        }
    }

    /// Replies to the query of a holder.
    pub fn reply_to_query(&mut self, query: &SeatQuery, now: MonoTime) -> SeatReply {
        self.contact.break_after_gap(now);
        SeatReply {
            seat: self.seat,
            elector: self.own.instance,
            number: query.number,
            has_contact: !self.contact.has_failed(),
            fence: self.highest_fence,
        }
    }

    /// Handles the reply of an elector.
    pub fn handle_reply(&mut self, reply: &SeatReply, now: MonoTime) {
        let Some(sent_at) = self.open_queries.get(&reply.number).copied() else { return };
        let counted_from = if self.rules.counts_replies_from_query { sent_at } else { now };
        if let Some(held) = &mut self.held {
            held.record_reply(reply, counted_from);
        }
    }

    fn next_call(
        &self,
        candidates: &[ElectorCandidate],
        listed_vms: &FastSet<VmId>,
        now: MonoTime,
    ) -> Option<SeatAction> {
        if self.must_read {
            let is_due = now.since(self.called_at) >= self.times.query_interval;
            return (is_due || !self.contact.has_failed()).then_some(SeatAction::Read);
        }
        let Some(stored) = &self.stored else {
            return (!self.is_releasing).then(|| self.first_write(candidates));
        };
        let expected = stored.revision;
        if self.held.is_some() {
            let is_due = now.since(self.called_at) >= self.times.renew_interval;
            let record = self.next_record(stored, candidates);
            return (is_due || self.is_releasing).then_some(SeatAction::Write { record, expected });
        }
        if !self.is_releasing && self.may_take(stored, listed_vms, now) {
            let record = self.takeover_record(stored);
            return Some(SeatAction::Write { record, expected });
        }
        (now.since(self.called_at) >= self.times.read_interval).then_some(SeatAction::Read)
    }

    fn first_write(&self, candidates: &[ElectorCandidate]) -> SeatAction {
        let record = SeatRecord {
            seat: self.seat,
            holder: Some(self.own.clone()),
            fence: FenceNumber::default().next(),
            renewal: SequenceNumber::default(),
            electors: choose_electors(self.seat, &self.own, &[], candidates),
        };
        SeatAction::Write { record, expected: StoreRevision::default() }
    }

    /// Returns the record with which the holder renews or releases the seat.
    fn next_record(&self, stored: &StoredSeat, candidates: &[ElectorCandidate]) -> SeatRecord {
        let old = &stored.record;
        let electors = choose_electors(self.seat, &self.own, &old.electors, candidates);
        let holder = (!self.is_releasing).then(|| self.own.clone());
        SeatRecord { holder, renewal: old.renewal.next(), electors, ..old.clone() }
    }

    /// Returns the record with which this process takes the seat. It keeps the electors: the
    /// previous holder still queries those in its own record, so these include every elector that
    /// could take the seat next.
    fn takeover_record(&self, stored: &StoredSeat) -> SeatRecord {
        let old = &stored.record;
        let holder = Some(self.own.clone());
        SeatRecord { holder, fence: old.fence.next(), renewal: old.renewal.next(), ..old.clone() }
    }

    fn may_take(&self, stored: &StoredSeat, listed_vms: &FastSet<VmId>, now: MonoTime) -> bool {
        let record = &stored.record;
        let is_elector = record.has_elector(self.own.instance);
        let electors_are_gone =
            !record.electors.iter().any(|elector| listed_vms.contains(&elector.vm));
        if self.rules.only_electors_take && !is_elector && !electors_are_gone {
            return false;
        }
        let is_unchanged = now.since(self.record_changed_at) >= self.times.grace;
        let has_contact =
            self.contact.has_lasted(self.times.grace, now) || !self.rules.counts_grace_from_contact;
        has_contact && (is_unchanged || record.holder.is_none())
    }

    fn handle_applied(&mut self, write: OpenWrite, revision: StoreRevision, now: MonoTime) {
        let had_contact = self.contact.has_lasted(self.times.grace, now);
        self.contact.record_response(now);
        self.highest_fence = self.highest_fence.max(write.record.fence);
        self.possible_electors.clear();
        let is_first = write.record.fence == FenceNumber::default().next();
        match &mut self.held {
            Some(held) if write.record.holder.is_some() => held.renew(write.sent_at),
            Some(_) => self.held = None,
            None => {
                let needs_grace =
                    self.rules.counts_grace_from_contact && !(had_contact || is_first);
                let held = HeldSeat::new(write.record.fence, Some(write.sent_at), needs_grace);
                self.held = Some(held);
            }
        }
        self.stored = Some(StoredSeat { record: write.record, revision });
        self.record_changed_at = now;
    }

    fn apply_record(&mut self, now: MonoTime) {
        let Some(stored) = &self.stored else { return };
        let fence = stored.record.fence;
        let is_own = stored.record.is_held_by(self.own.instance);
        self.highest_fence = self.highest_fence.max(fence);
        let is_held = self.held.as_ref().is_some_and(|held| held.fence == fence);
        if !is_own {
            self.held = None;
            self.possible_electors.clear();
        } else if !is_held {
            self.held = Some(HeldSeat::new(fence, None, true));
            self.record_changed_at = now;
        }
    }

    fn end_grace(&mut self, now: MonoTime) {
        let has_lasted = self.contact.has_lasted(self.times.grace, now);
        if let Some(held) = &mut self.held
            && has_lasted
        {
            held.needs_grace = false;
        }
    }

    fn query_electors(&mut self, now: MonoTime) -> Vec<SeatAction> {
        let others = self.other_electors();
        let Some(held) = &mut self.held else { return Vec::new() };
        let is_due = now.since(held.queried_at) >= self.times.query_interval;
        if !held.needs_replies(&self.times, now) || !is_due {
            return Vec::new();
        }
        held.queried_at = now;
        self.query_number = self.query_number.next();
        self.open_queries.retain(|_, sent_at| now.since(*sent_at) < self.times.reply_ttl * 2);
        if self.open_queries.len() < MAX_OPEN_QUERIES {
            self.open_queries.insert(self.query_number, now);
        }
        let number = self.query_number;
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
