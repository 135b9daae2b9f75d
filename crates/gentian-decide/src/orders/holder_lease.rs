//! Who may give orders: the holder of a lease of the key-value service.

use gentian_core::{FenceNumber, InstanceId, LeaseId, MonoTime, SequenceNumber, TimeSpan, VmId};
use serde::{Deserialize, Serialize};

/// Life of the lease, from its last renewal.
const LEASE_LIFE: TimeSpan = TimeSpan::from_millis(2_000);
/// Time between renewals.
const RENEW_EVERY: TimeSpan = TimeSpan::from_millis(400);
/// Time after the sending of a confirmed renewal in which orders may be given.
const ACT_LIMIT: TimeSpan = TimeSpan::from_millis(1_500);
/// Margin for the delay of orders on their way.
const ORDER_MARGIN: TimeSpan = TimeSpan::from_millis(300);
/// Time between two attempts to take the lease.
const TAKE_EVERY: TimeSpan = TimeSpan::from_millis(300);
/// Time after a holder's word that it has stopped in which a successor may go by it.
const HANDOVER_LIFE: TimeSpan = TimeSpan::from_millis(1_500);

/// The stored record of the holder. It outlives the lease, so that a successor knows of the
/// predecessor; `lease` tells whether it still acts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// VM of the holder.
    pub vm: VmId,
    /// Process of the holder.
    pub instance: InstanceId,
}

/// A call of the key-value service that the lease needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseTask {
    /// Makes a lease with this life.
    Grant(TimeSpan),
    /// Writes this process as the holder under the lease, if there is no holder.
    Take(LeaseId),
    /// Writes this process as the holder under the lease, if the holder with this fencing number still
    /// is the holder, or none is.
    TakeOver(LeaseId, FenceNumber),
    /// Renews the lease.
    Renew(LeaseId),
    /// Ends the lease.
    End(LeaseId),
}

/// Result of a [`LeaseTask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// The lease was made.
    Granted(LeaseId),
    /// This process is the holder, with this revision of the record; the record of a predecessor
    /// was found or not.
    Taken(SequenceNumber, bool),
    /// This process is the holder, with this revision of the record, after one that has stopped.
    TakenOver(SequenceNumber),
    /// The lease was renewed.
    Renewed,
    /// Another process is the holder, or the lease has ended.
    Lost,
    /// No answer came.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseState {
    Free,
    Granted(LeaseId, MonoTime),
    Held { lease: LeaseId, fence: FenceNumber, renewed: MonoTime, acts_from: MonoTime },
}

/// Takes, renews and gives up the lease.
#[derive(Debug)]
pub struct HolderLease {
    state: LeaseState,
    is_pending: bool,
    last_task: MonoTime,
    turn_time: TimeSpan,
    retired: FenceNumber,
    /// Holder that has stopped, and when it said so.
    stopped: Option<(FenceNumber, MonoTime)>,
}

impl HolderLease {
    /// Creates the lease of a process that does not hold it; two holders must not act within
    /// `turn_time`.
    pub fn new(turn_time: TimeSpan) -> Self {
        Self {
            state: LeaseState::Free,
            is_pending: false,
            last_task: MonoTime::ORIGIN,
            turn_time,
            retired: FenceNumber::default(),
            stopped: None,
        }
    }

    /// Returns the next call; `is_vacant` tells whether no holder is known.
    pub fn next_task(&mut self, is_vacant: bool, now: MonoTime) -> Option<LeaseTask> {
        if self.is_pending {
            return None;
        }
        self.drop_expired(now);
        let is_recent = |(_, told): &(_, MonoTime)| now.since(*told) < HANDOVER_LIFE;
        let stopped = self.stopped.filter(is_recent).map(|(fence, _)| fence);
        let is_vacant = is_vacant || stopped.is_some();
        let task = match self.state {
            LeaseState::Held { lease, renewed, .. } if now.since(renewed) >= RENEW_EVERY => {
                LeaseTask::Renew(lease)
            }
            LeaseState::Granted(lease, _) => match stopped {
                Some(fence) => LeaseTask::TakeOver(lease, fence),
                None => LeaseTask::Take(lease),
            },
            LeaseState::Free if is_vacant && now.since(self.last_task) >= TAKE_EVERY => {
                LeaseTask::Grant(LEASE_LIFE)
            }
            _ => return None,
        };
        self.is_pending = true;
        self.last_task = now;
        Some(task)
    }

    /// Takes the result of a call that was sent at `sent`; returns whether the process has just
    /// become the holder.
    pub fn handle_reply(&mut self, reply: LeaseReply, sent: MonoTime) -> bool {
        self.is_pending = false;
        match (self.state, reply) {
            (LeaseState::Free, LeaseReply::Granted(lease)) => {
                self.state = LeaseState::Granted(lease, sent);
            }
            (LeaseState::Granted(lease, granted), LeaseReply::Taken(revision, had_holder)) => {
                // The predecessor's last order was given at most `ACT_LIMIT` after its last renewal,
                // and its lease outlived that renewal by `LEASE_LIFE`.
                let lapsed = LEASE_LIFE.saturating_sub(ACT_LIMIT);
                let pause = self.turn_time.saturating_sub(lapsed) + ORDER_MARGIN;
                let acts_from = if had_holder { sent + pause } else { sent };
                let fence = FenceNumber::new(revision.get());
                self.state = LeaseState::Held { lease, fence, renewed: granted, acts_from };
                return true;
            }
            (LeaseState::Granted(lease, granted), LeaseReply::TakenOver(revision)) => {
                let fence = FenceNumber::new(revision.get());
                self.stopped = None;
                self.state = LeaseState::Held { lease, fence, renewed: granted, acts_from: sent };
                return true;
            }
            (LeaseState::Held { lease, fence, acts_from, .. }, LeaseReply::Renewed) => {
                self.state = LeaseState::Held { lease, fence, renewed: sent, acts_from };
            }
            (_, LeaseReply::Lost) => self.state = LeaseState::Free,
            _ => {}
        }
        false
    }

    /// Takes a holder's word that it gives no more orders under `fence`.
    pub fn handle_handover(&mut self, fence: FenceNumber, now: MonoTime) {
        self.stopped = Some((fence, now));
    }

    /// Notes that another process holds the lease under `fence`: what an earlier holder said is void.
    pub fn handle_holder_change(&mut self, fence: FenceNumber) {
        self.stopped.take_if(|(stopped, _)| *stopped < fence);
    }

    /// Gives the lease up for good if it could not be renewed in time, so that another process can
    /// take it over before it has lapsed; returns its fencing number.
    pub fn hand_over(&mut self, now: MonoTime) -> Option<FenceNumber> {
        let LeaseState::Held { fence, renewed, acts_from, .. } = self.state else { return None };
        if is_fresh(renewed, now) || renewed < acts_from || fence <= self.retired {
            return None;
        }
        self.retire(fence);
        Some(fence)
    }

    /// Gives the lease up for good, because an engine has seen a higher fencing number.
    pub fn retire(&mut self, fence: FenceNumber) {
        self.retired = self.retired.max(fence);
        if self.fence() == Some(fence) {
            self.state = LeaseState::Free;
        }
    }

    /// Gives the lease up because the process stops; returns the call that ends it.
    pub fn release(&mut self) -> Option<LeaseTask> {
        let lease = match self.state {
            LeaseState::Free => return None,
            LeaseState::Granted(lease, _) | LeaseState::Held { lease, .. } => lease,
        };
        self.state = LeaseState::Free;
        self.is_pending = true;
        Some(LeaseTask::End(lease))
    }

    /// Tells whether this process is the holder, acting or not.
    pub fn is_held(&self) -> bool {
        matches!(self.state, LeaseState::Held { .. })
    }

    /// Returns the fencing number under which orders may be given now.
    pub fn acting_fence(&self, now: MonoTime) -> Option<FenceNumber> {
        match self.state {
            LeaseState::Held { fence, renewed, acts_from, .. }
                if now >= acts_from && is_fresh(renewed, now) && fence > self.retired =>
            {
                Some(fence)
            }
            _ => None,
        }
    }

    /// Returns the fencing number of the lease, whether orders may be given or not.
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
        if now.since(start) > LEASE_LIFE {
            self.state = LeaseState::Free;
        }
    }
}

/// Tells whether a lease that was renewed at `renewed` still lets its holder give orders.
fn is_fresh(renewed: MonoTime, now: MonoTime) -> bool {
    now.since(renewed) + ORDER_MARGIN < ACT_LIMIT
}
