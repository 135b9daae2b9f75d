//! Requests to the holders of the share seats, and their grants.

use gentian_core::peer::{SeatId, ShareGrant, ShareRequest, SlotRequest, TokenRequest};
use gentian_core::{FastMap, InstanceId, MonoTime, SequenceNumber, TimeSpan};

/// Shortest interval between two requests to the same seat.
const MIN_REQUEST_INTERVAL: TimeSpan = TimeSpan::from_millis(5);
/// Time after which a request without a grant may be followed by another one.
const GRANT_TIMEOUT: TimeSpan = TimeSpan::from_millis(100);
/// Age of a request at which the next one closes it, so that its grant is no longer accepted.
const GRANT_VALIDITY: TimeSpan = TimeSpan::from_millis(1_000);

/// Requests of this entry to one seat.
#[derive(Debug, Default)]
struct SeatRequests {
    sequence: SequenceNumber,
    /// Number of the last request whose grant arrived.
    acked: SequenceNumber,
    open: FastMap<SequenceNumber, MonoTime>,
    last_sent: MonoTime,
}

/// Numbers the requests to the share seats and matches grants with open requests.
#[derive(Debug)]
pub struct ShareClient {
    entry: InstanceId,
    seats: FastMap<SeatId, SeatRequests>,
}

impl ShareClient {
    /// Creates the client of the entry with this instance id.
    pub fn new(entry: InstanceId) -> Self {
        Self { entry, seats: FastMap::default() }
    }

    /// Returns whether a request to `seat` may be sent now.
    pub fn can_send(&self, seat: SeatId, now: MonoTime) -> bool {
        now >= self.due(seat)
    }

    /// Returns the earliest time at which the next request to `seat` may be sent.
    pub fn due(&self, seat: SeatId) -> MonoTime {
        let Some(requests) = self.seats.get(&seat) else { return MonoTime::ORIGIN };
        let interval = if requests.open.is_empty() { MIN_REQUEST_INTERVAL } else { GRANT_TIMEOUT };
        requests.last_sent + interval
    }

    /// Creates the next request to `seat`.
    pub fn make_request(
        &mut self,
        seat: SeatId,
        tokens: Vec<TokenRequest>,
        slots: Vec<SlotRequest>,
        now: MonoTime,
    ) -> ShareRequest {
        let requests = self.seats.entry(seat).or_default();
        requests.sequence = requests.sequence.next();
        requests.last_sent = now;
        requests.open.retain(|_, sent| now.since(*sent) < GRANT_VALIDITY);
        requests.open.insert(requests.sequence, now);
        let (entry, sequence, acked) = (self.entry, requests.sequence, requests.acked);
        ShareRequest { seat, entry, sequence, acked, tokens, slots }
    }

    /// Closes the request that `grant` belongs to, with all earlier ones, and returns when it was
    /// sent; `None` if the grant is late or a duplicate.
    pub fn close_request(&mut self, grant: &ShareGrant) -> Option<MonoTime> {
        let requests = self.seats.get_mut(&grant.seat)?;
        let sent = requests.open.remove(&grant.sequence)?;
        requests.open.retain(|number, _| *number > grant.sequence);
        requests.acked = grant.sequence;
        Some(sent)
    }
}
