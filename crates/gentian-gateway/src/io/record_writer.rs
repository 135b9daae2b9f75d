//! The thread that writes records of the hub.

use std::sync::Arc;
use std::thread::JoinHandle;

use flume::Receiver;
use gentian_core::WorkId;
use gentian_core::peer::{OriginTrace, SuspectReport, UseTrace};
use gentian_process::KeyValueService;

use super::fleet_records::{
    delete_quarantined_work, write_crash_trace, write_origin_trace, write_quarantined_work,
    write_use_trace,
};
use crate::gateway_metrics::GatewayMetrics;

/// A change of a stored record.
#[derive(Clone, Debug)]
pub(crate) enum RecordWrite {
    /// Adds quarantined work.
    PutWork(WorkId),
    /// Removes work that is no longer quarantined.
    DeleteWork(WorkId),
    /// Replaces the trace of the use.
    PutTrace(UseTrace),
    /// Replaces the trace of crashes.
    PutCrashes(Vec<SuspectReport>),
    /// Replaces the trace of the versions that began streams.
    PutOrigins(OriginTrace),
}

/// Starts a thread that makes the writes of `writes` one after the other until the channel is
/// closed. A failed one is not repeated: the hub compares the records of the quarantine with its
/// state at each read, and a later trace replaces an earlier one.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub(crate) fn start_record_writer(
    service: Arc<KeyValueService>,
    prefix: String,
    writes: Receiver<RecordWrite>,
    metrics: GatewayMetrics,
) -> eyre::Result<JoinHandle<()>> {
    let work = move || {
        while let Ok(write) = writes.recv() {
            let (call, result) = match &write {
                RecordWrite::PutWork(work) => {
                    ("quarantine", write_quarantined_work(&service, &prefix, *work))
                }
                RecordWrite::DeleteWork(work) => {
                    ("quarantine", delete_quarantined_work(&service, &prefix, *work))
                }
                RecordWrite::PutOrigins(trace) => {
                    ("stream-origins", write_origin_trace(&service, &prefix, trace))
                }
                RecordWrite::PutCrashes(trace) => {
                    ("crash-trace", write_crash_trace(&service, &prefix, trace))
                }
                RecordWrite::PutTrace(trace) => {
                    ("use-trace", write_use_trace(&service, &prefix, trace))
                }
            };
            let label = if result.is_ok() { "answered" } else { "failed" };
            metrics.store_calls.with_label_values(&[call, label]).inc();
            if let Err(error) = result {
                log::warn!("{call} record not written: {error}");
            }
        }
    };
    Ok(std::thread::Builder::new().name("records".into()).spawn(work)?)
}
