//! Whether the configuration in force is still the newest.

use std::net::SocketAddr;

use gentian_core::peer::{ConfigQuery, ConfigReply, MemberRecord};
use gentian_core::{
    ConfigVersion, DomainId, FastMap, FastSet, InstanceId, MonoTime, SequenceNumber, TimeSpan,
};

/// Age of the last confirmation from which on peers are asked.
const ASK_AFTER: TimeSpan = TimeSpan::from_millis(2_500);
/// Age of the last confirmation from which on the configuration counts as stale.
const STALE_AFTER: TimeSpan = TimeSpan::from_millis(5_000);
/// Time between two questions.
const ASK_EVERY: TimeSpan = TimeSpan::from_millis(500);
/// Time for which an answer counts, from its question.
const ANSWER_LIFE: TimeSpan = TimeSpan::from_millis(2_000);
/// Peers that are asked.
const PEER_COUNT: usize = 5;

/// What is known of the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFreshness {
    /// The service or a peer in contact with it has confirmed it lately.
    Confirmed,
    /// Nobody that was asked has contact, so nothing newer can have been followed by anyone.
    Outage,
    /// Nothing confirms it, and a peer may know a newer one.
    Stale,
}

/// The newest answer of a peer.
#[derive(Clone, Copy, Debug)]
struct PeerWord {
    asked: MonoTime,
    has_contact: bool,
}

/// Confirms the configuration by the service, or by peers while the service cannot be reached.
#[derive(Debug)]
pub struct ConfigWatch {
    own: InstanceId,
    confirmed: MonoTime,
    asked: MonoTime,
    number: SequenceNumber,
    open: FastMap<SequenceNumber, MonoTime>,
    words: FastMap<InstanceId, PeerWord>,
    peers: Vec<MemberRecord>,
}

impl ConfigWatch {
    /// Creates the watch of a process that starts now.
    pub fn new(own: InstanceId, now: MonoTime) -> Self {
        Self {
            own,
            confirmed: now,
            asked: MonoTime::ORIGIN,
            number: SequenceNumber::default(),
            open: FastMap::default(),
            words: FastMap::default(),
            peers: Vec::new(),
        }
    }

    /// Takes a running process over as a peer that may be asked.
    pub fn update_peer(&mut self, member: &MemberRecord) {
        self.peers.retain(|peer| (&peer.vm, peer.role) != (&member.vm, member.role));
        if member.instance != self.own {
            self.peers.push(member.clone());
        }
    }

    /// Notes that the service answered a call sent at `asked`.
    pub fn record_contact(&mut self, asked: MonoTime) {
        self.confirmed = self.confirmed.max(asked);
    }

    /// Tells whether the service has answered lately.
    pub fn has_contact(&self, now: MonoTime) -> bool {
        now.since(self.confirmed) < ASK_AFTER
    }

    /// Makes the questions that are due, with the addresses to which they go.
    pub fn make_queries(&mut self, now: MonoTime) -> Vec<(SocketAddr, ConfigQuery)> {
        if self.has_contact(now) || now.since(self.asked) < ASK_EVERY {
            return Vec::new();
        }
        self.asked = now;
        self.number = self.number.next();
        self.open.retain(|_, asked| now.since(*asked) < ANSWER_LIFE);
        self.open.insert(self.number, now);
        let question = ConfigQuery { sender: self.own, number: self.number };
        self.chosen_peers().into_iter().map(|peer| (peer.address, question)).collect()
    }

    /// Takes an answer in; a peer in contact confirms `version` if it is in force there too.
    pub fn handle_reply(&mut self, answer: &ConfigReply, version: ConfigVersion) {
        let Some(asked) = self.open.get(&answer.number).copied() else { return };
        let word = PeerWord { asked, has_contact: answer.has_contact };
        self.words.insert(answer.peer, word);
        if answer.has_contact && answer.version <= version {
            self.confirmed = self.confirmed.max(asked);
        }
    }

    /// Decides what is known now.
    pub fn freshness(&self, now: MonoTime) -> ConfigFreshness {
        if now.since(self.confirmed) < STALE_AFTER {
            return ConfigFreshness::Confirmed;
        }
        let is_cut_off = |peer: &&MemberRecord| {
            let word = self.words.get(&peer.instance);
            word.is_some_and(|word| !word.has_contact && now.since(word.asked) < ANSWER_LIFE)
        };
        let peers = self.chosen_peers();
        if peers.iter().all(is_cut_off) { ConfigFreshness::Outage } else { ConfigFreshness::Stale }
    }

    /// The peers that are asked: one of each failure domain first.
    fn chosen_peers(&self) -> Vec<&MemberRecord> {
        let mut domains: FastSet<&DomainId> = FastSet::default();
        let (first, rest): (Vec<_>, Vec<_>) =
            self.peers.iter().partition(|peer| domains.insert(&peer.domain));
        first.into_iter().chain(rest).take(PEER_COUNT).collect()
    }
}
