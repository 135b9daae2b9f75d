//! Messages by which entries share the requests that an upstream accepts.

use serde::{Deserialize, Serialize};

use crate::{InstanceId, RequestRate, SequenceNumber, TimeSpan, UpstreamId, VmId};

/// States the limit of requests that the responses of an upstream name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream, as stated in its registration.
    pub incarnation: u64,
    /// The limit for all entries together; `None` if the upstream names none any more.
    pub limit: Option<RequestRate>,
    /// Time since the response.
    pub age: TimeSpan,
}

/// Asks the hub for permits to send requests to upstreams that name limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// VM of the entry.
    pub vm: VmId,
    /// Instance id of the entry's process.
    pub instance: InstanceId,
    /// Position in the entry's sequence of these requests.
    pub sequence: SequenceNumber,
    /// What the entry needs, by upstream.
    pub wanted: Vec<WantedPermits>,
}

/// Permits that an entry needs for one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WantedPermits {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream, as stated in its registration.
    pub incarnation: u64,
    /// Limit that the entry knows.
    pub limit: RequestRate,
    /// Requests that wait for a permit.
    pub count: u32,
}

/// A [`PermitRequest`] that says how urgent its requests are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankedPermits {
    /// What the entry needs; several rows may be for one upstream.
    pub request: PermitRequest,
    /// Priority of each row, 0 is the highest.
    pub priorities: Vec<u8>,
}

/// Reply of the hub to a [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Sequence number of the request.
    pub sequence: SequenceNumber,
    /// What is granted, for each row of the request.
    pub grants: Vec<PermitGrant>,
}

/// Permits for one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests that the entry may send. A permit expires if it is not used soon.
    pub count: u32,
    /// Time until there is another permit.
    pub wait: TimeSpan,
    /// Requests of all entries that still wait for a permit, and are as urgent at least.
    pub backlog: u32,
}
