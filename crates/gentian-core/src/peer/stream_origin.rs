//! Messages and records on which upstreams began streams that callers may take up.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{ServiceId, SoftwareVersion, StreamId, VmId};

/// A version of the software of a service. Its upstreams write the same text for the same request;
/// those of another version may not.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceVersion {
    /// The service.
    pub service: ServiceId,
    /// Version of the software of its upstreams.
    pub software: SoftwareVersion,
}

impl fmt::Display for ServiceVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.software)
    }
}

/// What is known of the upstream that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StreamOrigin {
    /// It has this version.
    Version(ServiceVersion),
    /// An upstream of this service began it whose version can't be known any more.
    Uncertain(ServiceId),
}

impl StreamOrigin {
    /// Returns the service of the upstream.
    pub fn service(&self) -> &ServiceId {
        match self {
            Self::Version(version) => &version.service,
            Self::Uncertain(service) => service,
        }
    }
}

/// Tells another entry which streams have begun, in case the sender ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OriginNotice {
    /// The streams.
    pub streams: Vec<(StreamId, StreamOrigin)>,
}

/// Asks another entry which upstreams began a stream whose caller takes it up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// VM of the entry that asks.
    pub vm: VmId,
    /// The stream.
    pub stream: StreamId,
    /// Service to which the caller's request would go.
    pub service: ServiceId,
}

/// Reply to an [`OriginQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OriginReply {
    /// VM of the entry that replies.
    pub vm: VmId,
    /// The stream.
    pub stream: StreamId,
    /// What the entry knows of its origin.
    pub origin: Option<StreamOrigin>,
    /// The only version of the service that has served lately, as far as the entry knows; `None` if
    /// there are several, or if it doesn't know.
    pub only_version: Option<SoftwareVersion>,
}

/// What the hub stores of versions and streams, for entries that start later.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OriginTrace {
    /// The versions that serve, or did lately.
    pub versions: Vec<ServiceVersion>,
    /// The latest streams of services with several versions, each with the position of its version.
    pub streams: Vec<(StreamId, u16)>,
}
