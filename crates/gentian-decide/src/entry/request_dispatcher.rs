//! The dispatcher of an entry: from an admitted request to its upstream.

use std::sync::Arc;

use gentian_config::ConfigSet;
use gentian_core::peer::{
    PlacementReply, PlacementRequest, SeatId, ShareGrant, ShareRequest, TargetDemand, TargetId,
};
use gentian_core::{
    FastMap, InstanceId, MonoTime, OrganisationId, RequestId, TimeSpan, TokenCount, UpstreamId,
};

use super::{
    CallDecision, CallOutcome, FairQueue, PlacementClient, ShareClient, TokenQueue, UpstreamPool,
    WaitingCall,
};
use crate::request::{Refusal, RefusalCode, RetryBudget};

/// Requests that may wait for an upstream.
const READY_LIMIT: usize = 4_000;
/// Time after which a request refused for overload may succeed.
const OVERLOAD_WAIT: TimeSpan = TimeSpan::from_secs(1);
/// Longest time between two decisions while requests wait, and otherwise.
const BUSY_WAIT: TimeSpan = TimeSpan::from_millis(10);
const IDLE_WAIT: TimeSpan = TimeSpan::from_millis(100);

/// A request that runs on an upstream.
#[derive(Debug)]
struct RunningCall {
    call: WaitingCall,
    upstream: UpstreamId,
}

/// Decides when each request starts and where.
///
/// A request first gets its organisation's tokens, then waits in fair order for an upstream that
/// has its model loaded and room for one more call.
#[derive(Debug)]
pub struct RequestDispatcher {
    set: Arc<ConfigSet>,
    tokens: FastMap<OrganisationId, TokenQueue>,
    ready: FairQueue<Option<OrganisationId>, WaitingCall>,
    running: FastMap<RequestId, RunningCall>,
    board: UpstreamPool,
    shares: ShareClient,
    placement: PlacementClient,
    budget: RetryBudget,
    refused: Vec<CallDecision>,
}

impl RequestDispatcher {
    /// Creates the dispatcher of the entry with this instance id.
    pub fn new(entry: InstanceId) -> Self {
        Self {
            set: Arc::default(),
            tokens: FastMap::default(),
            ready: FairQueue::new(),
            running: FastMap::default(),
            board: UpstreamPool::new(),
            shares: ShareClient::new(entry),
            placement: PlacementClient::new(entry),
            budget: RetryBudget::new(),
            refused: Vec::new(),
        }
    }

    /// Takes a configuration over.
    pub fn update(&mut self, set: Arc<ConfigSet>) {
        self.board.update(Arc::clone(&set));
        self.set = set;
    }

    /// Takes a request in.
    pub fn admit(&mut self, call: WaitingCall, now: MonoTime) {
        self.budget.record_first_attempt();
        let Some(organisation) = &call.organisation else {
            self.push_ready(call);
            return;
        };
        let id = organisation.id.clone();
        let queue = self.tokens.entry(id.clone()).or_insert_with(|| TokenQueue::new(id));
        let request = call.id;
        if let Err(refusal) = queue.push(call, now) {
            self.refused.push(CallDecision::Refuse { id: request, refusal });
        }
    }

    /// Takes the end of an attempt in; a request that did not run may start again.
    pub fn end_call(&mut self, id: RequestId, end: CallOutcome, now: MonoTime) {
        let Some(RunningCall { mut call, upstream }) = self.running.remove(&id) else { return };
        self.board.end_call(&upstream);
        if let Some(target) = &call.target {
            self.placement.record_end(target);
        }
        match end {
            CallOutcome::Done(used) => self.settle(&call, used),
            CallOutcome::NotSent => {
                self.board.record_unreachable(&upstream, now);
                call.tried.push(upstream);
                self.retry(call, now);
            }
        }
    }

    /// Forgets a request for whose start nobody waits any more. A start that was decided at the same
    /// time was not carried out, so its call ends unused.
    pub fn cancel(&mut self, id: RequestId, now: MonoTime) {
        for queue in self.tokens.values_mut() {
            queue.remove_where(|call| call.id == id);
        }
        for call in self.ready.remove_where(|call| call.id == id) {
            self.settle(&call, TokenCount::ZERO);
        }
        self.end_call(id, CallOutcome::Done(TokenCount::ZERO), now);
    }

    /// Decides which requests start and which are refused now.
    pub fn decide(&mut self, now: MonoTime) -> Vec<CallDecision> {
        let mut decisions = std::mem::take(&mut self.refused);
        self.refuse_expired(now, &mut decisions);
        for call in self.take_paid(now, &mut decisions) {
            self.push_ready(call);
        }
        self.start_ready(now, &mut decisions);
        decisions.append(&mut self.refused);
        decisions
    }

    /// Makes the asks to the share seats that are due.
    pub fn make_share_requests(&mut self, now: MonoTime) -> Vec<ShareRequest> {
        let seats = self.set.fleet.share_seats();
        let make_ask = |seat| {
            let can_send = self.shares.can_send(seat, now);
            can_send.then(|| self.make_share_ask(seat, now)).flatten()
        };
        seats.filter_map(make_ask).collect()
    }

    /// Makes the ask to the placement seat if it is due.
    pub fn make_placement_request(&mut self, now: MonoTime) -> Option<PlacementRequest> {
        if !self.placement.can_send(now) {
            return None;
        }
        let waiting = self.waiting_demand(now);
        self.placement.make_request(self.set.fleet.placement_seat(), &waiting, now)
    }

    /// Takes a grant in; returns whether it still counted.
    pub fn handle_grant(&mut self, grant: &ShareGrant, now: MonoTime) -> bool {
        let Some(asked) = self.shares.close_request(grant) else { return false };
        for item in &grant.tokens {
            if let Some(queue) = self.tokens.get_mut(&item.organisation) {
                queue.handle_grant(item, grant.fence, asked, now);
            }
        }
        for item in &grant.slots {
            self.board.handle_grant(item, grant.slot_ttl, asked, now);
        }
        true
    }

    /// Takes a changed view in; returns whether it was news.
    pub fn handle_placement_reply(&mut self, tell: PlacementReply, now: MonoTime) -> bool {
        if !self.placement.accept_reply(&tell) {
            return false;
        }
        tell.views.into_iter().for_each(|view| self.board.update_view(view, now));
        true
    }

    /// Returns when the next decision is due without any event: soon while requests wait, and when
    /// the next ask may be sent.
    pub fn due(&self, now: MonoTime) -> MonoTime {
        let is_waiting = !self.ready.is_empty() || self.tokens.values().any(TokenQueue::is_waiting);
        if !is_waiting {
            return now + IDLE_WAIT;
        }
        let dues = self.set.fleet.share_seats().map(|seat| self.shares.due(seat));
        let next_ask = dues.filter(|due| *due > now).min();
        next_ask.map_or(now + BUSY_WAIT, |due| due.min(now + BUSY_WAIT))
    }

    fn push_ready(&mut self, call: WaitingCall) {
        if self.ready.len() >= READY_LIMIT {
            self.refuse_overloaded(&call, "too many requests wait at this entry; repeat later");
            return;
        }
        let weight = call.organisation.as_ref().map_or(1, |organisation| organisation.weight);
        let flow = call.organisation.as_ref().map(|organisation| organisation.id.clone());
        self.ready.push(&flow, weight, call.cost.get(), call);
    }

    fn retry(&mut self, call: WaitingCall, now: MonoTime) {
        let attempts = u32::try_from(call.tried.len()).unwrap_or(u32::MAX);
        if now < call.deadline && self.budget.acquire_retry(attempts) {
            self.push_ready(call);
            return;
        }
        self.refuse_overloaded(&call, "no upstream of the route could be reached; repeat later");
    }

    fn refuse_overloaded(&mut self, call: &WaitingCall, message: &str) {
        self.settle(call, TokenCount::ZERO);
        let refusal =
            Refusal::new(RefusalCode::Overloaded, message).with_retry_after(OVERLOAD_WAIT);
        self.refused.push(CallDecision::Refuse { id: call.id, refusal });
    }

    fn refuse_expired(&mut self, now: MonoTime, decisions: &mut Vec<CallDecision>) {
        let is_out = |call: &WaitingCall| now >= call.deadline;
        let mut expired: Vec<WaitingCall> = self.ready.remove_where(is_out);
        for queue in self.tokens.values_mut() {
            expired.extend(queue.remove_where(is_out));
        }
        for call in expired {
            self.settle(&call, TokenCount::ZERO);
            let message = "no upstream was free before the deadline";
            let refusal = Refusal::new(RefusalCode::DeadlineExceeded, message);
            decisions.push(CallDecision::Refuse { id: call.id, refusal });
        }
    }

    fn take_paid(&mut self, now: MonoTime, decisions: &mut Vec<CallDecision>) -> Vec<WaitingCall> {
        let mut paid = Vec::new();
        for queue in self.tokens.values_mut() {
            paid.extend(queue.drain_ready(now));
            for (call, refusal) in queue.drain_refused(now) {
                decisions.push(CallDecision::Refuse { id: call.id, refusal });
            }
        }
        paid
    }

    fn start_ready(&mut self, now: MonoTime, decisions: &mut Vec<CallDecision>) {
        let mut started = Vec::new();
        self.board.clear_wanted();
        for (tag, call) in self.ready.iter() {
            if let Some((upstream, address)) = self.board.start_call(call, now) {
                started.push((tag, upstream, address));
            }
        }
        for (tag, upstream, address) in started {
            let Some(call) = self.ready.serve(tag) else { continue };
            let id = call.id;
            if let Some(target) = &call.target {
                self.placement.record_start(target);
            }
            let reason = if call.tried.is_empty() { "least-loaded" } else { "retry" };
            self.running.insert(id, RunningCall { call, upstream: upstream.clone() });
            decisions.push(CallDecision::Send { id, upstream, address, reason });
        }
    }

    fn settle(&mut self, call: &WaitingCall, used: TokenCount) {
        let organisation = call.organisation.as_ref();
        let queue = organisation.and_then(|spec| self.tokens.get_mut(&spec.id));
        if let (Some(queue), Some(receipt)) = (queue, call.receipt) {
            queue.settle(receipt, used);
        }
    }

    fn make_share_ask(&mut self, seat: SeatId, now: MonoTime) -> Option<ShareRequest> {
        let fleet = &self.set.fleet;
        let queues =
            self.tokens.iter_mut().filter(|(id, _)| fleet.seat_of_organisation(id) == seat);
        let tokens: Vec<_> = queues.filter_map(|(_, queue)| queue.make_request(now)).collect();
        let slots = self.board.make_requests(seat, now);
        if tokens.is_empty() && slots.is_empty() {
            return None;
        }
        Some(self.shares.make_request(seat, tokens, slots, now))
    }

    fn waiting_demand(&self, now: MonoTime) -> FastMap<TargetId, TargetDemand> {
        let mut demands: FastMap<TargetId, TargetDemand> = FastMap::default();
        for (_, call) in self.ready.iter() {
            let Some(target) = &call.target else { continue };
            let slack = call.deadline.since(now);
            let demand = demands.entry(target.clone()).or_insert_with(|| TargetDemand {
                target: target.clone(),
                waiting: 0,
                running: 0,
                slack,
            });
            demand.waiting += 1;
            demand.slack = demand.slack.min(slack);
        }
        demands
    }
}
