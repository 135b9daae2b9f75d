//! What the control thread keeps.

use std::sync::Arc;

use gentian_config::ConfigSet;
use gentian_core::peer::{MemberRecord, SeatElector, SeatId};
use gentian_core::{ConfigVersion, FastMap, FenceNumber, MonoTime, UpstreamId, VmId};
use gentian_decide::placement::PlacementPlanner;
use gentian_decide::seat::{ElectorCandidate, SeatElection};
use gentian_decide::share::ShareAllocator;
use gentian_process::{PeerSocket, VmRoster};

use super::StatusPage;
use crate::io::IoThreads;

/// What the holder of a seat decides with.
pub(crate) enum SeatDuty {
    /// Duty of a share seat.
    Share(Box<ShareAllocator>),
    /// Duty of the placement seat.
    Placement(Box<PlacementPlanner>),
}

/// The duty of a seat under one fencing number.
pub(crate) struct HeldDuty {
    /// Fencing number under which the process holds the seat.
    pub(crate) fence: FenceNumber,
    /// What the process decides with.
    pub(crate) duty: SeatDuty,
}

/// One seat at this process.
pub(crate) struct SeatRow {
    /// Takes, keeps and loses the seat.
    pub(crate) keeper: SeatElection,
    /// The duty while the process holds the seat.
    pub(crate) held: Option<HeldDuty>,
    /// Whether the process acted at the last event.
    pub(crate) was_acting: bool,
}

impl SeatRow {
    /// Returns the ledgers of a held share seat.
    pub(crate) fn share(&mut self) -> Option<&mut ShareAllocator> {
        match &mut self.held.as_mut()?.duty {
            SeatDuty::Share(holder) => Some(holder),
            SeatDuty::Placement(_) => None,
        }
    }

    /// Returns the planner of a held placement seat.
    pub(crate) fn placement(&mut self) -> Option<&mut PlacementPlanner> {
        match &mut self.held.as_mut()?.duty {
            SeatDuty::Placement(planner) => Some(planner),
            SeatDuty::Share(_) => None,
        }
    }

    /// Tells whether the process may act under the fencing number of its duty.
    pub(crate) fn is_acting(&self, now: MonoTime) -> bool {
        let acting = self.keeper.may_act(now);
        acting.is_some() && acting == self.held.as_ref().map(|held| held.fence)
    }
}

/// State of the control thread.
pub(crate) struct ControlState {
    /// This process as an elector.
    pub(crate) own: SeatElector,
    /// The seats.
    pub(crate) seats: FastMap<SeatId, SeatRow>,
    /// Configuration in force.
    pub(crate) set: Arc<ConfigSet>,
    /// Its version.
    pub(crate) version: ConfigVersion,
    /// Whether the key-value service answered the last call of the follower.
    pub(crate) has_contact: bool,
    /// Running processes.
    pub(crate) members: FastMap<VmId, MemberRecord>,
    /// The platform's list of VMs; `None` before the first answer.
    pub(crate) roster: Option<VmRoster>,
    /// When the status of each upstream was last asked for; `None` while a call is open.
    pub(crate) polled: FastMap<UpstreamId, Option<MonoTime>>,
    /// Upstreams that answered their last status call.
    pub(crate) live: FastMap<UpstreamId, bool>,
    /// When seats, status calls and orders are gone through next without an event of their own.
    pub(crate) sweep_due: MonoTime,
    /// Whether the process is asked to stop.
    pub(crate) is_stopping: bool,
    /// Threads that carry the I/O.
    pub(crate) io: IoThreads,
    /// Datagram port.
    pub(crate) socket: PeerSocket,
    /// Where the operators see the state.
    pub(crate) page: StatusPage,
}

impl ControlState {
    /// Creates the state of a process that knows nothing yet.
    pub(crate) fn new(
        own: SeatElector,
        io: IoThreads,
        socket: PeerSocket,
        page: StatusPage,
    ) -> Self {
        Self {
            own,
            seats: FastMap::default(),
            set: Arc::default(),
            version: ConfigVersion::default(),
            has_contact: false,
            members: FastMap::default(),
            roster: None,
            polled: FastMap::default(),
            live: FastMap::default(),
            sweep_due: MonoTime::ORIGIN,
            is_stopping: false,
            io,
            socket,
            page,
        }
    }

    /// Returns the processes that could be electors.
    pub(crate) fn candidates(&self) -> Vec<ElectorCandidate> {
        let is_listed = |vm: &VmId| {
            let roster = self.roster.as_ref().filter(|roster| !roster.leaving_by_vm.is_empty());
            roster.is_none_or(|roster| roster.leaving_by_vm.get(vm) == Some(&false))
        };
        let members = self.members.values().filter(|member| is_listed(&member.vm));
        let candidate = |member: &MemberRecord| ElectorCandidate {
            elector: SeatElector {
                vm: member.vm.clone(),
                instance: member.instance,
                address: member.address,
            },
            domain: member.domain.clone(),
        };
        members.map(candidate).collect()
    }
}
