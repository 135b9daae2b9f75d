//! What the control thread keeps.

use std::sync::Arc;

use arc_swap::ArcSwap;
use flume::Sender;
use gentian_config::serving::ServingConfig;
use gentian_core::peer::HubHandover;
use gentian_core::{FastMap, FastSet, FenceNumber, InstanceId, MonoTime, RequestId, VmId};
use gentian_decide::orders::{FleetPlanner, HolderLease, LeaseTask};
use gentian_decide::serving::{CallScheduler, FleetHub, HubClient, ServingBounds, UpstreamTable};
use gentian_process::PeerSocket;

use super::CallAssignment;
use crate::PlatformCodec;
use crate::gateway_metrics::GatewayMetrics;
use crate::io::{EngineCalls, MemberEntry, ToldSpan};

/// What traffic threads read of the control state.
#[derive(Clone, Debug, Default)]
pub(crate) struct FrontView {
    /// Configuration in force; `None` before the first.
    pub(crate) config: Option<Arc<ServingConfig>>,
    /// Whether upstreams are known.
    pub(crate) has_upstreams: bool,
}

/// The hub, while this process is it.
#[derive(Debug)]
pub(crate) struct HubState {
    /// Counts for all entries.
    pub(crate) hub: FleetHub,
    /// Decides orders.
    pub(crate) planner: FleetPlanner,
    /// Fencing number of its lease.
    pub(crate) fence: FenceNumber,
    /// When orders were last decided.
    pub(crate) planned: MonoTime,
    /// When orders are decided again, if something happened since.
    pub(crate) plan_due: Option<MonoTime>,
}

/// What the control state is made of.
pub(crate) struct ControlParts {
    pub(crate) dialect: Arc<PlatformCodec>,
    pub(crate) vm: VmId,
    pub(crate) instance: InstanceId,
    pub(crate) bounds: ServingBounds,
    pub(crate) table: UpstreamTable,
    pub(crate) view: Arc<ArcSwap<FrontView>>,
    pub(crate) socket: PeerSocket,
    pub(crate) lease_tasks: Sender<LeaseTask>,
    pub(crate) engines: EngineCalls,
    pub(crate) told: ToldSpan,
    pub(crate) metrics: GatewayMetrics,
}

/// State of the control thread.
pub(crate) struct ControlState {
    /// Decodes records.
    pub(crate) dialect: Arc<PlatformCodec>,
    /// VM of this process.
    pub(crate) vm: VmId,
    /// This process.
    pub(crate) instance: InstanceId,
    /// Promised bounds.
    pub(crate) bounds: ServingBounds,
    /// Configuration in force.
    pub(crate) config: Arc<ServingConfig>,
    /// Upstreams.
    pub(crate) table: UpstreamTable,
    /// Requests.
    pub(crate) desk: CallScheduler,
    /// Exchange with the hub.
    pub(crate) link: HubClient,
    /// The hub, while this process is it.
    pub(crate) hub: Option<HubState>,
    /// Lease of the hub.
    pub(crate) lease: HolderLease,
    /// What the hub that has stopped said, and when.
    pub(crate) handover: Option<(HubHandover, MonoTime)>,
    /// Whether this process was asked to stop.
    pub(crate) is_stopping: bool,
    /// The entries.
    pub(crate) members: FastMap<VmId, MemberEntry>,
    /// Since when no holder of the lease is known.
    pub(crate) vacant_since: Option<MonoTime>,
    /// Until when the hub's news of upstreams is fresh.
    pub(crate) told: ToldSpan,
    /// The hub that is asked, with its fencing number.
    pub(crate) known_hub: Option<(VmId, FenceNumber)>,
    /// Failure domains that operators took out.
    pub(crate) drained: FastSet<gentian_core::DomainId>,
    /// Where the assignments of open requests go.
    pub(crate) replies: FastMap<RequestId, Sender<CallAssignment>>,
    /// What traffic threads read.
    pub(crate) view: Arc<ArcSwap<FrontView>>,
    /// Datagram port.
    pub(crate) socket: PeerSocket,
    /// The thread that makes lease calls.
    pub(crate) lease_tasks: Sender<LeaseTask>,
    /// Threads that call engines.
    pub(crate) engines: EngineCalls,
    /// Metrics.
    pub(crate) metrics: GatewayMetrics,
}

impl ControlState {
    /// Creates the state of a process that knows nothing yet.
    pub(crate) fn new(parts: ControlParts) -> Self {
        Self {
            desk: CallScheduler::new(parts.bounds),
            link: HubClient::new(parts.vm.clone(), parts.instance),
            lease: HolderLease::new(parts.bounds.lease_time),
            dialect: parts.dialect,
            vm: parts.vm,
            instance: parts.instance,
            bounds: parts.bounds,
            config: Arc::default(),
            table: parts.table,
            hub: None,
            vacant_since: None,
            told: parts.told,
            handover: None,
            is_stopping: false,
            members: FastMap::default(),
            known_hub: None,
            drained: FastSet::default(),
            replies: FastMap::default(),
            view: parts.view,
            socket: parts.socket,
            lease_tasks: parts.lease_tasks,
            engines: parts.engines,
            metrics: parts.metrics,
        }
    }

    /// Returns the number of entries.
    pub(crate) fn fleet_size(&self) -> u32 {
        u32::try_from(self.members.len()).unwrap_or(u32::MAX).max(1)
    }
}
