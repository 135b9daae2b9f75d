//! Concurrent HTTP calls to engines.

use std::net::SocketAddr;
use std::sync::Arc;

use flume::Sender;
use gentian_core::{EventCode, MonoTime, TimeSpan, UpstreamId, VmId};
use gentian_decide::orders::{EngineCall, EngineOrder, EngineStateReport, OrderReply};
use gentian_http::forward::{CallLimits, ConnectionPool, HeaderList, PooledClient, RequestHead};
use gentian_http::{ProcessClock, WorkerPool};

use crate::PlatformCodec;
use crate::control::ControlEvent;
use crate::gateway_metrics::GatewayMetrics;

/// Kind of these calls in logs and metrics.
const CALL_NAME: &str = "engine";
/// Maximum number of concurrent calls to engines.
const MAX_CONCURRENT_CALLS: usize = 64;
/// Longest wait for a connection to an engine.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(300);
/// Longest wait for a response; engines acknowledge orders at once and carry them out later.
const RESPONSE_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
/// Size limit in bytes of a response. Reports and replies to orders are far smaller, and as many arrive
/// at the same time as there are concurrent calls.
const MAX_RESPONSE_BYTES: usize = 256 << 10;
const CALL_LIMITS: CallLimits = CallLimits {
    connect: CONNECT_TIMEOUT,
    response: RESPONSE_TIMEOUT,
    body: RESPONSE_TIMEOUT,
    send_until: None,
};
/// Age, counted from the start of its call, after which an order is no longer sent, since another
/// process may hold the lease by then.
const MAX_ORDER_AGE: TimeSpan = TimeSpan::from_millis(250);

/// Makes the HTTP calls to engines; each thread of the pool uses a clone.
#[derive(Clone)]
struct EngineClient {
    codec: Arc<PlatformCodec>,
    http_client: PooledClient,
    events: Sender<ControlEvent>,
    holder: VmId,
    clock: ProcessClock,
    metrics: GatewayMetrics,
}

/// Runs calls to engines on a thread pool.
pub(crate) struct EngineCalls {
    pool: WorkerPool,
    client: EngineClient,
}

impl EngineCalls {
    /// Creates a pool whose orders name `holder` as the lease holder.
    pub(crate) fn new(
        codec: Arc<PlatformCodec>,
        connections: ConnectionPool,
        events: Sender<ControlEvent>,
        holder: VmId,
        clock: ProcessClock,
        metrics: GatewayMetrics,
    ) -> Self {
        let http_client = PooledClient::new(connections, clock)
            .with_response_log(metrics.response_log(CALL_NAME))
            .with_close_after_refusal()
            .with_max_response_bytes(MAX_RESPONSE_BYTES);
        let client = EngineClient { codec, http_client, events, holder, clock, metrics };
        Self { pool: WorkerPool::new(MAX_CONCURRENT_CALLS), client }
    }

    /// Starts a call; its result is sent to the control thread as an event.
    pub(crate) fn start(&mut self, call: EngineCall) {
        let (client, job) = (self.client.clone(), call.clone());
        let started = client.clock.now();
        if !self.pool.run(move || client.run(job, started)) {
            log::warn!("no free thread for a call to an engine");
            self.client.send_event(match call {
                EngineCall::Order(order) => ControlEvent::OrderEnded(order, OrderReply::Unknown),
                EngineCall::Report { upstream, .. } => ControlEvent::EngineReport(upstream, None),
            });
        }
    }
}

impl EngineClient {
    fn run(&self, call: EngineCall, started: MonoTime) {
        match call {
            EngineCall::Order(order) => self.send_order(order, started),
            EngineCall::Report { upstream, address } => {
                let report = self.fetch_report(&upstream, address);
                self.send_event(ControlEvent::EngineReport(upstream, report));
            }
        }
    }

    fn send_order(&self, order: EngineOrder, started: MonoTime) {
        let (head, body) = (self.codec.encode_order)(&order, self.holder.as_str());
        let limits = CallLimits { send_until: Some(started + MAX_ORDER_AGE), ..CALL_LIMITS };
        let reply = self.http_client.call(order.address, &head, &body, limits);
        let reply = match reply {
            Ok((head, _)) => (self.codec.decode_order_reply)(head.status),
            Err(error) => {
                log::debug!("the call with an order to {} failed: {error}", order.upstream);
                OrderReply::Unknown
            }
        };
        log::info!(
            "{} upstream={} action={} target={} expected={} reply={reply:?} after={}",
            EventCode::ORDER_ENDED,
            order.upstream,
            order.action,
            order.target,
            order.expected,
            self.clock.now().since(started)
        );
        let labels = [order.action.to_string(), format!("{reply:?}")];
        self.metrics.orders.with_label_values(&labels).inc();
        self.send_event(ControlEvent::OrderEnded(order, reply));
    }

    fn fetch_report(
        &self,
        upstream: &UpstreamId,
        address: SocketAddr,
    ) -> Option<EngineStateReport> {
        let head = RequestHead {
            method: "GET".into(),
            target: self.codec.report_path.clone(),
            is_http11: true,
            headers: HeaderList::new().with("Host", address.to_string()),
        };
        let response = self.http_client.call(address, &head, &[], CALL_LIMITS);
        let response = response.map_err(eyre::Error::from).and_then(|(head, body)| {
            eyre::ensure!(head.status == 200, "status {}", head.status);
            (self.codec.decode_report)(&body)
        });
        response.inspect_err(|error| log::debug!("no report from {upstream}: {error:#}")).ok()
    }

    fn send_event(&self, event: ControlEvent) {
        if self.events.send(event).is_err() {
            log::debug!("event dropped: the control thread has ended");
        }
    }
}
