//! Requests of one organisation that wait for tokens.

use std::collections::VecDeque;

use gentian_core::peer::{TokenGrant, TokenRequest};
use gentian_core::{FenceNumber, MonoTime, OrganisationId, TimeSpan, TokenCount};

use super::WaitingCall;
use crate::request::{Refusal, RefusalCode};
use crate::share::{TokenAllowance, TokenReservation};

/// Longest wait for tokens while the holder says that there are none.
const TOKEN_PATIENCE: TimeSpan = TimeSpan::from_millis(500);
/// Requests of one organisation that may wait for tokens.
const QUEUE_LIMIT: usize = 1_000;

/// Wallet of an organisation with the requests that wait for it.
#[derive(Debug)]
pub struct TokenQueue {
    wallet: TokenAllowance,
    calls: VecDeque<WaitingCall>,
    waiting: TokenCount,
    empty_since: Option<MonoTime>,
    retry_after: TimeSpan,
}

impl TokenQueue {
    /// Creates an empty queue.
    pub fn new(organisation: OrganisationId) -> Self {
        Self {
            wallet: TokenAllowance::new(organisation),
            calls: VecDeque::new(),
            waiting: TokenCount::ZERO,
            empty_since: None,
            retry_after: TimeSpan::ZERO,
        }
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal if too many requests wait already.
    pub fn push(&mut self, call: WaitingCall, now: MonoTime) -> Result<(), Refusal> {
        self.wallet.record_demand(call.cost, now);
        if self.calls.len() >= QUEUE_LIMIT {
            return Err(self.refusal());
        }
        self.waiting += call.cost;
        self.calls.push_back(call);
        Ok(())
    }

    /// Takes out the requests that have their tokens now.
    pub fn drain_ready(&mut self, now: MonoTime) -> Vec<WaitingCall> {
        let mut ready = Vec::new();
        while let Some(cost) = self.calls.front().map(|call| call.cost) {
            let Some(receipt) = self.wallet.reserve(cost, now) else { break };
            let Some(call) = self.calls.pop_front() else { break };
            self.waiting = self.waiting.saturating_sub(cost);
            ready.push(WaitingCall { receipt: Some(receipt), ..call });
        }
        ready
    }

    /// Takes out the requests that have waited long enough for tokens that are not there.
    pub fn drain_refused(&mut self, now: MonoTime) -> Vec<(WaitingCall, Refusal)> {
        let Some(empty_since) = self.empty_since else { return Vec::new() };
        let retry_after = self.retry_after;
        let out = self.remove_where(|call| {
            let waited = now.since(call.queued.max(empty_since));
            waited >= TOKEN_PATIENCE || retry_after > call.deadline.since(now)
        });
        let refusal = self.refusal();
        out.into_iter().map(|call| (call, refusal.clone())).collect()
    }

    /// Takes out the requests for which `is_out` holds.
    pub fn remove_where(
        &mut self,
        mut is_out: impl FnMut(&WaitingCall) -> bool,
    ) -> Vec<WaitingCall> {
        let (out, kept): (Vec<_>, Vec<_>) = self.calls.drain(..).partition(|call| is_out(call));
        self.calls = kept.into();
        self.waiting = self.calls.iter().fold(TokenCount::ZERO, |sum, call| sum + call.cost);
        out
    }

    /// Takes a grant in; `asked` is when its ask was sent.
    pub fn handle_grant(
        &mut self,
        grant: &TokenGrant,
        fence: FenceNumber,
        asked: MonoTime,
        now: MonoTime,
    ) {
        self.wallet.handle_grant(grant, fence, asked, now);
        self.retry_after = grant.retry_after;
        self.empty_since = grant.is_exhausted().then(|| self.empty_since.unwrap_or(now));
    }

    /// Settles reserved tokens by their real use.
    pub fn settle(&mut self, receipt: TokenReservation, used: TokenCount) {
        self.wallet.settle(receipt, used);
    }

    /// Makes the ask for what waits and what is expected.
    pub fn make_request(&mut self, now: MonoTime) -> Option<TokenRequest> {
        let least = self.calls.front().map_or(TokenCount::ZERO, |call| call.cost);
        self.wallet.make_request(self.waiting, least, now)
    }

    /// Tells whether requests wait.
    pub fn is_waiting(&self) -> bool {
        !self.calls.is_empty()
    }

    fn refusal(&self) -> Refusal {
        let message = "the organisation's tokens are used up; repeat later";
        Refusal::new(RefusalCode::RateLimited, message).with_retry_after(self.retry_after)
    }
}
