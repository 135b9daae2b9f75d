//! The tokens of one organisation at one entry.

use std::collections::VecDeque;

use gentian_core::peer::{TokenGrant, TokenRequest};
use gentian_core::{FenceNumber, MonoTime, OrganisationId, SequenceNumber, TimeSpan, TokenCount};

use super::report_timer::ReportTimer;
use super::request_backoff::RequestBackoff;
use super::{DemandMeter, GrantedTokens};

/// Time for which an entry asks ahead of its demand.
const ASK_AHEAD: TimeSpan = TimeSpan::from_millis(300);
/// Remaining life under which a portion beyond the expected demand is returned.
const RETURN_BEFORE: TimeSpan = TimeSpan::from_millis(100);

/// Time for which returned tokens wait for another ask.
const REPORT_DELAY: TimeSpan = TimeSpan::from_millis(250);

/// Proof of spent tokens, needed to settle them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenReservation {
    amount: TokenCount,
    mark: SequenceNumber,
    fence: FenceNumber,
}

/// Portions of an organisation's tokens at an entry.
#[derive(Debug)]
pub struct TokenAllowance {
    organisation: OrganisationId,
    portions: VecDeque<GrantedTokens>,
    returned: Option<GrantedTokens>,
    debt: TokenCount,
    meter: DemandMeter,
    report: ReportTimer,
    backoff: RequestBackoff,
}

impl TokenAllowance {
    /// Creates an empty wallet.
    pub fn new(organisation: OrganisationId) -> Self {
        Self {
            organisation,
            portions: VecDeque::new(),
            returned: None,
            debt: TokenCount::ZERO,
            meter: DemandMeter::new(),
            report: ReportTimer::default(),
            backoff: RequestBackoff::default(),
        }
    }

    /// Counts the demand of an arriving request.
    pub fn record_demand(&mut self, cost: TokenCount, now: MonoTime) {
        self.meter.add(cost, now);
    }

    /// Returns the tokens that can be spent now.
    pub fn available(&self, now: MonoTime) -> TokenCount {
        let live = self.portions.iter().filter(|portion| portion.expires > now);
        let amount = live.fold(TokenCount::ZERO, |sum, portion| sum + portion.amount);
        amount.saturating_sub(self.debt)
    }

    /// Spends `cost` tokens, if they are there.
    pub fn reserve(&mut self, cost: TokenCount, now: MonoTime) -> Option<TokenReservation> {
        self.portions.retain(|portion| portion.expires > now);
        if self.available(now) < cost {
            return None;
        }
        let mut missing = cost + self.debt;
        self.debt = TokenCount::ZERO;
        let first = self.portions.front();
        let mut mark = first.map_or(SequenceNumber::default(), |portion| portion.mark);
        let mut fence = first.map_or(FenceNumber::default(), |portion| portion.fence);
        for portion in &mut self.portions {
            let taken = portion.amount.min(missing);
            portion.amount = portion.amount.saturating_sub(taken);
            missing = missing.saturating_sub(taken);
            if taken > TokenCount::ZERO {
                (mark, fence) = oldest((mark, fence), (portion.mark, portion.fence));
            }
        }
        self.portions.retain(|portion| portion.amount > TokenCount::ZERO);
        Some(TokenReservation { amount: cost, mark, fence })
    }

    /// Settles spent tokens by their real use; an excess is paid from the next tokens.
    pub fn settle(&mut self, receipt: TokenReservation, used: TokenCount) {
        self.debt += used.saturating_sub(receipt.amount);
        let unused = receipt.amount.saturating_sub(used);
        self.return_tokens(unused, receipt.mark, receipt.fence);
    }

    /// Takes a grant in; `asked` is when its ask was sent.
    pub fn handle_grant(
        &mut self,
        grant: &TokenGrant,
        fence: FenceNumber,
        asked: MonoTime,
        now: MonoTime,
    ) {
        self.backoff.note_grant(grant.is_exhausted(), now);
        if grant.granted > TokenCount::ZERO {
            let expires = asked + grant.ttl;
            let portion =
                GrantedTokens { amount: grant.granted, expires, mark: grant.grant_number, fence };
            self.portions.push_back(portion);
        }
    }

    /// Makes the ask that covers `waiting` tokens and the expected demand; `least` is the cost of
    /// the first waiting request. Returns `None` if nothing is wanted or returned.
    pub fn make_request(
        &mut self,
        waiting: TokenCount,
        least: TokenCount,
        now: MonoTime,
    ) -> Option<TokenRequest> {
        let goal = waiting + self.meter.expected(ASK_AHEAD, now);
        self.return_surplus(goal, now);
        let lasting = self.lasting(now).saturating_sub(self.debt);
        let want = goal.saturating_sub(lasting);
        let is_report_due = self.report.is_due(self.returned.is_some(), REPORT_DELAY, now);
        let is_low = waiting > TokenCount::ZERO || lasting.get() * 2 < goal.get();
        let is_wanted = want > TokenCount::ZERO && is_low && self.backoff.is_over(now);
        if !is_wanted && !is_report_due {
            return None;
        }
        self.report.clear();
        let returned = self.returned.take();
        Some(TokenRequest {
            organisation: self.organisation.clone(),
            wanted: want,
            minimum: least.saturating_sub(self.available(now)),
            unused: returned.map_or(TokenCount::ZERO, |portion| portion.amount),
            oldest_grant: returned.map_or(SequenceNumber::default(), |portion| portion.mark),
            fence: returned.map_or(FenceNumber::default(), |portion| portion.fence),
        })
    }

    fn lasting(&self, now: MonoTime) -> TokenCount {
        let lasting = self.portions.iter().filter(|portion| portion.expires > now + RETURN_BEFORE);
        lasting.fold(TokenCount::ZERO, |sum, portion| sum + portion.amount)
    }

    fn return_surplus(&mut self, goal: TokenCount, now: MonoTime) {
        self.portions.retain(|portion| portion.expires > now);
        let mut surplus = self.available(now).saturating_sub(goal);
        while let Some(portion) = self.portions.front().copied() {
            let is_ending = portion.expires <= now + RETURN_BEFORE;
            if !is_ending || surplus < portion.amount {
                return;
            }
            surplus = surplus.saturating_sub(portion.amount);
            self.portions.pop_front();
            self.return_tokens(portion.amount, portion.mark, portion.fence);
        }
    }

    fn return_tokens(&mut self, amount: TokenCount, mark: SequenceNumber, fence: FenceNumber) {
        if amount == TokenCount::ZERO {
            return;
        }
        let expires = MonoTime::ORIGIN;
        let returned = self.returned.get_or_insert(GrantedTokens {
            amount: TokenCount::ZERO,
            expires,
            mark,
            fence,
        });
        if fence > returned.fence {
            *returned = GrantedTokens { amount, expires, mark, fence };
        } else if fence == returned.fence {
            returned.amount += amount;
            returned.mark = returned.mark.min(mark);
        }
    }
}

/// Returns the mark from which a refund is smallest: of the oldest holder, then the lowest.
fn oldest(
    a: (SequenceNumber, FenceNumber),
    b: (SequenceNumber, FenceNumber),
) -> (SequenceNumber, FenceNumber) {
    if (a.1, a.0) <= (b.1, b.0) { a } else { b }
}
