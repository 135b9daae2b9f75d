//! Requests of one organisation that wait for tokens.

use std::collections::VecDeque;

use gentian_core::peer::{TokenGrant, TokenRequest};
use gentian_core::{FenceNumber, MonoTime, OrganisationId, TimeSpan, TokenCount};

use super::WaitingCall;
use crate::request::{Refusal, RefusalCode};
use crate::share::{TokenAllowance, TokenReservation};

/// Longest wait for tokens while the seat holder reports that the organisation has none left.
const EXHAUSTED_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
/// Maximum number of requests of one organisation that wait for tokens.
const QUEUE_LIMIT: usize = 1_000;

/// Token allowance of an organisation, with the requests that wait for tokens.
#[derive(Debug)]
pub struct TokenQueue {
    allowance: TokenAllowance,
    calls: VecDeque<WaitingCall>,
    waiting_cost: TokenCount,
    exhausted_since: Option<MonoTime>,
    retry_after: TimeSpan,
}

impl TokenQueue {
    /// Creates an empty queue.
    pub fn new(organisation: OrganisationId) -> Self {
        Self {
            allowance: TokenAllowance::new(organisation),
            calls: VecDeque::new(),
            waiting_cost: TokenCount::ZERO,
            exhausted_since: None,
            retry_after: TimeSpan::ZERO,
        }
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the queue is full.
    pub fn push(&mut self, call: WaitingCall, now: MonoTime) -> Result<(), Refusal> {
        self.allowance.record_demand(call.cost, now);
        if self.calls.len() >= QUEUE_LIMIT {
            return Err(self.refusal());
        }
        self.waiting_cost += call.cost;
        self.calls.push_back(call);
        Ok(())
    }

    /// Removes and returns the requests at the head of the queue for which tokens could be
    /// reserved.
    pub fn drain_ready(&mut self, now: MonoTime) -> Vec<WaitingCall> {
        let mut ready = Vec::new();
        while let Some(cost) = self.calls.front().map(|call| call.cost) {
            let Some(reservation) = self.allowance.reserve(cost, now) else { break };
            let Some(call) = self.calls.pop_front() else { break };
            self.waiting_cost = self.waiting_cost.saturating_sub(cost);
            ready.push(WaitingCall { reservation: Some(reservation), ..call });
        }
        ready
    }

    /// Removes and returns, while the tokens are used up, the requests that have waited for
    /// `EXHAUSTED_TIMEOUT` or whose deadline passes before new tokens are expected.
    pub fn drain_refused(&mut self, now: MonoTime) -> Vec<(WaitingCall, Refusal)> {
        let Some(exhausted_since) = self.exhausted_since else { return Vec::new() };
        let retry_after = self.retry_after;
        let refused = self.remove_where(|call| {
            let waited = now.since(call.queued_at.max(exhausted_since));
            waited >= EXHAUSTED_TIMEOUT || retry_after > call.deadline.since(now)
        });
        let refusal = self.refusal();
        refused.into_iter().map(|call| (call, refusal.clone())).collect()
    }

    /// Removes and returns the requests for which `should_remove` holds.
    pub fn remove_where(
        &mut self,
        mut should_remove: impl FnMut(&WaitingCall) -> bool,
    ) -> Vec<WaitingCall> {
        let (removed, kept): (Vec<_>, Vec<_>) =
            self.calls.drain(..).partition(|call| should_remove(call));
        self.calls = kept.into();
        self.waiting_cost = self.calls.iter().fold(TokenCount::ZERO, |sum, call| sum + call.cost);
        removed
    }

    /// Handles a grant whose request was sent at `requested_at`.
    pub fn handle_grant(
        &mut self,
        grant: &TokenGrant,
        fence: FenceNumber,
        requested_at: MonoTime,
        now: MonoTime,
    ) {
        self.allowance.handle_grant(grant, fence, requested_at, now);
        self.retry_after = grant.retry_after;
        self.exhausted_since = grant.is_exhausted().then(|| self.exhausted_since.unwrap_or(now));
    }

    /// Replaces the reservation of a request by the tokens that it used.
    pub fn settle(&mut self, reservation: TokenReservation, used: TokenCount) {
        self.allowance.settle(reservation, used);
    }

    /// Returns a request for the tokens of queued and expected requests, if one is due.
    pub fn make_request(&mut self, now: MonoTime) -> Option<TokenRequest> {
        let minimum = self.calls.front().map_or(TokenCount::ZERO, |call| call.cost);
        self.allowance.make_request(self.waiting_cost, minimum, now)
    }

    /// Returns whether requests wait for tokens.
    pub fn is_waiting(&self) -> bool {
        !self.calls.is_empty()
    }

    fn refusal(&self) -> Refusal {
        let message = "the organisation's tokens are used up; repeat later";
        Refusal::new(RefusalCode::RateLimited, message).with_retry_after(self.retry_after)
    }
}
