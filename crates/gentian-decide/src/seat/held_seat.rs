//! State of a seat holder that determines whether it may act.

use gentian_core::peer::{SeatElector, SeatReply};
use gentian_core::{FastMap, FenceNumber, InstanceId, MonoTime, TimeSpan};

use super::{SeatRules, SeatTimes};

/// The last reply of an elector.
#[derive(Clone, Copy, Debug)]
struct ElectorReply {
    counted_from: MonoTime,
    allows_acting: bool,
}

/// State of a process that holds a seat.
#[derive(Clone, Debug)]
pub(super) struct HeldSeat {
    pub(super) fence: FenceNumber,
    /// When the last confirmed write was sent. The lease counts from then.
    pub(super) lease_start: Option<MonoTime>,
    /// Whether a grace period must pass before the holder acts at all.
    pub(super) needs_grace: bool,
    replies: FastMap<InstanceId, ElectorReply>,
    pub(super) queried_at: MonoTime,
}

impl HeldSeat {
    pub(super) fn new(
        fence: FenceNumber,
        lease_start: Option<MonoTime>,
        needs_grace: bool,
    ) -> Self {
        let replies = FastMap::default();
        let queried_at = MonoTime::ORIGIN;
        Self { fence, lease_start, needs_grace, replies, queried_at }
    }

    pub(super) fn renew(&mut self, sent_at: MonoTime) {
        self.lease_start = Some(sent_at);
    }

    pub(super) fn record_reply(&mut self, reply: &SeatReply, counted_from: MonoTime) {
        let allows_acting = !reply.has_contact && reply.fence <= self.fence;
        self.replies.insert(reply.elector, ElectorReply { counted_from, allows_acting });
    }

    /// Returns whether the holder may act.
    pub(super) fn may_act(
        &self,
        others: &[SeatElector],
        times: &SeatTimes,
        rules: &SeatRules,
        now: MonoTime,
    ) -> bool {
        if self.needs_grace {
            return false;
        }
        if self.lease_start.is_some_and(|sent_at| now < sent_at + times.lease) {
            return true;
        }
        rules.acts_during_outage
            && self.lease_start.is_some()
            && others.iter().all(|elector| self.is_allowed_by(elector, times, now))
    }

    /// Returns whether the last confirmed write is at least half a lease old, so that the electors
    /// are to be queried.
    pub(super) fn needs_replies(&self, times: &SeatTimes, now: MonoTime) -> bool {
        let half_lease = TimeSpan::from_micros(times.lease.as_micros() / 2);
        self.lease_start.is_none_or(|sent_at| now >= sent_at + half_lease)
    }

    fn is_allowed_by(&self, elector: &SeatElector, times: &SeatTimes, now: MonoTime) -> bool {
        let reply = self.replies.get(&elector.instance);
        reply.is_some_and(|reply| reply.allows_acting && now < reply.counted_from + times.reply_ttl)
    }
}
