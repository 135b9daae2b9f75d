//! What the control thread keeps.

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

/// The configuration that traffic threads read.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigSnapshot {
    /// Its version; zero before the first.
    pub(crate) version: ConfigVersion,
    /// The objects.
    pub(crate) set: Arc<ConfigSet>,
    /// Whether nothing confirms it any more.
    pub(crate) is_stale: bool,
}

/// The holder of a seat as far as the entry knows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownHolder {
    /// Fencing number of the holder.
    pub(crate) fence: FenceNumber,
    /// Address of its datagram port.
    pub(crate) address: SocketAddr,
}

/// State of the control thread.
pub(crate) struct ControlState {
    /// Decides on requests.
    pub(crate) dispatcher: RequestDispatcher,
    /// Confirms the configuration.
    pub(crate) watch: ConfigWatch,
    /// This process.
    pub(crate) instance: InstanceId,
    /// Holders of the seats.
    pub(crate) holders: FastMap<SeatId, KnownHolder>,
    /// Where the assignments of open requests go.
    pub(crate) replies: FastMap<RequestId, Sender<CallAssignment>>,
    /// Configuration for traffic threads.
    pub(crate) snapshot: Arc<ArcSwap<ConfigSnapshot>>,
    /// Datagram port.
    pub(crate) socket: PeerSocket,
    /// Metrics.
    pub(crate) metrics: EntryMetrics,
}

impl ControlState {
    /// Creates the state of an entry that knows nothing yet.
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
            replies: FastMap::default(),
            snapshot,
            socket,
            metrics,
        }
    }
}
