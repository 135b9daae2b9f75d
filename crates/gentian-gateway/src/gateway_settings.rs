//! Settings of a gateway process.

use std::net::SocketAddr;

use gentian_core::{DomainId, VmId};
use gentian_decide::serving::ServingBounds;
use gentian_wire::ClusterKey;

/// Settings of a gateway process.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// VM on which the process runs.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Port for callers.
    pub front: SocketAddr,
    /// Port on which the platform asks whether the process takes callers.
    pub readiness: SocketAddr,
    /// Port for datagrams between the processes.
    pub peer: SocketAddr,
    /// Port for metrics.
    pub admin: SocketAddr,
    /// Key that the processes share.
    pub cluster_key: ClusterKey,
    /// Processor that the process may use, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Most open connections of callers.
    pub connection_limit: usize,
    /// Promised bounds.
    pub bounds: ServingBounds,
}
