//! Lease of the key-value service whose holder may give orders to engines.

use gentian_core::{FenceNumber, InstanceId, LeaseId, MonoTime, StoreRevision, TimeSpan, VmId};
use serde::{Deserialize, Serialize};

/// TTL of the lease, counted from its last renewal.
const LEASE_TTL: TimeSpan = TimeSpan::from_millis(2_000);
/// Interval between renewals.
const RENEW_INTERVAL: TimeSpan = TimeSpan::from_millis(400);
/// Time after the sending of a confirmed renewal by which the orders of the holder should have
/// arrived. The holder gives none in the last [`ORDER_MARGIN`] of it, hence only for 1,200 ms.
const ACTIVE_TIME: TimeSpan = TimeSpan::from_millis(1_500);
/// Margin for the delay of orders in transit: a holder stops giving orders this long before the end
/// of [`ACTIVE_TIME`], and a successor waits this much longer than the takeover delay requires.
const ORDER_MARGIN: TimeSpan = TimeSpan::from_millis(300);
/// Interval between two attempts to acquire the lease.
const ACQUIRE_INTERVAL: TimeSpan = TimeSpan::from_millis(300);
/// TTL of the handover message of a holder that has stopped.
const HANDOVER_TTL: TimeSpan = TimeSpan::from_millis(1_500);

/// Stored record of the lease holder. One copy is attached to the lease and removed when the lease
/// ends; another copy stays, so that a successor learns that it has a predecessor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// VM of the holder.
    pub vm: VmId,
    /// Process of the holder.
    pub instance: InstanceId,
}

/// Call to the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseTask {
    /// Creates a lease with this TTL.
    Grant(TimeSpan),
    /// Writes this process as the holder with the lease, if there is no holder.
    Take(LeaseId),
    /// Writes this process as the holder with the lease, if there is no holder or the holder is
    /// still the one with this fencing number.
    TakeOver(LeaseId, FenceNumber),
    /// Renews the lease.
    Renew(LeaseId),
    /// Revokes the lease.
    End(LeaseId),
}

/// Reply to a [`LeaseTask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// The lease was created.
    Granted(LeaseId),
    /// This process is the holder, with this revision of the record; the flag tells whether the
    /// record of a predecessor was found.
    Taken(StoreRevision, bool),
    /// This process is the holder, with this revision of the record, after a holder that has
    /// stopped.
    TakenOver(StoreRevision),
    /// The lease was renewed.
    Renewed,
    /// Another process is the holder, or the lease has ended.
    Lost,
    /// No reply arrived.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseState {
    Free,
    Granted(LeaseId, MonoTime),
    Held { lease: LeaseId, fence: FenceNumber, renewed: MonoTime, active_from: MonoTime },
}

/// Acquires, renews and releases the lease.
#[derive(Debug)]
pub struct HolderLease {
    state: LeaseState,
    is_pending: bool,
    last_task: MonoTime,
    takeover_delay: TimeSpan,
    retired_fence: FenceNumber,
    /// Whether the lease is known to have had a holder, whatever the stored records say: a service
    /// that was restored from a copy may have lost them.
    has_predecessor: bool,
    /// Fencing number of a holder that has stopped, and when its handover message arrived.
    handover: Option<(FenceNumber, MonoTime)>,
}

impl HolderLease {
    /// Creates the lease of a process that does not hold it. Orders of two different holders are at
    /// least `takeover_delay` apart, unless the earlier holder has handed over.
    pub fn new(takeover_delay: TimeSpan) -> Self {
        Self {
            state: LeaseState::Free,
            is_pending: false,
            last_task: MonoTime::ORIGIN,
            takeover_delay,
            retired_fence: FenceNumber::default(),
            has_predecessor: false,
            handover: None,
        }
    }

    /// Sets whether the lease may have had a holder before this process started.
    pub fn with_predecessor(self, has_predecessor: bool) -> Self {
        Self { has_predecessor, ..self }
    }

    /// Returns the call that is due; `is_vacant` tells whether no holder is known.
    pub fn next_task(&mut self, is_vacant: bool, now: MonoTime) -> Option<LeaseTask> {
        if self.is_pending {
            return None;
        }
        self.drop_expired(now);
        let is_recent = |(_, received): &(_, MonoTime)| now.since(*received) < HANDOVER_TTL;
        let stopped = self.handover.filter(is_recent).map(|(fence, _)| fence);
        let is_vacant = is_vacant || stopped.is_some();
        let task = match self.state {
            LeaseState::Held { lease, renewed, .. } if now.since(renewed) >= RENEW_INTERVAL => {
                LeaseTask::Renew(lease)
            }
            LeaseState::Granted(lease, _) => match stopped {
                Some(fence) => LeaseTask::TakeOver(lease, fence),
                None => LeaseTask::Take(lease),
            },
            LeaseState::Free if is_vacant && now.since(self.last_task) >= ACQUIRE_INTERVAL => {
                LeaseTask::Grant(LEASE_TTL)
            }
            _ => return None,
        };
        self.is_pending = true;
        self.last_task = now;
        Some(task)
    }

    /// Handles the reply to a call that was sent at `sent`; returns whether this process has just
    /// become the holder.
    pub fn handle_reply(&mut self, reply: LeaseReply, sent: MonoTime) -> bool {
        self.is_pending = false;
        match (self.state, reply) {
            (LeaseState::Free, LeaseReply::Granted(lease)) => {
                self.state = LeaseState::Granted(lease, sent);
            }
            (LeaseState::Granted(lease, granted), LeaseReply::Taken(revision, had_holder)) => {
                // The last order of the predecessor arrived at most `ACTIVE_TIME` after its last
                // renewal, and its lease ended `LEASE_TTL` after that renewal.
                let elapsed = LEASE_TTL.saturating_sub(ACTIVE_TIME);
                let delay = self.takeover_delay.saturating_sub(elapsed) + ORDER_MARGIN;
                let has_predecessor = had_holder || self.has_predecessor;
                let active_from = if has_predecessor { sent + delay } else { sent };
                self.has_predecessor = true;
                let fence = revision.fence();
                self.state = LeaseState::Held { lease, fence, renewed: granted, active_from };
                return true;
            }
            (LeaseState::Granted(lease, granted), LeaseReply::TakenOver(revision)) => {
                let fence = revision.fence();
                self.handover = None;
                self.state = LeaseState::Held { lease, fence, renewed: granted, active_from: sent };
                return true;
            }
            (LeaseState::Held { lease, fence, active_from, .. }, LeaseReply::Renewed) => {
                self.state = LeaseState::Held { lease, fence, renewed: sent, active_from };
            }
            (_, LeaseReply::Lost) => self.state = LeaseState::Free,
            _ => {}
        }
        false
    }

    /// Handles the message of a holder that it gives no more orders with `fence`.
    pub fn handle_handover(&mut self, fence: FenceNumber, now: MonoTime) {
        self.handover = Some((fence, now));
    }

    /// Handles the announcement that another process holds the lease with `fence`, which
    /// invalidates the handover message of an earlier holder.
    pub fn handle_holder_change(&mut self, fence: FenceNumber) {
        self.has_predecessor = true;
        self.handover.take_if(|(stopped, _)| *stopped < fence);
    }

    /// Stops using the fencing number of a lease that was not renewed in time, so that another
    /// process can take the lease over before it expires; returns the fencing number. Does nothing
    /// for a lease whose last renewal was sent before this holder could give orders.
    pub fn give_up_if_expiring(&mut self, now: MonoTime) -> Option<FenceNumber> {
        let LeaseState::Held { fence, renewed, active_from, .. } = self.state else { return None };
        if is_fresh(renewed, now) || renewed < active_from || fence <= self.retired_fence {
            return None;
        }
        self.retire(fence);
        Some(fence)
    }

    /// Stops using `fence`, because an engine has seen a higher fencing number or the lease is
    /// handed over; drops the lease if it has this fencing number.
    pub fn retire(&mut self, fence: FenceNumber) {
        self.retired_fence = self.retired_fence.max(fence);
        if self.fence() == Some(fence) {
            self.state = LeaseState::Free;
        }
    }

    /// Drops the lease because the process stops; returns the call that revokes it.
    pub fn release(&mut self) -> Option<LeaseTask> {
        let lease = match self.state {
            LeaseState::Free => return None,
            LeaseState::Granted(lease, _) | LeaseState::Held { lease, .. } => lease,
        };
        self.state = LeaseState::Free;
        self.is_pending = true;
        Some(LeaseTask::End(lease))
    }

    /// Returns whether this process is the holder, whether or not it may give orders now.
    pub fn is_held(&self) -> bool {
        matches!(self.state, LeaseState::Held { .. })
    }

    /// Returns the fencing number with which orders may be given now.
    pub fn acting_fence(&self, now: MonoTime) -> Option<FenceNumber> {
        match self.state {
            LeaseState::Held { fence, renewed, active_from, .. }
                if now >= active_from && is_fresh(renewed, now) && fence > self.retired_fence =>
            {
                Some(fence)
            }
            _ => None,
        }
    }

    /// Returns the fencing number of the lease, whether or not orders may be given now.
    pub fn fence(&self) -> Option<FenceNumber> {
        match self.state {
            LeaseState::Held { fence, .. } => Some(fence),
            _ => None,
        }
    }

    fn drop_expired(&mut self, now: MonoTime) {
        let start = match self.state {
            LeaseState::Free => return,
            LeaseState::Granted(_, start) | LeaseState::Held { renewed: start, .. } => start,
        };
        if now.since(start) > LEASE_TTL {
            self.state = LeaseState::Free;
        }
    }
}

/// Returns whether the holder of a lease that was renewed at `renewed` may still give orders.
fn is_fresh(renewed: MonoTime, now: MonoTime) -> bool {
    now.since(renewed) + ORDER_MARGIN < ACTIVE_TIME
}
