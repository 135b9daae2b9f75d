//! Checks whether the configuration in force is still the newest one.

use std::net::SocketAddr;

use gentian_core::peer::{ConfigQuery, ConfigReply, MemberRecord};
use gentian_core::{
    ConfigVersion, DomainId, FastMap, FastSet, InstanceId, MonoTime, SequenceNumber, TimeSpan,
};

/// Age of the last confirmation after which peers are queried.
const QUERY_AFTER: TimeSpan = TimeSpan::from_millis(2_500);
/// Age of the last confirmation after which the configuration is stale, unless no queried peer is
/// in contact with the key-value service either.
const STALE_AFTER: TimeSpan = TimeSpan::from_millis(5_000);
/// Interval between two rounds of queries.
const QUERY_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Time for which a reply is valid, counted from the sending of its query.
const REPLY_VALIDITY: TimeSpan = TimeSpan::from_millis(2_000);
/// Peers queried in one round.
const MAX_QUERIED_PEERS: usize = 5;

/// Whether the configuration in force is known to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFreshness {
    /// The key-value service, or a peer in contact with it, has recently confirmed it.
    Confirmed,
    /// All queried peers have replied that they have no contact with the service. Their versions
    /// are not compared, so a peer may have adopted a newer configuration before it lost contact.
    /// This also holds without any peers.
    Outage,
    /// Nothing confirms it, and a peer may have a newer one.
    Stale,
}

/// Newest reply of a peer.
#[derive(Clone, Copy, Debug)]
struct PeerReply {
    query_sent_at: MonoTime,
    has_contact: bool,
}

/// Confirms the configuration through the key-value service, or through peers while the service is
/// unreachable.
#[derive(Debug)]
pub struct ConfigWatch {
    own: InstanceId,
    confirmed_at: MonoTime,
    last_query_at: MonoTime,
    last_number: SequenceNumber,
    open_queries: FastMap<SequenceNumber, MonoTime>,
    replies: FastMap<InstanceId, PeerReply>,
    peers: Vec<MemberRecord>,
}

impl ConfigWatch {
    /// Creates the watch of a process that starts now.
    pub fn new(own: InstanceId, now: MonoTime) -> Self {
        Self {
            own,
            confirmed_at: now,
            last_query_at: MonoTime::ORIGIN,
            last_number: SequenceNumber::default(),
            open_queries: FastMap::default(),
            replies: FastMap::default(),
            peers: Vec::new(),
        }
    }

    /// Adds a running process to the peers that can be queried, or replaces its earlier record.
    pub fn update_peer(&mut self, member: &MemberRecord) {
        self.peers.retain(|peer| (&peer.vm, peer.role) != (&member.vm, member.role));
        if member.instance != self.own {
            self.peers.push(member.clone());
        }
    }

    /// Records that the service responded to a call sent at `sent_at`.
    pub fn record_contact(&mut self, sent_at: MonoTime) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
    }

    /// Returns whether the service, or a peer in contact with it, has recently confirmed the
    /// configuration.
    pub fn has_contact(&self, now: MonoTime) -> bool {
        now.since(self.confirmed_at) < QUERY_AFTER
    }

    /// Returns the queries that are due, each with the address to send it to.
    pub fn make_queries(&mut self, now: MonoTime) -> Vec<(SocketAddr, ConfigQuery)> {
        if self.has_contact(now) || now.since(self.last_query_at) < QUERY_INTERVAL {
            return Vec::new();
        }
        self.last_query_at = now;
        self.last_number = self.last_number.next();
        self.open_queries.retain(|_, sent_at| now.since(*sent_at) < REPLY_VALIDITY);
        self.open_queries.insert(self.last_number, now);
        let query = ConfigQuery { sender: self.own, number: self.last_number };
        self.queried_peers().into_iter().map(|peer| (peer.address, query)).collect()
    }

    /// Handles a reply. A peer in contact with the service confirms `version` unless it has a newer
    /// one.
    pub fn handle_reply(&mut self, reply: &ConfigReply, version: ConfigVersion) {
        let Some(query_sent_at) = self.open_queries.get(&reply.number).copied() else { return };
        let newest = PeerReply { query_sent_at, has_contact: reply.has_contact };
        self.replies.insert(reply.peer, newest);
        if reply.has_contact && reply.version <= version {
            self.confirmed_at = self.confirmed_at.max(query_sent_at);
        }
    }

    /// Returns whether the configuration in force is known to be the newest at `now`.
    pub fn freshness(&self, now: MonoTime) -> ConfigFreshness {
        if now.since(self.confirmed_at) < STALE_AFTER {
            return ConfigFreshness::Confirmed;
        }
        let is_cut_off = |peer: &&MemberRecord| {
            let reply = self.replies.get(&peer.instance);
            reply.is_some_and(|reply| {
                !reply.has_contact && now.since(reply.query_sent_at) < REPLY_VALIDITY
            })
        };
        let peers = self.queried_peers();
        if peers.iter().all(is_cut_off) { ConfigFreshness::Outage } else { ConfigFreshness::Stale }
    }

    /// Returns the peers to query, one of each failure domain first.
    fn queried_peers(&self) -> Vec<&MemberRecord> {
        let mut domains: FastSet<&DomainId> = FastSet::default();
        let (first, rest): (Vec<_>, Vec<_>) =
            self.peers.iter().partition(|peer| domains.insert(&peer.domain));
        first.into_iter().chain(rest).take(MAX_QUERIED_PEERS).collect()
    }
}
