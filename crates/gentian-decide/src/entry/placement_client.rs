//! Requests to the holder of the placement seat, and its replies.

use gentian_core::peer::{PlacementReply, PlacementRequest, SeatId, TargetDemand, TargetId};
use gentian_core::{FastMap, FenceNumber, InstanceId, MonoTime, SequenceNumber, TimeSpan};

/// Interval between placement requests while callers' requests wait for a replica, and before the
/// first reply.
const WAITING_INTERVAL: TimeSpan = TimeSpan::from_millis(25);
/// Interval between placement requests while requests run and none waits.
const ACTIVE_INTERVAL: TimeSpan = TimeSpan::from_millis(250);
/// Interval between placement requests while no request waits or runs.
const IDLE_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

/// Reports the demand at this entry to the placement seat and tracks the revision of the views that
/// the entry has.
#[derive(Debug)]
pub struct PlacementClient {
    entry: InstanceId,
    sequence: SequenceNumber,
    fence: FenceNumber,
    known_revision: SequenceNumber,
    last_sent: MonoTime,
    running: FastMap<TargetId, u32>,
}

impl PlacementClient {
    /// Creates the client of the entry with this instance id.
    pub fn new(entry: InstanceId) -> Self {
        Self {
            entry,
            sequence: SequenceNumber::default(),
            fence: FenceNumber::default(),
            known_revision: SequenceNumber::default(),
            last_sent: MonoTime::ORIGIN,
            running: FastMap::default(),
        }
    }

    /// Records that a request for `target` has started.
    pub fn record_start(&mut self, target: &TargetId) {
        *self.running.entry(target.clone()).or_default() += 1;
    }

    /// Records that a request for `target` has ended.
    pub fn record_end(&mut self, target: &TargetId) {
        if let Some(count) = self.running.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(target);
            }
        }
    }

    /// Returns whether the shortest interval has passed. No request is due earlier, so the caller
    /// can skip collecting the waiting demand.
    pub fn can_send(&self, now: MonoTime) -> bool {
        now.since(self.last_sent) >= WAITING_INTERVAL
    }

    /// Returns a placement request if one is due; `waiting` has the demand of queued requests by
    /// target.
    pub fn make_request(
        &mut self,
        seat: SeatId,
        waiting: &FastMap<TargetId, TargetDemand>,
        now: MonoTime,
    ) -> Option<PlacementRequest> {
        let has_view = self.fence > FenceNumber::default();
        let interval = match (waiting.is_empty(), self.running.is_empty()) {
            _ if !has_view => WAITING_INTERVAL,
            (false, _) => WAITING_INTERVAL,
            (true, false) => ACTIVE_INTERVAL,
            (true, true) => IDLE_INTERVAL,
        };
        if now.since(self.last_sent) < interval {
            return None;
        }
        self.last_sent = now;
        self.sequence = self.sequence.next();
        Some(PlacementRequest {
            seat,
            entry: self.entry,
            sequence: self.sequence,
            fence: self.fence,
            known_revision: self.known_revision,
            demands: self.demands(waiting),
        })
    }

    /// Returns whether a reply is at least as new as what the entry has and belongs to a request of
    /// this client, and records its revision if so.
    pub fn accept_reply(&mut self, reply: &PlacementReply) -> bool {
        let is_old_holder = reply.fence < self.fence;
        let is_old_view = reply.fence == self.fence && reply.revision < self.known_revision;
        if is_old_holder || is_old_view || reply.sequence > self.sequence {
            return false;
        }
        self.fence = reply.fence;
        self.known_revision = reply.revision;
        true
    }

    fn demands(&self, waiting: &FastMap<TargetId, TargetDemand>) -> Vec<TargetDemand> {
        let running = self.running.iter().filter(|(target, _)| !waiting.contains_key(*target));
        let running = running.map(|(target, running)| TargetDemand {
            target: target.clone(),
            waiting: 0,
            running: *running,
            slack: TimeSpan::ZERO,
        });
        let waiting = waiting.values().map(|demand| TargetDemand {
            running: self.running.get(&demand.target).copied().unwrap_or(0),
            ..demand.clone()
        });
        waiting.chain(running).collect()
    }
}
