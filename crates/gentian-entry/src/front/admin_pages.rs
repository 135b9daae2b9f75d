//! Admin pages of an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use gentian_core::{InstanceId, VmId};
use gentian_http::AdminPages;
use gentian_process::PeerSocket;
use prometheus::TextEncoder;
use serde_json::json;

use crate::control::ConfigSnapshot;
use crate::entry_metrics::EntryMetrics;

/// State that the admin pages show.
#[derive(Clone)]
pub(crate) struct AdminState {
    /// VM of the process.
    pub(crate) vm: VmId,
    /// Identifies this run of the process.
    pub(crate) instance: InstanceId,
    /// Configuration in force.
    pub(crate) snapshot: Arc<ArcSwap<ConfigSnapshot>>,
    /// Metrics.
    pub(crate) metrics: EntryMetrics,
    /// Datagram socket, which counts its traffic.
    pub(crate) socket: PeerSocket,
    /// Set once the process has received a stop signal.
    pub(crate) stopping: Arc<AtomicBool>,
}

impl AdminState {
    fn is_ready(&self) -> bool {
        let snapshot = self.snapshot.load();
        let is_usable = snapshot.version.get() > 0 && !snapshot.is_stale;
        is_usable && !self.stopping.load(Ordering::Acquire)
    }

    fn status(&self) -> String {
        let traffic = self.socket.traffic();
        json!({
            "role": "entry",
            "vm": self.vm.to_string(),
            "instance": self.instance.to_string(),
            "ready": self.is_ready(),
            "config_version": self.snapshot.load().version.get(),
            "open_requests": self.metrics.open.get(),
            "datagram_bytes_sent": traffic.sent,
            "datagram_bytes_received": traffic.received,
        })
        .to_string()
    }
}

/// Returns the admin pages of an entry.
pub(crate) fn admin_pages(state: AdminState) -> AdminPages {
    let (ready, registry) = (state.clone(), state.metrics.registry.clone());
    let metrics =
        move || TextEncoder::new().encode_to_string(&registry.gather()).unwrap_or_default();
    AdminPages::new(move || ready.is_ready(), metrics, move || state.status())
}
