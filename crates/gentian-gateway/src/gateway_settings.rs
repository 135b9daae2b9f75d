//! Settings of a gateway process.

use std::net::SocketAddr;

use gentian_core::{ByteSize, DomainId, VmId};
use gentian_decide::duties::UsageRules;
use gentian_decide::serving::ServingBounds;
use gentian_wire::ClusterKey;

/// Settings of a gateway process.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// VM on which the process runs.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Address on which callers are served.
    pub front: SocketAddr,
    /// Address on which the platform checks readiness.
    pub readiness: SocketAddr,
    /// Address for datagrams between the processes of the fleet.
    pub peer: SocketAddr,
    /// Address on which metrics are served.
    pub admin: SocketAddr,
    /// Key that all processes of the fleet share.
    pub cluster_key: ClusterKey,
    /// CPU that the process may use, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Maximum number of open caller connections.
    pub connection_limit: usize,
    /// Memory for bodies of requests and responses and for queued events.
    pub buffer_memory: ByteSize,
    /// Maximum number of idle connections to upstreams.
    pub idle_connection_limit: usize,
    /// Whether the fleet starts for the first time, so that no hub can have been before.
    pub is_first_start: bool,
    /// Bounds that the gateway must keep.
    pub bounds: ServingBounds,
    /// Duties of one VM at a time, if the deployment has any.
    pub duties: Option<DutySettings>,
}

/// Duties that the fleet has towards the platform's API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutySettings {
    /// Address of the API.
    pub address: SocketAddr,
    /// When usage is reported.
    pub usage: UsageRules,
}
