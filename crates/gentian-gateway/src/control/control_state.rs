//! State of the control thread.

use std::sync::Arc;

use arc_swap::ArcSwap;
use flume::Sender;
use gentian_config::serving::ServingConfig;
use gentian_core::peer::HubHandover;
use gentian_core::{
    EventCode, FastMap, FastSet, FenceNumber, InstanceId, MonoTime, RequestId, StoreEra,
    StoreRevision, VmId, WallTime, WorkId,
};
use gentian_decide::limits::PermitLedger;
use gentian_decide::orders::{FleetPlanner, HolderLease, LeaseTask};
use gentian_decide::quarantine::{CrashTracer, MessageRepeats, WorkQuarantine};
use gentian_decide::serving::{
    CallScheduler, DrainedDomains, EraTracker, FleetHub, HubClient, OddRecords, ServingBounds,
    UpstreamTable, VersionQueries,
};
use gentian_decide::streams::{OriginTracer, StreamOrigins};
use gentian_process::{PeerSocket, StoredValue};

use super::take_up_controller::WaitingTakeUp;
use super::{CallAssignment, DutyState};
use crate::PlatformCodec;
use crate::gateway_metrics::GatewayMetrics;
use crate::io::{EngineCalls, EntryRecord, HubUpdates, RecordWrite};

/// What the control thread publishes for traffic threads.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrafficView {
    /// Configuration in force; `None` until the first one is read.
    pub(crate) config: Option<Arc<ServingConfig>>,
    /// Whether any upstream has registered.
    pub(crate) has_upstreams: bool,
    /// Whether upstreams have ended lately, so that requests must be identified.
    pub(crate) has_suspects: bool,
}

/// State of the hub, from when this process acquires the lease until it learns of another hub.
#[derive(Debug)]
pub(crate) struct HubState {
    /// Collects the reports of entries and makes their summaries.
    pub(crate) fleet_hub: FleetHub,
    /// Decides on orders to engines.
    pub(crate) planner: FleetPlanner,
    /// Grants permits for upstreams that name limits.
    pub(crate) permits: PermitLedger,
    /// Fencing number of the lease.
    pub(crate) fence: FenceNumber,
    /// When orders were last planned.
    pub(crate) planned_at: MonoTime,
    /// When the next planning round is due, if one was deferred because the last was too recent.
    pub(crate) deferred_plan_at: Option<MonoTime>,
}

/// Parts from which the control state is created.
pub(crate) struct ControlParts {
    pub(crate) codec: Arc<PlatformCodec>,
    pub(crate) vm: VmId,
    pub(crate) instance: InstanceId,
    pub(crate) bounds: ServingBounds,
    pub(crate) has_predecessor: bool,
    pub(crate) table: UpstreamTable,
    pub(crate) view: Arc<ArcSwap<TrafficView>>,
    pub(crate) socket: PeerSocket,
    pub(crate) lease_tasks: Sender<LeaseTask>,
    pub(crate) record_writes: Sender<RecordWrite>,
    pub(crate) engine_calls: EngineCalls,
    pub(crate) hub_updates: HubUpdates,
    pub(crate) duties: Option<DutyState>,
    pub(crate) metrics: GatewayMetrics,
}

/// State of the control thread.
pub(crate) struct ControlState {
    /// Decodes records and messages of the platform.
    pub(crate) codec: Arc<PlatformCodec>,
    /// VM of this process.
    pub(crate) vm: VmId,
    /// Identifies this run of the process.
    pub(crate) instance: InstanceId,
    /// Registrations and fleet records that can't be read.
    pub(crate) odd_records: OddRecords,
    /// Whether other runs of the system may have come before this process.
    pub(crate) has_predecessor: bool,
    /// Bounds that the gateway must keep.
    pub(crate) bounds: ServingBounds,
    /// Configuration in force.
    pub(crate) config: Arc<ServingConfig>,
    /// The registered upstreams.
    pub(crate) table: UpstreamTable,
    /// Decides when and where requests start.
    pub(crate) scheduler: CallScheduler,
    /// Makes this entry's reports to the hub and applies the hub's summaries.
    pub(crate) hub_client: HubClient,
    /// State of the hub, from when this process acquires the lease until it learns of another hub.
    pub(crate) hub: Option<HubState>,
    /// The lease whose holder is the hub.
    pub(crate) lease: HolderLease,
    /// Last handover message of a hub, and when it arrived.
    pub(crate) handover: Option<(HubHandover, MonoTime)>,
    /// Whether this process has received a stop signal.
    pub(crate) is_stopping: bool,
    /// Entries of the fleet by VM, as their records say.
    pub(crate) entries: FastMap<VmId, EntryRecord>,
    /// Since when the lease has had no known holder.
    pub(crate) vacant_since: Option<MonoTime>,
    /// Which versions began the streams of callers.
    pub(crate) origins: StreamOrigins,
    /// Decides when that is stored; `None` until the records were read.
    pub(crate) origin_tracer: Option<OriginTracer>,
    /// Era of the key-value service in which that was stored or read.
    pub(crate) origin_era: StoreEra,
    /// Requests for the rest of streams of which it is not known yet which version began them.
    pub(crate) take_ups: Vec<WaitingTakeUp>,
    /// Asks the hub for the versions of upstreams.
    pub(crate) version_queries: VersionQueries,
    /// Tells the threads that read records how recent the hub's messages are.
    pub(crate) hub_updates: HubUpdates,
    /// The hub to which this entry reports, with its fencing number.
    pub(crate) known_hub: Option<(VmId, FenceNumber)>,
    /// Tells when the key-value service was last restored from a copy.
    pub(crate) eras: EraTracker,
    /// Revision of the newest record of the operators that this process has read.
    pub(crate) operator_revision: StoreRevision,
    /// Failure domains that operators have drained, as their records say.
    pub(crate) drained_domains: DrainedDomains,
    /// Failure domains that are drained now.
    pub(crate) drained: FastSet<gentian_core::DomainId>,
    /// Channels to the traffic threads of requests that wait for an assignment.
    pub(crate) assignment_senders: FastMap<RequestId, Sender<CallAssignment>>,
    /// Work that makes upstreams end.
    pub(crate) quarantine: WorkQuarantine,
    /// Era of the key-value service in which its records of this work were read.
    pub(crate) quarantine_era: StoreEra,
    /// Work of which the key-value service has a record, as far as this process knows.
    pub(crate) stored_works: FastSet<WorkId>,
    /// Decides when the trace of crashes is stored; `None` until the records were read.
    pub(crate) crash_tracer: Option<CrashTracer>,
    /// Queue of the thread that writes the hub's records.
    pub(crate) record_writes: Sender<RecordWrite>,
    /// Messages that are sent again in case a datagram is lost.
    pub(crate) message_repeats: MessageRepeats,
    /// View that traffic threads read.
    pub(crate) view: Arc<ArcSwap<TrafficView>>,
    /// Datagram socket for the other processes.
    pub(crate) socket: PeerSocket,
    /// Queue of the thread that makes lease calls.
    pub(crate) lease_tasks: Sender<LeaseTask>,
    /// Calls engines on other threads.
    pub(crate) engine_calls: EngineCalls,
    /// Duties of one VM at a time, if the deployment has any.
    pub(crate) duties: Option<DutyState>,
    /// Time of day by this VM's clock when the event was taken up.
    pub(crate) wall_time: WallTime,
    /// Metrics.
    pub(crate) metrics: GatewayMetrics,
}

fn new_scheduler(parts: &ControlParts) -> CallScheduler {
    let scheduler = CallScheduler::new(parts.bounds).with_seed(parts.instance.get());
    match parts.has_predecessor {
        true => scheduler,
        false => scheduler.with_first_start(),
    }
}

impl ControlState {
    /// Logs that a record can't be read, once for each of its changes.
    pub(crate) fn log_odd_record(&mut self, value: &StoredValue, cause: &str) {
        if self.odd_records.record(&value.key, value.revision) {
            let (code, revision) = (EventCode::RECORD_IGNORED, value.revision);
            log::warn!("{code} key={} revision={revision} cause={cause}", value.key);
        }
    }

    /// Creates the state at the start of a process, before any record is read.
    pub(crate) fn new(parts: ControlParts) -> Self {
        Self {
            scheduler: new_scheduler(&parts),
            hub_client: HubClient::new(parts.vm.clone(), parts.instance),
            origins: StreamOrigins::new(parts.vm.clone()),
            quarantine: WorkQuarantine::new(parts.vm.clone()),
            lease: HolderLease::new(parts.bounds.takeover_delay)
                .with_predecessor(parts.has_predecessor),
            codec: parts.codec,
            vm: parts.vm,
            instance: parts.instance,
            has_predecessor: parts.has_predecessor,
            bounds: parts.bounds,
            config: Arc::default(),
            table: parts.table,
            odd_records: OddRecords::new(),
            hub: None,
            vacant_since: None,
            origin_tracer: None,
            origin_era: StoreEra::default(),
            take_ups: Vec::new(),
            version_queries: VersionQueries::new(),
            hub_updates: parts.hub_updates,
            handover: None,
            is_stopping: false,
            entries: FastMap::default(),
            known_hub: None,
            eras: EraTracker::new(parts.bounds.registration_ttl),
            operator_revision: StoreRevision::default(),
            drained_domains: DrainedDomains::new(parts.bounds.registration_ttl),
            drained: FastSet::default(),
            quarantine_era: StoreEra::default(),
            stored_works: FastSet::default(),
            crash_tracer: None,
            record_writes: parts.record_writes,
            message_repeats: MessageRepeats::new(),
            assignment_senders: FastMap::default(),
            view: parts.view,
            socket: parts.socket,
            lease_tasks: parts.lease_tasks,
            engine_calls: parts.engine_calls,
            duties: parts.duties,
            wall_time: WallTime::default(),
            metrics: parts.metrics,
        }
    }

    /// Publishes a changed view for the traffic threads.
    pub(crate) fn update_view(&self, update: impl FnOnce(&mut TrafficView)) {
        let mut view = TrafficView::clone(&self.view.load());
        update(&mut view);
        self.view.store(Arc::new(view));
    }

    /// Returns the number of entries, at least 1.
    pub(crate) fn fleet_size(&self) -> u32 {
        u32::try_from(self.entries.len()).unwrap_or(u32::MAX).max(1)
    }
}
