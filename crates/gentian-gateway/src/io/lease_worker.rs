//! The thread that makes lease calls to the key-value service.

use std::sync::Arc;
use std::thread::JoinHandle;

use flume::{Receiver, Sender};
use gentian_core::{FenceNumber, LeaseId, StoreRevision};
use gentian_decide::orders::{HolderRecord, LeaseReply, LeaseTask};
use gentian_http::ProcessClock;
use gentian_process::{KeyValueError, KeyValueService, LeaseCalls};

use super::fleet_records::{claim_holder, find_own_revision, had_holder};
use crate::control::ControlEvent;
use crate::gateway_metrics::GatewayMetrics;

/// Makes the lease calls.
pub(crate) struct LeaseWorker {
    /// Key-value service with the records.
    pub(crate) service: Arc<KeyValueService>,
    /// Lease calls of the service.
    pub(crate) leases: LeaseCalls,
    /// Prefix of the records that the entries of the fleet write.
    pub(crate) prefix: String,
    /// Holder record of this process.
    pub(crate) record: HolderRecord,
    /// Metrics.
    pub(crate) metrics: GatewayMetrics,
}

/// Starts a thread that makes the calls of `tasks` one after the other until the channel is closed.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub(crate) fn start_lease_worker(
    worker: LeaseWorker,
    tasks: Receiver<LeaseTask>,
    events: Sender<ControlEvent>,
    clock: ProcessClock,
) -> eyre::Result<JoinHandle<()>> {
    let work = move || {
        while let Ok(task) = tasks.recv() {
            let sent = clock.now();
            let reply = worker.run(task);
            if events.send(ControlEvent::LeaseCallEnded(reply, sent)).is_err() {
                return;
            }
        }
    };
    Ok(std::thread::Builder::new().name("lease".into()).spawn(work)?)
}

impl LeaseWorker {
    fn run(&self, task: LeaseTask) -> LeaseReply {
        let reply = match task {
            LeaseTask::Grant(ttl) => self.leases.grant(ttl).map(LeaseReply::Granted),
            LeaseTask::Take(lease) => self.acquire(lease),
            LeaseTask::TakeOver(lease, fence) => self.take_over(lease, fence),
            LeaseTask::Renew(lease) => self.leases.renew(lease).map(lease_reply),
            LeaseTask::End(lease) => self.leases.revoke(lease).map(lease_reply),
        };
        let label = if reply.is_ok() { "answered" } else { "failed" };
        self.metrics.store_calls.with_label_values(&["lease", label]).inc();
        reply.unwrap_or_else(|error| {
            log::debug!("lease call {task:?} failed: {error}");
            LeaseReply::Unknown
        })
    }

    fn acquire(&self, lease: LeaseId) -> Result<LeaseReply, KeyValueError> {
        let had_holder = had_holder(&self.service, &self.prefix)?;
        let written = self.write_holder(lease, None)?;
        Ok(written.map_or(LeaseReply::Lost, |revision| LeaseReply::Taken(revision, had_holder)))
    }

    fn take_over(
        &self,
        lease: LeaseId,
        predecessor: FenceNumber,
    ) -> Result<LeaseReply, KeyValueError> {
        let written = self.write_holder(lease, Some(predecessor))?;
        Ok(written.map_or(LeaseReply::Lost, LeaseReply::TakenOver))
    }

    fn write_holder(
        &self,
        lease: LeaseId,
        predecessor: Option<FenceNumber>,
    ) -> Result<Option<StoreRevision>, KeyValueError> {
        claim_holder(&self.service, &self.prefix, &self.record, lease, predecessor).or_else(
            |error| {
                // The record may have been written although the reply was lost; read it back to
                // find out.
                log::debug!("the write of the holder's record failed: {error}");
                find_own_revision(&self.service, &self.prefix, &self.record)
            },
        )
    }
}

/// Returns the reply to a renewal or a revocation: `Renewed` if the service knew the lease,
/// otherwise `Lost`.
fn lease_reply(is_found: bool) -> LeaseReply {
    if is_found { LeaseReply::Renewed } else { LeaseReply::Lost }
}
