//! Messages between the entries of a serving fleet and its hub.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{
    ClaimNotice, CrashReport, FleetUse, LimitNotice, OperatorNotice, OriginNotice, OriginQuery,
    OriginReply, PermitReply, PermitRequest, QuarantineNotice, RankedPermits, ServedNotice,
    SuspectQuery, SuspectReport, TargetId, TrialNotice, UsageCopy, UsageMessage, UsageReply,
    UseHistory, UseNotice, UseReport, VersionQuery, VersionReply,
};
use crate::{
    DomainId, FenceNumber, InstanceId, ModelId, OrganisationId, SequenceNumber, ServiceId,
    SlotCount, StoreRevision, TimeSpan, UpstreamId, VmId,
};

/// A message between an entry and the hub.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Usage and demand of an entry.
    #[serde(rename = "Digest")]
    Report(EntryReport),
    /// Usage by the other entries, and the models and adapters that upstreams have loaded.
    #[serde(rename = "Tally")]
    Summary(FleetSummary),
    /// Announces that a process has become the hub.
    #[serde(rename = "Announce")]
    Announcement(HubAnnouncement),
    /// States that a hub sends no more orders.
    Handover(HubHandover),
    /// An upstream ended while an entry of an earlier version had a request there that may be the
    /// cause.
    Crash(CrashReport),
    /// Answers to requests with some work ended well.
    Served(ServedNotice),
    /// A part of prompts or a request was quarantined or released.
    Quarantine(QuarantineNotice),
    /// An upstream names another limit of requests, or none any more.
    Limit(LimitNotice),
    /// An entry needs permits to send requests to upstreams that name limits.
    PermitRequest(PermitRequest),
    /// Reply to a request for permits.
    PermitReply(PermitReply),
    /// The hub has read newer records of the operators, or an entry may have missed that.
    Operators(OperatorNotice),
    /// What an entry used lately, for a new hub.
    UseHistory(UseHistory),
    /// What all other entries used lately.
    FleetUse(FleetUse),
    /// What an entry has spent, between two reports.
    UseReport(UseReport),
    /// What the other entries have spent, between two summaries.
    UseNotice(UseNotice),
    /// An entry needs permits for requests of some priorities.
    RankedPermits(RankedPermits),
    /// An upstream ended while an entry had a request there that may be the cause.
    Suspect(SuspectReport),
    /// An entry finds out whether quarantined work still does harm.
    Trial(TrialNotice),
    /// An entry sends a suspected request next.
    Claim(ClaimNotice),
    /// An entry that has just started asks what is quarantined and suspected.
    SuspectQuery(SuspectQuery),
    /// An entry asks the hub for the versions of upstreams.
    VersionQuery(VersionQuery),
    /// Reply of the hub to that.
    VersionReply(VersionReply),
    /// Streams have begun at another entry.
    Origins(OriginNotice),
    /// An entry asks which version began a stream.
    OriginQuery(OriginQuery),
    /// Reply to that.
    OriginReply(OriginReply),
    /// The hub has read the registrations of upstreams again.
    Listings(ListingNotice),
    /// How many requests began to run through an entry.
    Usage(UsageMessage),
    /// Reply of the hub to that.
    UsageReply(UsageReply),
    /// What a hub counted itself.
    UsageCopy(UsageCopy),
    /// An entry has read all registrations of upstreams itself.
    ListRead(ListRead),
}

/// Tells the hub of a large fleet which registrations an entry knows, so that it needn't send them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRead {
    /// VM of the entry.
    pub vm: VmId,
    /// Instance id of the entry's process.
    pub instance: InstanceId,
    /// Revision of the key-value service as of which it read them.
    pub revision: StoreRevision,
}

/// Tells the entries of a large fleet, between two summaries, that the hub has read the registrations of upstreams
/// again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListingNotice {
    /// Identifies the hub, as in its summaries.
    pub hub: InstanceId,
    /// Revision of the listing that changed last.
    pub revision: SequenceNumber,
    /// Time since the hub read them.
    pub listing_age: TimeSpan,
}

/// Announces that a process has become the hub.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HubAnnouncement {
    /// VM of the hub.
    pub vm: VmId,
    /// Fencing number of its lease; the highest one identifies the current hub.
    pub fence: FenceNumber,
}

/// States that a hub sends no more orders, so that another process may take over before the hub's
/// lease expires.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HubHandover {
    /// Fencing number of its lease.
    pub fence: FenceNumber,
    /// Upstreams that recently got an order, with the time since the last one.
    #[serde(rename = "ordered")]
    pub recent_orders: Vec<(UpstreamId, TimeSpan)>,
}

/// Usage and demand of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryReport {
    /// VM of the entry.
    pub vm: VmId,
    /// Instance id of the entry's process.
    pub instance: InstanceId,
    /// Position of the report in the entry's sequence.
    pub sequence: SequenceNumber,
    /// The hub from which the entry has its listings and resident models, and their revision.
    #[serde(rename = "known")]
    pub known_revision: (InstanceId, SequenceNumber),
    /// Tokens spent since the start of the process, by organisation.
    pub spent: Vec<(OrganisationId, u64)>,
    /// Work in progress, by upstream; `None` if it was reported shortly before.
    pub work: Option<Vec<(UpstreamId, UpstreamWork)>>,
    /// Targets that requests use or wait for, or have requested since the previous report.
    pub demands: Vec<ServingDemand>,
}

/// Work of one or more entries at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamWork {
    /// Requests in progress.
    pub running: u32,
    /// Prompt tokens of requests whose response has not begun.
    #[serde(rename = "unread_tokens")]
    pub pending_prefill_tokens: u32,
}

/// Requests of one target at an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServingDemand {
    /// Service of the requests.
    pub service: ServiceId,
    /// Model and adapter that the requests need.
    pub target: TargetId,
    /// Requests that have arrived since the start of the process.
    pub arrived: u64,
    /// Requests that wait for an upstream.
    pub waiting: u32,
    /// Time until the earliest deadline of a waiting request.
    pub slack: TimeSpan,
    /// Requests in progress, by upstream.
    pub running: Vec<(UpstreamId, u32)>,
}

/// Usage by the other entries, and the models and adapters that upstreams have loaded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetSummary {
    /// Identifies the hub; a process that becomes the hub again has another id.
    pub hub: InstanceId,
    /// Fencing number of the hub's lease, also after the hub has lost that lease.
    pub fence: FenceNumber,
    /// Sequence number of the report to which this is the reply.
    pub sequence: SequenceNumber,
    /// Number of entries that reach the hub, including the recipient.
    #[serde(rename = "heard")]
    pub reachable_entries: u32,
    /// Tokens that the other entries have spent since the hub began to count, by organisation.
    pub spent: Vec<(OrganisationId, u64)>,
    /// Work of the other entries, by upstream; `None` if it was sent shortly before.
    pub work: Option<Vec<(UpstreamId, UpstreamWork)>>,
    /// Time since the hub last read the registrations of upstreams; the longest span if it has not
    /// read them yet.
    pub listing_age: TimeSpan,
    /// Revision of the listings and resident models.
    pub revision: SequenceNumber,
    /// Listings that changed since the revision that the entry knows.
    pub listings: Vec<UpstreamListing>,
    /// Resident models that changed since the revision that the entry knows.
    #[serde(rename = "rows")]
    pub resident_models: Vec<ResidentModels>,
}

/// Registration of an upstream, as read by the hub.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamListing {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Revision of the registration in the key-value service.
    #[serde(rename = "stored")]
    pub revision: StoreRevision,
    /// Incarnation of the upstream, as stated in its registration.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Service to which it belongs.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Requests that it runs concurrently.
    pub slots: SlotCount,
    /// Whether it takes new work; also `false` if its registration was removed.
    pub is_ready: bool,
    /// Whether it is a model engine.
    pub has_engine: bool,
    /// Time for which its capacity was still reduced by the cold start when the hub first read this
    /// incarnation as cold.
    #[serde(rename = "cold")]
    pub cold_remaining: TimeSpan,
}

/// Models and adapters that are loaded on an upstream, as far as the hub knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResidentModels {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream to which this applies, as stated in its registration.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Models and adapters that requests can use.
    pub loaded: Vec<TargetId>,
    /// Model that is being loaded or unloaded.
    #[serde(rename = "changing")]
    pub in_transition: Option<ModelId>,
}
