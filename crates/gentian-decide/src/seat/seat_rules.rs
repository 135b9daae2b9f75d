//! Timing and rules of seat elections.

use gentian_core::TimeSpan;

/// Timing of a seat election. The grace period exceeds the lease and the validity of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeatTimes {
    /// Time for which the holder may act after a renewal, counted from when the renewal was sent.
    pub lease: TimeSpan,
    /// Time between renewals.
    pub renew_interval: TimeSpan,
    /// Time between reads of the record by a process that does not hold the seat.
    pub read_interval: TimeSpan,
    /// Validity of an elector's reply, counted from when the query was sent.
    pub reply_ttl: TimeSpan,
    /// Time between queries to the electors, and between reads after a call that got no response.
    pub query_interval: TimeSpan,
    /// Time of unbroken contact and of an unchanged record after which a process may take the seat.
    pub grace: TimeSpan,
    /// Longest time between two responses of the key-value service within unbroken contact.
    pub max_contact_gap: TimeSpan,
}

impl SeatTimes {
    /// Returns the timing in use.
    pub const fn new() -> Self {
        Self {
            lease: TimeSpan::from_millis(2_000),
            renew_interval: TimeSpan::from_millis(500),
            read_interval: TimeSpan::from_millis(500),
            reply_ttl: TimeSpan::from_millis(1_500),
            query_interval: TimeSpan::from_millis(400),
            grace: TimeSpan::from_millis(2_500),
            max_contact_gap: TimeSpan::from_millis(1_500),
        }
    }
}

impl Default for SeatTimes {
    fn default() -> Self {
        Self::new()
    }
}

/// Rules of seat elections. Tests switch off one at a time to show that each is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeatRules {
    /// Whether a holder may act after its lease has expired while no other elector has contact with
    /// the key-value service.
    pub acts_during_outage: bool,
    /// Whether the grace period also counts from when the process that takes the seat got contact
    /// with the key-value service, not only from the last change of the record.
    pub counts_grace_from_contact: bool,
    /// Whether only electors may take a seat, as long as the VM of one of them exists.
    pub only_electors_take: bool,
    /// Whether the validity of a reply counts from when its query was sent, not from its arrival.
    pub counts_replies_from_query: bool,
}

impl SeatRules {
    /// Returns the rules in use.
    pub const fn new() -> Self {
        Self {
            acts_during_outage: true,
            counts_grace_from_contact: true,
            only_electors_take: true,
            counts_replies_from_query: true,
        }
    }
}

impl Default for SeatRules {
    fn default() -> Self {
        Self::new()
    }
}
