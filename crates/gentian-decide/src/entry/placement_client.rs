//! Exchange with the holder of the placement seat.

use gentian_core::peer::{PlacementReply, PlacementRequest, SeatId, TargetDemand, TargetId};
use gentian_core::{FastMap, FenceNumber, InstanceId, MonoTime, SequenceNumber, TimeSpan};

/// Time between two asks while requests wait for a replica, and before the first answer.
const BUSY_SPACING: TimeSpan = TimeSpan::from_millis(25);
/// Time between two asks while targets are in use.
const USE_SPACING: TimeSpan = TimeSpan::from_millis(250);
/// Time between two asks otherwise.
const IDLE_SPACING: TimeSpan = TimeSpan::from_millis(500);

/// Demand at this entry, and the revision of the view that it knows.
#[derive(Debug)]
pub struct PlacementClient {
    entry: InstanceId,
    sequence: SequenceNumber,
    fence: FenceNumber,
    known: SequenceNumber,
    asked: MonoTime,
    running: FastMap<TargetId, u32>,
}

impl PlacementClient {
    /// Creates the desk of the entry with this instance id.
    pub fn new(entry: InstanceId) -> Self {
        Self {
            entry,
            sequence: SequenceNumber::default(),
            fence: FenceNumber::default(),
            known: SequenceNumber::default(),
            asked: MonoTime::ORIGIN,
            running: FastMap::default(),
        }
    }

    /// Notes that a request of `target` runs.
    pub fn record_start(&mut self, target: &TargetId) {
        *self.running.entry(target.clone()).or_default() += 1;
    }

    /// Notes that a request of `target` has ended.
    pub fn record_end(&mut self, target: &TargetId) {
        if let Some(count) = self.running.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(target);
            }
        }
    }

    /// Tells whether an ask could be due, whatever waits.
    pub fn can_send(&self, now: MonoTime) -> bool {
        now.since(self.asked) >= BUSY_SPACING
    }

    /// Makes an ask if one is due; `waiting` lists the targets that requests wait for.
    pub fn make_request(
        &mut self,
        seat: SeatId,
        waiting: &FastMap<TargetId, TargetDemand>,
        now: MonoTime,
    ) -> Option<PlacementRequest> {
        let has_view = self.fence > FenceNumber::default();
        let spacing = match (waiting.is_empty(), self.running.is_empty()) {
            _ if !has_view => BUSY_SPACING,
            (false, _) => BUSY_SPACING,
            (true, false) => USE_SPACING,
            (true, true) => IDLE_SPACING,
        };
        if now.since(self.asked) < spacing {
            return None;
        }
        self.asked = now;
        self.sequence = self.sequence.next();
        Some(PlacementRequest {
            seat,
            entry: self.entry,
            sequence: self.sequence,
            fence: self.fence,
            known_revision: self.known,
            demands: self.demands(waiting),
        })
    }

    /// Tells whether an answer is news, and remembers its revision.
    pub fn accept_reply(&mut self, tell: &PlacementReply) -> bool {
        let is_old_holder = tell.fence < self.fence;
        let is_old_view = tell.fence == self.fence && tell.revision < self.known;
        if is_old_holder || is_old_view || tell.sequence > self.sequence {
            return false;
        }
        self.fence = tell.fence;
        self.known = tell.revision;
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
