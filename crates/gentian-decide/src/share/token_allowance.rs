//! Tokens of one organisation that were granted to one entry.

use std::collections::VecDeque;

use gentian_core::peer::{TokenGrant, TokenRequest};
use gentian_core::{FenceNumber, MonoTime, OrganisationId, SequenceNumber, TimeSpan, TokenCount};

use super::report_timer::ReportTimer;
use super::request_backoff::RequestBackoff;
use super::{DemandMeter, GrantedTokens};

/// An entry requests tokens for the demand that it expects within this time.
const REQUEST_AHEAD_TIME: TimeSpan = TimeSpan::from_millis(300);
/// Remaining validity below which tokens beyond the expected demand are returned.
const RETURN_BEFORE_EXPIRY: TimeSpan = TimeSpan::from_millis(100);

/// Longest delay of a return of tokens, so that it can be part of another request.
const RETURN_DELAY: TimeSpan = TimeSpan::from_millis(250);

/// Tokens reserved for a request, to be settled by its real use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenReservation {
    amount: TokenCount,
    grant_number: SequenceNumber,
    fence: FenceNumber,
}

/// Tokens of an organisation that an entry may spend, in the order of their grants.
#[derive(Debug)]
pub struct TokenAllowance {
    organisation: OrganisationId,
    granted: VecDeque<GrantedTokens>,
    /// Unused tokens to return, with the number and the fencing number of their oldest grant.
    /// `expires_at` is not used.
    pending_return: Option<GrantedTokens>,
    /// Tokens used beyond reservations.
    debt: TokenCount,
    meter: DemandMeter,
    return_timer: ReportTimer,
    backoff: RequestBackoff,
}

impl TokenAllowance {
    /// Creates an empty allowance.
    pub fn new(organisation: OrganisationId) -> Self {
        Self {
            organisation,
            granted: VecDeque::new(),
            pending_return: None,
            debt: TokenCount::ZERO,
            meter: DemandMeter::new(),
            return_timer: ReportTimer::default(),
            backoff: RequestBackoff::default(),
        }
    }

    /// Counts the demand of an arriving request.
    pub fn record_demand(&mut self, cost: TokenCount, now: MonoTime) {
        self.meter.add(cost, now);
    }

    /// Returns the tokens that can be spent now.
    pub fn available(&self, now: MonoTime) -> TokenCount {
        let live = self.granted.iter().filter(|tokens| tokens.expires_at > now);
        let amount = live.fold(TokenCount::ZERO, |sum, tokens| sum + tokens.amount);
        amount.saturating_sub(self.debt)
    }

    /// Reserves `cost` tokens if they are available.
    pub fn reserve(&mut self, cost: TokenCount, now: MonoTime) -> Option<TokenReservation> {
        self.granted.retain(|tokens| tokens.expires_at > now);
        if self.available(now) < cost {
            return None;
        }
        let mut missing = cost + self.debt;
        self.debt = TokenCount::ZERO;
        let first = self.granted.front();
        let mut grant_number =
            first.map_or(SequenceNumber::default(), |tokens| tokens.grant_number);
        let mut fence = first.map_or(FenceNumber::default(), |tokens| tokens.fence);
        for tokens in &mut self.granted {
            let taken = tokens.amount.min(missing);
            tokens.amount = tokens.amount.saturating_sub(taken);
            missing = missing.saturating_sub(taken);
            if taken > TokenCount::ZERO {
                (grant_number, fence) =
                    earlier((grant_number, fence), (tokens.grant_number, tokens.fence));
            }
        }
        self.granted.retain(|tokens| tokens.amount > TokenCount::ZERO);
        Some(TokenReservation { amount: cost, grant_number, fence })
    }

    /// Settles reserved tokens by their real use. Use beyond the reservation becomes a debt that is
    /// paid from the next tokens.
    pub fn settle(&mut self, reservation: TokenReservation, used: TokenCount) {
        self.debt += used.saturating_sub(reservation.amount);
        let unused = reservation.amount.saturating_sub(used);
        self.return_tokens(unused, reservation.grant_number, reservation.fence);
    }

    /// Applies a grant whose request was sent at `sent_at`.
    pub fn handle_grant(
        &mut self,
        grant: &TokenGrant,
        fence: FenceNumber,
        sent_at: MonoTime,
        now: MonoTime,
    ) {
        self.backoff.record_grant(grant.is_exhausted(), now);
        if grant.granted > TokenCount::ZERO {
            let expires_at = sent_at + grant.ttl;
            let tokens = GrantedTokens {
                amount: grant.granted,
                expires_at,
                grant_number: grant.grant_number,
                fence,
            };
            self.granted.push_back(tokens);
        }
    }

    /// Makes a request that covers `waiting` tokens and the expected demand. `minimum` is the cost of
    /// the first waiting request. Returns `None` while neither a request for tokens nor a return
    /// is due.
    pub fn make_request(
        &mut self,
        waiting: TokenCount,
        minimum: TokenCount,
        now: MonoTime,
    ) -> Option<TokenRequest> {
        let goal = waiting + self.meter.expected(REQUEST_AHEAD_TIME, now);
        self.return_surplus(goal, now);
        let not_expiring = self.not_expiring(now).saturating_sub(self.debt);
        let shortfall = goal.saturating_sub(not_expiring);
        let is_return_due =
            self.return_timer.is_due(self.pending_return.is_some(), RETURN_DELAY, now);
        let is_low = waiting > TokenCount::ZERO || not_expiring.get() * 2 < goal.get();
        let is_request_due =
            shortfall > TokenCount::ZERO && is_low && self.backoff.has_elapsed(now);
        if !is_request_due && !is_return_due {
            return None;
        }
        self.return_timer.clear();
        let pending_return = self.pending_return.take();
        Some(TokenRequest {
            organisation: self.organisation.clone(),
            wanted: shortfall,
            minimum: minimum.saturating_sub(self.available(now)),
            unused: pending_return.map_or(TokenCount::ZERO, |tokens| tokens.amount),
            oldest_grant: pending_return
                .map_or(SequenceNumber::default(), |tokens| tokens.grant_number),
            fence: pending_return.map_or(FenceNumber::default(), |tokens| tokens.fence),
        })
    }

    /// Returns the tokens that stay valid for longer than [`RETURN_BEFORE_EXPIRY`].
    fn not_expiring(&self, now: MonoTime) -> TokenCount {
        let not_expiring =
            self.granted.iter().filter(|tokens| tokens.expires_at > now + RETURN_BEFORE_EXPIRY);
        not_expiring.fold(TokenCount::ZERO, |sum, tokens| sum + tokens.amount)
    }

    fn return_surplus(&mut self, goal: TokenCount, now: MonoTime) {
        self.granted.retain(|tokens| tokens.expires_at > now);
        let mut surplus = self.available(now).saturating_sub(goal);
        while let Some(tokens) = self.granted.front().copied() {
            let is_expiring = tokens.expires_at <= now + RETURN_BEFORE_EXPIRY;
            if !is_expiring || surplus < tokens.amount {
                return;
            }
            surplus = surplus.saturating_sub(tokens.amount);
            self.granted.pop_front();
            self.return_tokens(tokens.amount, tokens.grant_number, tokens.fence);
        }
    }

    fn return_tokens(
        &mut self,
        amount: TokenCount,
        grant_number: SequenceNumber,
        fence: FenceNumber,
    ) {
        if amount == TokenCount::ZERO {
            return;
        }
        let expires_at = MonoTime::ORIGIN;
        let pending_return = self.pending_return.get_or_insert(GrantedTokens {
            amount: TokenCount::ZERO,
            expires_at,
            grant_number,
            fence,
        });
        if fence > pending_return.fence {
            *pending_return = GrantedTokens { amount, expires_at, grant_number, fence };
        } else if fence == pending_return.fence {
            pending_return.amount += amount;
            pending_return.grant_number = pending_return.grant_number.min(grant_number);
        }
    }
}

/// Returns the earlier of two grants: that of the earlier holder or, with the same holder, that with
/// the lower number. Its refund is never larger than that of the later grant, since the bucket limits
/// a refund by its highest level since the grant.
fn earlier(
    a: (SequenceNumber, FenceNumber),
    b: (SequenceNumber, FenceNumber),
) -> (SequenceNumber, FenceNumber) {
    if (a.1, a.0) <= (b.1, b.0) { a } else { b }
}
