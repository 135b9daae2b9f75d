//! The language of a platform, as closures.

use gentian_config::serving::ServingConfig;
use gentian_core::DomainId;
use gentian_decide::orders::{EngineOrder, EngineStateReport, OrderReply};
use gentian_decide::serving::UpstreamEntry;
use gentian_http::forward::{RequestHead, ResponseHead};

use crate::{AnswerMarks, CallerMarks, UpstreamHead};

type KeyFn<T> = Box<dyn Fn(&str) -> Option<T> + Send + Sync>;
type HeadFn<T> = Box<dyn Fn(&RequestHead, &T) -> RequestHead + Send + Sync>;
type ReportFn = Box<dyn Fn(&[u8]) -> eyre::Result<EngineStateReport> + Send + Sync>;
type OrderFn = Box<dyn Fn(&EngineOrder, &str) -> (RequestHead, Vec<u8>) + Send + Sync>;
type DecodeFn<T> = Box<dyn Fn(&str, &[u8]) -> eyre::Result<T> + Send + Sync>;

/// Where records lie in the key-value service.
#[derive(Clone, Debug)]
pub struct RecordNames {
    /// Prefix of all records of the operators.
    pub operator_prefix: String,
    /// Record of the configuration.
    pub config_key: String,
    /// Prefix of the registrations of upstreams.
    pub upstream_prefix: String,
    /// Prefix of the system's own records.
    pub own_prefix: String,
}

/// How callers, upstreams and operators of a platform speak.
pub struct FleetDialect {
    /// Where records lie.
    pub records: RecordNames,
    /// Path of the reports of engines.
    pub report_path: String,
    /// Decodes the configuration.
    pub read_config: DecodeFn<ServingConfig>,
    /// Decodes the registration of an upstream, given its key.
    pub read_upstream: DecodeFn<UpstreamEntry>,
    /// Returns the failure domain that an operator's record takes out, given its key.
    pub read_drained: KeyFn<DomainId>,
    /// Decodes the head of a request.
    pub read_request: Box<dyn Fn(&RequestHead) -> CallerMarks + Send + Sync>,
    /// Encodes the head of a request to an upstream.
    pub write_request: HeadFn<UpstreamHead>,
    /// Decodes the head of an answer.
    pub read_answer: Box<dyn Fn(&ResponseHead) -> AnswerMarks + Send + Sync>,
    /// Decodes the report of an engine.
    pub read_report: ReportFn,
    /// Encodes an order, given the name of the holder, as a head and a body.
    pub write_order: OrderFn,
    /// Decodes the status of the answer to an order.
    pub read_order_reply: Box<dyn Fn(u16) -> OrderReply + Send + Sync>,
}
