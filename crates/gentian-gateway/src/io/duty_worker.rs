//! The threads that make the calls of duties: one calls the key-value service, the other the
//! platform's API, so that neither waits for the other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use flume::{Receiver, Sender};
use gentian_core::{TimeSpan, VmId};
use gentian_decide::duties::{DutyReply, UsageCall, UsageStoreReply, UsageStoreTask};
use gentian_http::ProcessClock;
use gentian_http::forward::{CallLimits, ConnectionPool, PooledCallError, PooledClient};
use gentian_process::{KeyValueError, KeyValueService};

use super::fleet_records::{read_usages, write_usage};
use crate::PlatformCodec;
use crate::control::ControlEvent;
use crate::gateway_metrics::GatewayMetrics;

/// Kind of these calls in logs and metrics.
const CALL_NAME: &str = "usage";
/// Longest wait for a connection to the platform's API.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(300);
/// Longest wait for a response. A call without one is repeated, and reports are due after several
/// seconds.
const RESPONSE_TIMEOUT: TimeSpan = TimeSpan::from_millis(2_500);
/// Size limit in bytes of a response, whose content is not used.
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// Age after which a call is no longer sent, since another process may hold the duty by then. A
/// process that was suspended sends nothing of before.
const MAX_CALL_AGE: TimeSpan = TimeSpan::from_millis(250);

/// Makes the calls of duties.
#[derive(Clone)]
pub(crate) struct DutyWorker {
    /// Encodes the calls.
    pub(crate) codec: Arc<PlatformCodec>,
    /// Key-value service with the records.
    pub(crate) service: Arc<KeyValueService>,
    /// Address of the platform's API.
    pub(crate) address: SocketAddr,
    /// VM that calls name as the holder.
    pub(crate) holder: VmId,
    /// Open connections.
    pub(crate) connections: ConnectionPool,
    /// Queue of the control thread.
    pub(crate) events: Sender<ControlEvent>,
    /// Clock of the process.
    pub(crate) clock: ProcessClock,
    /// Metrics.
    pub(crate) metrics: GatewayMetrics,
}

/// Queues of the threads. Each holds at most one task, since the duty waits for each reply.
#[derive(Clone, Debug)]
pub(crate) struct DutyQueues {
    /// Calls of the key-value service.
    pub(crate) store_tasks: Sender<UsageStoreTask>,
    /// Calls of the platform's API.
    pub(crate) calls: Sender<UsageCall>,
}

/// Starts the threads; they end when the queues are closed.
///
/// # Errors
///
/// Returns an error if a thread cannot be started.
pub(crate) fn start_duty_workers(
    worker: DutyWorker,
) -> eyre::Result<(DutyQueues, Vec<JoinHandle<()>>)> {
    let (store_tasks, store_queue) = flume::unbounded();
    let (calls, call_queue) = flume::unbounded();
    let caller = worker.clone();
    let threads = vec![
        std::thread::Builder::new()
            .name("duty-records".into())
            .spawn(move || worker.run_store_tasks(&store_queue))?,
        std::thread::Builder::new()
            .name("duty-calls".into())
            .spawn(move || caller.run_calls(&call_queue))?,
    ];
    Ok((DutyQueues { store_tasks, calls }, threads))
}

impl DutyWorker {
    fn run_store_tasks(&self, tasks: &Receiver<UsageStoreTask>) {
        while let Ok(task) = tasks.recv() {
            let reply = self.run_store_task(task);
            if self.events.send(ControlEvent::UsageStored(reply)).is_err() {
                return;
            }
        }
    }

    fn run_store_task(&self, task: UsageStoreTask) -> UsageStoreReply {
        let prefix = &self.codec.record_layout.fleet_prefix;
        let (fence, reply) = match task {
            UsageStoreTask::Read(fence) => {
                let read = read_usages(&self.service, prefix);
                (fence, read.map(|records| UsageStoreReply::Records(fence, records)))
            }
            UsageStoreTask::Write(write) => {
                let (fence, written) = (write.fence, write_usage(&self.service, prefix, &write));
                let reply = written.map(|revision| match revision {
                    Some(_) => UsageStoreReply::Written(write),
                    None => UsageStoreReply::Conflict(fence),
                });
                (fence, reply)
            }
        };
        let label = if reply.is_ok() { "answered" } else { "failed" };
        self.metrics.store_calls.with_label_values(&["usage", label]).inc();
        reply.unwrap_or_else(|error: KeyValueError| {
            log::warn!("usage record not stored or read: {error}");
            UsageStoreReply::Unknown(fence)
        })
    }

    fn run_calls(&self, calls: &Receiver<UsageCall>) {
        let client = PooledClient::new(self.connections.clone(), self.clock)
            .with_response_log(self.metrics.response_log(CALL_NAME))
            .with_close_after_refusal()
            .with_max_response_bytes(MAX_RESPONSE_BYTES);
        while let Ok(call) = calls.recv() {
            let reply = self.send_report(&client, &call);
            if self.events.send(ControlEvent::UsageReported(call, reply)).is_err() {
                return;
            }
        }
    }

    fn send_report(&self, client: &PooledClient, call: &UsageCall) -> DutyReply {
        let (head, body) = (self.codec.encode_usage)(call, &self.holder, self.address);
        let limits = CallLimits {
            connect: CONNECT_TIMEOUT,
            response: RESPONSE_TIMEOUT,
            body: RESPONSE_TIMEOUT,
            send_until: Some(call.decided + MAX_CALL_AGE),
        };
        let reply = match client.call(self.address, &head, &body, limits) {
            Ok((head, _)) => (self.codec.decode_duty_reply)(head.status),
            Err(PooledCallError::NotSent(cause)) => {
                log::debug!("report of window {} not sent: {cause}", call.counts.window);
                DutyReply::NotSent
            }
            Err(PooledCallError::Unknown(cause)) => {
                log::debug!("report of window {} not confirmed: {cause}", call.counts.window);
                DutyReply::Unknown
            }
        };
        self.metrics.duty_calls.with_label_values(&["usage", &reply.to_string()]).inc();
        reply
    }
}
