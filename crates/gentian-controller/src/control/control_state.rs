//! State of the control thread.

use std::sync::Arc;

use gentian_config::ConfigSet;
use gentian_core::peer::{MemberRecord, SeatElector, SeatId};
use gentian_core::{ConfigVersion, FastMap, FenceNumber, MonoTime, UpstreamId, VmId};
use gentian_decide::placement::PlacementPlanner;
use gentian_decide::seat::{ElectorCandidate, SeatElection};
use gentian_decide::share::ShareAllocator;
use gentian_process::{PeerSocket, VmList};

use super::StatusPage;
use crate::io::IoThreads;

/// State with which the holder of a seat decides.
pub(crate) enum HolderState {
    /// Grants of a share seat.
    Share(Box<ShareAllocator>),
    /// Plan of the placement seat.
    Placement(Box<PlacementPlanner>),
}

/// This process as the holder of a seat under one fencing number.
pub(crate) struct SeatHolder {
    /// Fencing number under which the process holds the seat.
    pub(crate) fence: FenceNumber,
    /// State with which the process decides.
    pub(crate) state: HolderState,
}

/// A seat as this process takes part in it.
pub(crate) struct LocalSeat {
    /// Decides whether the process takes, keeps or releases the seat.
    pub(crate) election: SeatElection,
    /// State as the holder of the seat: created when the process may first act for the seat,
    /// removed when it loses the seat.
    pub(crate) holder: Option<SeatHolder>,
    /// Whether the process was allowed to act when this was last checked.
    pub(crate) was_acting: bool,
}

impl LocalSeat {
    /// Returns the allocator if this is a share seat that the process holds.
    pub(crate) fn share(&mut self) -> Option<&mut ShareAllocator> {
        match &mut self.holder.as_mut()?.state {
            HolderState::Share(allocator) => Some(allocator),
            HolderState::Placement(_) => None,
        }
    }

    /// Returns the planner if this is the placement seat and the process holds it.
    pub(crate) fn placement(&mut self) -> Option<&mut PlacementPlanner> {
        match &mut self.holder.as_mut()?.state {
            HolderState::Placement(planner) => Some(planner),
            HolderState::Share(_) => None,
        }
    }

    /// Returns whether the process may act now under the fencing number of its holder state.
    pub(crate) fn is_acting(&self, now: MonoTime) -> bool {
        let acting = self.election.acting_fence(now);
        acting.is_some() && acting == self.holder.as_ref().map(|holder| holder.fence)
    }
}

/// State of the control thread.
pub(crate) struct ControlState {
    /// This process in the role of an elector.
    pub(crate) own_elector: SeatElector,
    /// The seats of the configuration.
    pub(crate) seats: FastMap<SeatId, LocalSeat>,
    /// Configuration in force.
    pub(crate) set: Arc<ConfigSet>,
    /// Version of the configuration in force; zero until the first one is read.
    pub(crate) version: ConfigVersion,
    /// Whether the key-value service answered the last call of the state watcher.
    pub(crate) has_contact: bool,
    /// Member records of controllers by VM; a stopped controller keeps its record.
    pub(crate) members: FastMap<VmId, MemberRecord>,
    /// The platform's list of VMs; `None` until it is first read.
    pub(crate) vm_list: Option<VmList>,
    /// When the last status call to each upstream was sent; `None` while a call is open.
    pub(crate) polled_at: FastMap<UpstreamId, Option<MonoTime>>,
    /// Whether each upstream answered its last status call.
    pub(crate) live: FastMap<UpstreamId, bool>,
    /// Time of the next sweep, the periodic check of seats, status calls and orders.
    pub(crate) sweep_due: MonoTime,
    /// Whether the process has received a stop signal.
    pub(crate) is_stopping: bool,
    /// Threads that do the I/O.
    pub(crate) io: IoThreads,
    /// Datagram socket for the other processes.
    pub(crate) socket: PeerSocket,
    /// Status page for the operators.
    pub(crate) page: StatusPage,
}

impl ControlState {
    /// Creates the state of a process before its first event.
    pub(crate) fn new(
        own_elector: SeatElector,
        io: IoThreads,
        socket: PeerSocket,
        page: StatusPage,
    ) -> Self {
        Self {
            own_elector,
            seats: FastMap::default(),
            set: Arc::default(),
            version: ConfigVersion::default(),
            has_contact: false,
            members: FastMap::default(),
            vm_list: None,
            polled_at: FastMap::default(),
            live: FastMap::default(),
            sweep_due: MonoTime::ORIGIN,
            is_stopping: false,
            io,
            socket,
            page,
        }
    }

    /// Returns the processes that can be electors: the controllers that have a member record,
    /// without those whose VM the platform's list shows as leaving or does not show. Without a
    /// list, or with an empty one, all are returned.
    pub(crate) fn candidates(&self) -> Vec<ElectorCandidate> {
        let is_listed = |vm: &VmId| {
            let vm_list =
                self.vm_list.as_ref().filter(|vm_list| !vm_list.is_leaving_by_vm.is_empty());
            vm_list.is_none_or(|vm_list| vm_list.is_leaving_by_vm.get(vm) == Some(&false))
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
