//! Calls of engines, side by side.

use std::net::SocketAddr;
use std::sync::Arc;

use flume::Sender;
use gentian_core::{EventCode, MonoTime, TimeSpan, UpstreamId, VmId};
use gentian_decide::orders::{EngineCall, EngineOrder, EngineStateReport, OrderReply};
use gentian_http::forward::{
    CallLimits, ConnectionPool, HeaderList, RequestHead, WireCallError, WireCaller,
};
use gentian_http::{ProcessClock, WorkerPool};

use crate::PlatformCodec;
use crate::control::ControlEvent;
use crate::gateway_metrics::GatewayMetrics;

/// Calls of engines at a time.
const CALL_LIMIT: usize = 64;
/// Longest wait for a connection.
const CONNECT_LIMIT: TimeSpan = TimeSpan::from_millis(300);
/// Longest wait for an answer; engines answer orders at once and carry them out later.
const ANSWER_LIMIT: TimeSpan = TimeSpan::from_millis(500);
/// Age after which an order is not sent any more: the lease may have moved on.
const ORDER_AGE_LIMIT: TimeSpan = TimeSpan::from_millis(250);

/// What each call needs.
#[derive(Clone)]
struct CallTools {
    dialect: Arc<PlatformCodec>,
    caller: WireCaller,
    events: Sender<ControlEvent>,
    holder: VmId,
    clock: ProcessClock,
    metrics: GatewayMetrics,
}

/// Makes calls of engines on threads of a pool.
pub(crate) struct EngineCalls {
    pool: WorkerPool,
    tools: CallTools,
}

impl EngineCalls {
    /// Creates the calls of the holder on `holder`.
    pub(crate) fn new(
        dialect: Arc<PlatformCodec>,
        connections: ConnectionPool,
        events: Sender<ControlEvent>,
        holder: VmId,
        clock: ProcessClock,
        metrics: GatewayMetrics,
    ) -> Self {
        let caller = WireCaller::new(connections, clock);
        let tools = CallTools { dialect, caller, events, holder, clock, metrics };
        Self { pool: WorkerPool::new(CALL_LIMIT), tools }
    }

    /// Starts a call; its result comes as an event.
    pub(crate) fn start(&mut self, call: EngineCall) {
        let (tools, job) = (self.tools.clone(), call.clone());
        let decided = tools.clock.now();
        if !self.pool.run(move || tools.run(job, decided)) {
            log::warn!("no thread is free for a call of an engine");
            self.tools.finish(match call {
                EngineCall::Order(order) => ControlEvent::Order(order, OrderReply::Unknown),
                EngineCall::Report { upstream, .. } => ControlEvent::Report(upstream, None),
            });
        }
    }
}

impl CallTools {
    fn run(&self, call: EngineCall, decided: MonoTime) {
        match call {
            EngineCall::Order(order) => self.give_order(order, decided),
            EngineCall::Report { upstream, address } => {
                let report = self.read_report(&upstream, address);
                self.finish(ControlEvent::Report(upstream, report));
            }
        }
    }

    fn give_order(&self, order: EngineOrder, decided: MonoTime) {
        let (head, body) = (self.dialect.encode_order)(&order, self.holder.as_str());
        let reply = self.call(order.address, &head, &body, Some(decided + ORDER_AGE_LIMIT));
        let reply = match reply {
            Ok((status, _)) => (self.dialect.decode_order_reply)(status),
            Err(error) => {
                log::debug!("order to {} without answer: {error}", order.upstream);
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
            self.clock.now().since(decided)
        );
        let labels = [order.action.to_string(), format!("{reply:?}")];
        self.metrics.orders.with_label_values(&labels).inc();
        self.finish(ControlEvent::Order(order, reply));
    }

    fn read_report(&self, upstream: &UpstreamId, address: SocketAddr) -> Option<EngineStateReport> {
        let head = RequestHead {
            method: "GET".into(),
            target: self.dialect.report_path.clone(),
            is_http11: true,
            headers: HeaderList::new().with("Host", address.to_string()),
        };
        let answer = self.call(address, &head, &[], None).map_err(eyre::Error::from);
        let answer = answer.and_then(|(status, body)| {
            eyre::ensure!(status == 200, "status {status}");
            (self.dialect.decode_report)(&body)
        });
        answer.inspect_err(|error| log::debug!("no report of {upstream}: {error:#}")).ok()
    }

    fn call(
        &self,
        address: SocketAddr,
        head: &RequestHead,
        body: &[u8],
        send_until: Option<MonoTime>,
    ) -> Result<(u16, Vec<u8>), WireCallError> {
        let limits = CallLimits { connect: CONNECT_LIMIT, answer: ANSWER_LIMIT, send_until };
        let (head, body) = self.caller.call(address, head, body, limits)?;
        Ok((head.status, body))
    }

    fn finish(&self, event: ControlEvent) {
        if self.events.send(event).is_err() {
            log::debug!("the control thread has ended");
        }
    }
}
