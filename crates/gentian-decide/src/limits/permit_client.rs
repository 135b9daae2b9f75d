//! An entry's permits for upstreams that name limits.

use std::collections::VecDeque;

use gentian_core::peer::{PermitReply, PermitRequest, RankedPermits, WantedPermits};
use gentian_core::{
    FastMap, InstanceId, MonoTime, RequestRate, SequenceNumber, TimeSpan, UpstreamId, VmId,
};

use super::PERMIT_TTL;

/// Longest wait for a reply of the hub, after which requests go to other upstreams.
const REPLY_TIMEOUT: TimeSpan = TimeSpan::from_millis(60);
/// Time after a missing reply in which the hub isn't asked again for the same upstream.
const MISSING_REPLY_PAUSE: TimeSpan = TimeSpan::from_millis(150);
/// Missing replies in a row after which this entry keeps to its share for a while, as without a hub:
/// the hub may be of a version that grants no permits.
const MAX_MISSING_REPLIES: u32 = 3;
const SHARE_PERIOD: TimeSpan = TimeSpan::from_secs(2);
/// Shortest time between two requests for the same upstream of which the first was not granted.
const MIN_PAUSE: TimeSpan = TimeSpan::from_millis(20);

/// Whether a request may be sent to an upstream that names a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitState {
    /// There is a permit.
    Granted,
    /// The hub has to be asked, or has not replied yet.
    Unknown,
    /// There is none at present.
    Denied,
}

#[derive(Debug)]
struct OpenRequest {
    sequence: SequenceNumber,
    sent: MonoTime,
    /// Upstream, priority and number of each row.
    wanted: Vec<(UpstreamId, u8, u32)>,
}

/// Permits of this entry, and the requests for them.
#[derive(Debug, Default)]
pub struct PermitClient {
    /// Expiry of each permit.
    permits: FastMap<UpstreamId, VecDeque<MonoTime>>,
    /// By upstream and priority.
    wanted: FastMap<(UpstreamId, u8), WantedPermits>,
    open: Vec<OpenRequest>,
    paused_until: FastMap<(UpstreamId, u8), MonoTime>,
    /// Requests of all entries, as urgent at least, that waited for permits when the hub last
    /// replied.
    backlogs: FastMap<(UpstreamId, u8), u32>,
    sequence: SequenceNumber,
    /// Whether there is a hub.
    has_hub: bool,
    missing_replies: u32,
    /// Until when this entry keeps to its share although there is a hub.
    shares_until: MonoTime,
}

impl PermitClient {
    /// Creates a client without permits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins a round in which requests state anew what they need.
    pub fn begin_round(&mut self, now: MonoTime) {
        self.wanted.clear();
        self.paused_until.retain(|_, until| *until > now);
        self.permits.retain(|_, permits| permits.back().is_some_and(|expiry| *expiry > now));
        let is_missing = |open: &mut OpenRequest| now.since(open.sent) >= REPLY_TIMEOUT;
        for open in self.open.extract_if(.., is_missing) {
            self.missing_replies += 1;
            for (upstream, priority, _) in open.wanted {
                self.paused_until.insert((upstream, priority), now + MISSING_REPLY_PAUSE);
            }
        }
        if self.missing_replies >= MAX_MISSING_REPLIES {
            self.clear();
            self.shares_until = now + SHARE_PERIOD;
        }
    }

    /// Sets whether there is a hub that grants permits; without one, this entry keeps to its share.
    pub fn update_hub(&mut self, has_hub: bool) {
        if self.has_hub && !has_hub {
            self.clear();
        }
        self.has_hub = has_hub;
    }

    /// Returns whether requests need permits. Otherwise this entry keeps to its share.
    pub fn needs_permits(&self, now: MonoTime) -> bool {
        self.has_hub && now >= self.shares_until
    }

    /// Returns whether the hub lets a request of this priority be sent to an upstream now.
    pub fn state(&mut self, upstream: &UpstreamId, priority: u8, now: MonoTime) -> PermitState {
        if let Some(permits) = self.permits.get_mut(upstream) {
            permits.retain(|expiry| *expiry > now);
            if !permits.is_empty() {
                return PermitState::Granted;
            }
        }
        let pause_end = self.paused_until.get(&(upstream.clone(), priority));
        match pause_end.is_some_and(|until| *until > now) {
            true => PermitState::Denied,
            false => PermitState::Unknown,
        }
    }

    /// Notes that a request of this priority waits for a permit.
    pub fn want(
        &mut self,
        upstream: &UpstreamId,
        priority: u8,
        incarnation: u64,
        limit: RequestRate,
    ) {
        let key = (upstream.clone(), priority);
        let wanted = self.wanted.entry(key).or_insert_with(|| WantedPermits {
            upstream: upstream.clone(),
            incarnation,
            limit,
            count: 0,
        });
        wanted.count += 1;
    }

    /// Returns the requests of all entries, of this priority or more urgent, that waited for permits
    /// when the hub last replied.
    pub fn backlog(&self, upstream: &UpstreamId, priority: u8) -> u32 {
        self.backlogs.get(&(upstream.clone(), priority)).copied().unwrap_or(0)
    }

    /// Uses a permit.
    pub fn consume(&mut self, upstream: &UpstreamId) {
        if let Some(permits) = self.permits.get_mut(upstream) {
            permits.pop_front();
        }
    }

    /// Builds a request for what is wanted and not asked for yet.
    pub fn next_request(
        &mut self,
        vm: &VmId,
        instance: InstanceId,
        now: MonoTime,
    ) -> Option<RankedPermits> {
        let mut rows = Vec::new();
        for ((_, priority), permits) in &self.wanted {
            let asked = self.open.iter().flat_map(|open| &open.wanted);
            let asked: u32 = asked
                .filter(|(upstream, other, _)| *upstream == permits.upstream && other == priority)
                .map(|(_, _, count)| count)
                .sum();
            let count = permits.count.saturating_sub(asked);
            if count > 0 {
                rows.push((*priority, WantedPermits { count, ..permits.clone() }));
            }
        }
        if rows.is_empty() {
            return None;
        }
        self.sequence = self.sequence.next();
        self.open.push(OpenRequest {
            sequence: self.sequence,
            sent: now,
            wanted: rows
                .iter()
                .map(|(priority, it)| (it.upstream.clone(), *priority, it.count))
                .collect(),
        });
        let sequence = self.sequence;
        let (priorities, wanted) = rows.into_iter().unzip();
        let request = PermitRequest { vm: vm.clone(), instance, sequence, wanted };
        Some(RankedPermits { request, priorities })
    }

    /// Applies a reply of the hub. A reply that comes twice, or after [`REPLY_TIMEOUT`], is ignored:
    /// its permits stay unused.
    pub fn handle_reply(&mut self, reply: &PermitReply, now: MonoTime) {
        let Some(position) = self.open.iter().position(|open| open.sequence == reply.sequence)
        else {
            return;
        };
        let open = self.open.remove(position);
        self.missing_replies = 0;
        for (grant, (_, priority, asked)) in reply.grants.iter().zip(&open.wanted) {
            let key = (grant.upstream.clone(), *priority);
            match grant.backlog {
                0 => self.backlogs.remove(&key),
                backlog => self.backlogs.insert(key.clone(), backlog),
            };
            let permits = self.permits.entry(grant.upstream.clone()).or_default();
            permits.extend((0..grant.count.min(*asked)).map(|_| open.sent + PERMIT_TTL));
            if *asked > grant.count {
                self.paused_until.insert(key, now + grant.wait.max(MIN_PAUSE));
            }
        }
    }

    fn clear(&mut self) {
        self.permits.clear();
        self.wanted.clear();
        self.open.clear();
        self.paused_until.clear();
        self.backlogs.clear();
        self.missing_replies = 0;
    }

    /// Returns when a request that waits must be looked at again.
    pub fn due(&self) -> Option<MonoTime> {
        self.open.iter().map(|open| open.sent + REPLY_TIMEOUT).min()
    }
}
