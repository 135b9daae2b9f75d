//! Dispatcher of an entry, which assigns admitted requests to upstreams.

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

/// Maximum number of requests that wait for an upstream.
const READY_QUEUE_LIMIT: usize = 4_000;
/// `Retry-After` time of a request that is refused because of overload.
const OVERLOAD_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);
/// Longest interval between two decisions while requests wait.
const WAITING_DECISION_INTERVAL: TimeSpan = TimeSpan::from_millis(10);
/// Longest interval between two decisions while no request waits.
const IDLE_DECISION_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// Request that runs on an upstream.
#[derive(Debug)]
struct RunningCall {
    call: WaitingCall,
    upstream: UpstreamId,
}

/// Decides when each request starts and where.
///
/// A request first reserves tokens of its organisation. Then it waits in a fair queue for an
/// upstream that has its model loaded and a free slot.
#[derive(Debug)]
pub struct RequestDispatcher {
    set: Arc<ConfigSet>,
    token_queues: FastMap<OrganisationId, TokenQueue>,
    ready: FairQueue<Option<OrganisationId>, WaitingCall>,
    running: FastMap<RequestId, RunningCall>,
    pool: UpstreamPool,
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
            token_queues: FastMap::default(),
            ready: FairQueue::new(),
            running: FastMap::default(),
            pool: UpstreamPool::new(),
            shares: ShareClient::new(entry),
            placement: PlacementClient::new(entry),
            budget: RetryBudget::new(),
            refused: Vec::new(),
        }
    }

    /// Applies a configuration.
    pub fn update(&mut self, set: Arc<ConfigSet>) {
        self.pool.update(Arc::clone(&set));
        self.set = set;
    }

    /// Queues a request that has passed the filter chain.
    pub fn admit(&mut self, call: WaitingCall, now: MonoTime) {
        self.budget.record_first_attempt();
        let Some(organisation) = &call.organisation else {
            self.push_ready(call);
            return;
        };
        let id = organisation.id.clone();
        let queue = self.token_queues.entry(id.clone()).or_insert_with(|| TokenQueue::new(id));
        let request = call.id;
        if let Err(refusal) = queue.push(call, now) {
            self.refused.push(CallDecision::Refuse { id: request, refusal });
        }
    }

    /// Handles the end of an attempt; a request that was not executed may be retried.
    pub fn end_call(&mut self, id: RequestId, outcome: CallOutcome, now: MonoTime) {
        let Some(RunningCall { mut call, upstream }) = self.running.remove(&id) else { return };
        self.pool.end_call(&upstream);
        if let Some(target) = &call.target {
            self.placement.record_end(target);
        }
        match outcome {
            CallOutcome::Done(used) => self.settle(&call, used),
            CallOutcome::NotExecuted => {
                self.pool.record_unreachable(&upstream, now);
                call.tried.push(upstream);
                self.retry(call, now);
            }
        }
    }

    /// Removes a request that was never sent, because its caller no longer waits for its start. If
    /// it was already assigned to an upstream, its slot and its tokens are released.
    pub fn cancel(&mut self, id: RequestId, now: MonoTime) {
        for queue in self.token_queues.values_mut() {
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
        for call in self.drain_token_queues(now, &mut decisions) {
            self.push_ready(call);
        }
        self.start_ready(now, &mut decisions);
        decisions.append(&mut self.refused);
        decisions
    }

    /// Returns the requests to the share seats that are due.
    pub fn make_share_requests(&mut self, now: MonoTime) -> Vec<ShareRequest> {
        let seats = self.set.fleet.share_seats();
        let make_request = |seat| {
            let can_send = self.shares.can_send(seat, now);
            can_send.then(|| self.make_share_request(seat, now)).flatten()
        };
        seats.filter_map(make_request).collect()
    }

    /// Returns the request to the placement seat if one is due.
    pub fn make_placement_request(&mut self, now: MonoTime) -> Option<PlacementRequest> {
        if !self.placement.can_send(now) {
            return None;
        }
        let waiting = self.waiting_demand(now);
        self.placement.make_request(self.set.fleet.placement_seat(), &waiting, now)
    }

    /// Handles a grant; returns whether it was still valid.
    pub fn handle_grant(&mut self, grant: &ShareGrant, now: MonoTime) -> bool {
        let Some(requested_at) = self.shares.close_request(grant) else { return false };
        for item in &grant.tokens {
            if let Some(queue) = self.token_queues.get_mut(&item.organisation) {
                queue.handle_grant(item, grant.fence, requested_at, now);
            }
        }
        for item in &grant.slots {
            self.pool.handle_grant(item, grant.slot_ttl, requested_at, now);
        }
        true
    }

    /// Handles a reply of the placement seat; returns whether it was accepted. An outdated reply is
    /// ignored.
    pub fn handle_placement_reply(&mut self, reply: PlacementReply, now: MonoTime) -> bool {
        if !self.placement.accept_reply(&reply) {
            return false;
        }
        reply.views.into_iter().for_each(|view| self.pool.update_view(view, now));
        true
    }

    /// Returns when the next decision is due if no event arrives: while requests wait, as soon as
    /// another request to a share seat may be sent, but at the latest after
    /// `WAITING_DECISION_INTERVAL`; otherwise after `IDLE_DECISION_INTERVAL`.
    pub fn due(&self, now: MonoTime) -> MonoTime {
        let is_waiting =
            !self.ready.is_empty() || self.token_queues.values().any(TokenQueue::is_waiting);
        if !is_waiting {
            return now + IDLE_DECISION_INTERVAL;
        }
        let due_times = self.set.fleet.share_seats().map(|seat| self.shares.due(seat));
        let next_request = due_times.filter(|due| *due > now).min();
        next_request
            .map_or(now + WAITING_DECISION_INTERVAL, |due| due.min(now + WAITING_DECISION_INTERVAL))
    }

    fn push_ready(&mut self, call: WaitingCall) {
        if self.ready.len() >= READY_QUEUE_LIMIT {
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
            Refusal::new(RefusalCode::Overloaded, message).with_retry_after(OVERLOAD_RETRY_AFTER);
        self.refused.push(CallDecision::Refuse { id: call.id, refusal });
    }

    fn refuse_expired(&mut self, now: MonoTime, decisions: &mut Vec<CallDecision>) {
        let is_expired = |call: &WaitingCall| now >= call.deadline;
        let mut expired: Vec<WaitingCall> = self.ready.remove_where(is_expired);
        for queue in self.token_queues.values_mut() {
            expired.extend(queue.remove_where(is_expired));
        }
        for call in expired {
            self.settle(&call, TokenCount::ZERO);
            let message = "no upstream was free before the deadline";
            let refusal = Refusal::new(RefusalCode::DeadlineExceeded, message);
            decisions.push(CallDecision::Refuse { id: call.id, refusal });
        }
    }

    fn drain_token_queues(
        &mut self,
        now: MonoTime,
        decisions: &mut Vec<CallDecision>,
    ) -> Vec<WaitingCall> {
        let mut reserved = Vec::new();
        for queue in self.token_queues.values_mut() {
            reserved.extend(queue.drain_ready(now));
            for (call, refusal) in queue.drain_refused(now) {
                decisions.push(CallDecision::Refuse { id: call.id, refusal });
            }
        }
        reserved
    }

    fn start_ready(&mut self, now: MonoTime, decisions: &mut Vec<CallDecision>) {
        let mut started = Vec::new();
        self.pool.clear_waiting_calls();
        for (tag, call) in self.ready.iter() {
            if let Some((upstream, address)) = self.pool.start_call(call, now) {
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
        let queue = organisation.and_then(|spec| self.token_queues.get_mut(&spec.id));
        if let (Some(queue), Some(reservation)) = (queue, call.reservation) {
            queue.settle(reservation, used);
        }
    }

    fn make_share_request(&mut self, seat: SeatId, now: MonoTime) -> Option<ShareRequest> {
        let fleet = &self.set.fleet;
        let queues =
            self.token_queues.iter_mut().filter(|(id, _)| fleet.seat_of_organisation(id) == seat);
        let tokens: Vec<_> = queues.filter_map(|(_, queue)| queue.make_request(now)).collect();
        let slots = self.pool.make_requests(seat, now);
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
