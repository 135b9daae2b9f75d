//! State of the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use flume::Sender;
use gentian_config::ConfigSet;
use gentian_core::peer::SeatId;
use gentian_core::{ConfigVersion, FastMap, FenceNumber, InstanceId, MonoTime, RequestId};
use gentian_decide::entry::{ConfigWatch, RequestDispatcher};
use gentian_process::PeerSocket;

use super::CallAssignment;
use crate::entry_metrics::EntryMetrics;

/// Configuration in force, as traffic threads read it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigSnapshot {
    /// Version of the configuration; zero until the first one is read.
    pub(crate) version: ConfigVersion,
    /// Objects of the configuration.
    pub(crate) set: Arc<ConfigSet>,
    /// Whether neither the key-value service nor the peers confirm the configuration any more.
    pub(crate) is_stale: bool,
}

/// The holder of a seat as this entry knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownHolder {
    /// Fencing number of the holder.
    pub(crate) fence: FenceNumber,
    /// Address of its datagram socket.
    pub(crate) address: SocketAddr,
}

/// State of the control thread.
pub(crate) struct ControlState {
    /// Decides when and where requests start.
    pub(crate) dispatcher: RequestDispatcher,
    /// Decides whether the configuration is fresh; not a watch of the key-value service.
    pub(crate) watch: ConfigWatch,
    /// Identifies this run of the process.
    pub(crate) instance: InstanceId,
    /// Known holders of the seats.
    pub(crate) holders: FastMap<SeatId, KnownHolder>,
    /// Channels to the traffic threads of open requests.
    pub(crate) assignment_senders: FastMap<RequestId, Sender<CallAssignment>>,
    /// Configuration that traffic threads read.
    pub(crate) snapshot: Arc<ArcSwap<ConfigSnapshot>>,
    /// Datagram socket for the other processes.
    pub(crate) socket: PeerSocket,
    /// Metrics.
    pub(crate) metrics: EntryMetrics,
}

impl ControlState {
    /// Creates the state of an entry before its first event.
    pub(crate) fn new(
        instance: InstanceId,
        snapshot: Arc<ArcSwap<ConfigSnapshot>>,
        socket: PeerSocket,
        metrics: EntryMetrics,
        now: MonoTime,
    ) -> Self {
        Self {
            dispatcher: RequestDispatcher::new(instance),
            watch: ConfigWatch::new(instance, now),
            instance,
            holders: FastMap::default(),
            assignment_senders: FastMap::default(),
            snapshot,
            socket,
            metrics,
        }
    }
}
