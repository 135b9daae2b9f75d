//! Messages between the entries of a serving fleet and its hub.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::TargetId;
use crate::{
    DomainId, FenceNumber, InstanceId, ModelId, OrganisationId, SequenceNumber, ServiceId,
    SlotCount, TimeSpan, UpstreamId, VmId,
};

/// A message between an entry and the hub.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// What an entry uses and needs.
    #[serde(rename = "Digest")]
    Report(EntryReport),
    /// What all entries together use, and what upstreams hold.
    #[serde(rename = "Tally")]
    Summary(FleetSummary),
    /// A new hub.
    #[serde(rename = "Announce")]
    Announcement(HubAnnouncement),
    /// A hub that has stopped.
    Handover(HubHandover),
}

/// A process has become the hub.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HubAnnouncement {
    /// VM of the hub.
    pub vm: VmId,
    /// Fencing number of its lease; the highest one counts.
    pub fence: FenceNumber,
}

/// A hub gives no more orders; another process may take over before its lease has lapsed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HubHandover {
    /// Fencing number of its lease.
    pub fence: FenceNumber,
    /// Time since it last gave an order to an upstream, where that is not long ago.
    #[serde(rename = "ordered")]
    pub recent_orders: Vec<(UpstreamId, TimeSpan)>,
}

/// What an entry uses and needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryReport {
    /// VM of the entry.
    pub vm: VmId,
    /// Process of the entry.
    pub instance: InstanceId,
    /// Position of the digest in the sequence of the entry.
    pub sequence: SequenceNumber,
    /// Hub whose rows the entry knows, and up to which revision.
    #[serde(rename = "known")]
    pub known_revision: (InstanceId, SequenceNumber),
    /// Tokens spent since the start of the process, by organisation.
    pub spent: Vec<(OrganisationId, u64)>,
    /// Work under way, by upstream; `None` if it was told shortly before.
    pub work: Option<Vec<(UpstreamId, UpstreamWork)>>,
    /// Targets that requests use, wait for or have asked for since the digest before.
    pub demands: Vec<ServingDemand>,
}

/// Work of one or more entries at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamWork {
    /// Requests under way.
    pub running: u32,
    /// Prompt tokens of requests whose answer has not begun.
    #[serde(rename = "unread_tokens")]
    pub pending_prefill_tokens: u32,
}

/// Requests of one target at an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServingDemand {
    /// Service of the requests.
    pub service: ServiceId,
    /// What they need loaded.
    pub target: TargetId,
    /// Requests since the start of the process.
    pub arrived: u64,
    /// Requests that wait for an upstream.
    pub waiting: u32,
    /// Time left to the most urgent waiting request.
    pub slack: TimeSpan,
    /// Requests that run, by upstream.
    pub running: Vec<(UpstreamId, u32)>,
}

/// What all entries together use, and what upstreams hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetSummary {
    /// Process of the hub.
    pub hub: InstanceId,
    /// Fencing number under which the hub gives orders; zero without a lease.
    pub fence: FenceNumber,
    /// Digest that this answers.
    pub sequence: SequenceNumber,
    /// Entries that the hub hears, this one included.
    #[serde(rename = "heard")]
    pub reachable_entries: u32,
    /// Tokens that the other entries spent since the hub began to count, by organisation.
    pub spent: Vec<(OrganisationId, u64)>,
    /// Work of the other entries, by upstream; `None` if it was told shortly before.
    pub work: Option<Vec<(UpstreamId, UpstreamWork)>>,
    /// Time since the hub last read the registrations of upstreams.
    pub listing_age: TimeSpan,
    /// Revision of the rows and listings.
    pub revision: SequenceNumber,
    /// Listings that changed since the revision that the entry knows.
    pub listings: Vec<UpstreamListing>,
    /// Rows that changed since the revision that the entry knows.
    #[serde(rename = "rows")]
    pub resident_models: Vec<ResidentModels>,
}

/// Registration of an upstream, as the hub read it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamListing {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Revision of the registration in the key-value service.
    #[serde(rename = "stored")]
    pub revision: SequenceNumber,
    /// Start of the upstream, as its registration says it.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain in which it stands.
    pub domain: DomainId,
    /// Requests that it runs at the same time.
    pub slots: SlotCount,
    /// Whether it takes new work; false also if its registration is gone.
    pub is_ready: bool,
    /// Whether it holds models.
    pub has_engine: bool,
    /// Time for which it still bears little, when the hub first saw it cold.
    #[serde(rename = "cold")]
    pub cold_remaining: TimeSpan,
}

/// What an upstream holds, as far as the hub knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResidentModels {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Start of the upstream that this is about, as its entry says it.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Models and adapters that requests can use.
    pub loaded: Vec<TargetId>,
    /// Model that is being loaded or unloaded.
    #[serde(rename = "changing")]
    pub in_transition: Option<ModelId>,
}
