//! Messages on the versions of upstreams, which the listings of the hub don't name.

use serde::{Deserialize, Serialize};

use crate::{SoftwareVersion, UpstreamId, VmId};

/// Asks the hub for the versions of upstreams that it has listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionQuery {
    /// VM of the entry that asks.
    pub vm: VmId,
    /// The upstreams, with their incarnations.
    pub upstreams: Vec<(UpstreamId, u64)>,
}

/// Reply to a [`VersionQuery`]; upstreams that the hub doesn't know are left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionReply {
    /// The upstreams, with their incarnations and versions.
    pub versions: Vec<(UpstreamId, u64, SoftwareVersion)>,
}
