//! Exchange of asks and grants with the holders of the share seats.

use gentian_core::peer::{SeatId, ShareGrant, ShareRequest, SlotRequest, TokenRequest};
use gentian_core::{FastMap, InstanceId, MonoTime, SequenceNumber, TimeSpan};

/// Time between two asks to the same seat.
const ASK_SPACING: TimeSpan = TimeSpan::from_millis(5);
/// Time after which an ask without an answer is followed by another.
const ANSWER_WAIT: TimeSpan = TimeSpan::from_millis(100);
/// Time after which an answer no longer counts.
const ANSWER_LIMIT: TimeSpan = TimeSpan::from_millis(1_000);

/// Asks of one entry to one seat.
#[derive(Debug, Default)]
struct SeatLine {
    sequence: SequenceNumber,
    acked: SequenceNumber,
    open: FastMap<SequenceNumber, MonoTime>,
    asked: MonoTime,
}

/// Numbers asks and recognises the answers that still count.
#[derive(Debug)]
pub struct ShareClient {
    entry: InstanceId,
    lines: FastMap<SeatId, SeatLine>,
}

impl ShareClient {
    /// Creates the desk of the entry with this instance id.
    pub fn new(entry: InstanceId) -> Self {
        Self { entry, lines: FastMap::default() }
    }

    /// Tells whether an ask to `seat` may be sent now.
    pub fn can_send(&self, seat: SeatId, now: MonoTime) -> bool {
        now >= self.due(seat)
    }

    /// Returns from when on an ask to `seat` may be sent.
    pub fn due(&self, seat: SeatId) -> MonoTime {
        let Some(line) = self.lines.get(&seat) else { return MonoTime::ORIGIN };
        let spacing = if line.open.is_empty() { ASK_SPACING } else { ANSWER_WAIT };
        line.asked + spacing
    }

    /// Makes the ask to `seat`.
    pub fn make_request(
        &mut self,
        seat: SeatId,
        tokens: Vec<TokenRequest>,
        slots: Vec<SlotRequest>,
        now: MonoTime,
    ) -> ShareRequest {
        let line = self.lines.entry(seat).or_default();
        line.sequence = line.sequence.next();
        line.asked = now;
        line.open.retain(|_, asked| now.since(*asked) < ANSWER_LIMIT);
        line.open.insert(line.sequence, now);
        let (entry, sequence, acked) = (self.entry, line.sequence, line.acked);
        ShareRequest { seat, entry, sequence, acked, tokens, slots }
    }

    /// Closes the ask that a grant answers and returns when it was sent; `None` if the grant is
    /// late or doubled.
    pub fn close_request(&mut self, grant: &ShareGrant) -> Option<MonoTime> {
        let line = self.lines.get_mut(&grant.seat)?;
        let asked = line.open.remove(&grant.sequence)?;
        line.open.retain(|number, _| *number > grant.sequence);
        line.acked = grant.sequence;
        Some(asked)
    }
}
