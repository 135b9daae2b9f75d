//! The thread that writes the records of quarantined parts.

use std::sync::Arc;
use std::thread::JoinHandle;

use flume::Receiver;
use gentian_core::PartId;
use gentian_process::KeyValueService;

use super::fleet_records::{delete_quarantined_part, write_quarantined_part};
use crate::gateway_metrics::GatewayMetrics;

/// A change of the stored quarantine.
#[derive(Clone, Copy, Debug)]
pub(crate) enum QuarantineWrite {
    /// Adds a part.
    Put(PartId),
    /// Removes a part.
    Delete(PartId),
}

/// Starts a thread that makes the writes of `writes` one after the other until the channel is
/// closed. A failed one is not repeated: the hub compares the records with its state at each read.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub(crate) fn start_quarantine_writer(
    service: Arc<KeyValueService>,
    prefix: String,
    writes: Receiver<QuarantineWrite>,
    metrics: GatewayMetrics,
) -> eyre::Result<JoinHandle<()>> {
    let work = move || {
        while let Ok(write) = writes.recv() {
            let result = match write {
                QuarantineWrite::Put(part) => write_quarantined_part(&service, &prefix, part),
                QuarantineWrite::Delete(part) => delete_quarantined_part(&service, &prefix, part),
            };
            let label = if result.is_ok() { "answered" } else { "failed" };
            metrics.store_calls.with_label_values(&["quarantine", label]).inc();
            if let Err(error) = result {
                log::warn!("quarantine record not written: {write:?}: {error}");
            }
        }
    };
    Ok(std::thread::Builder::new().name("quarantine".into()).spawn(work)?)
}
