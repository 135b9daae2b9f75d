//! The language of a platform, as closures.

use gentian_config::serving::ServingConfig;
use gentian_core::DomainId;
use gentian_decide::orders::{EngineOrder, EngineStateReport, OrderReply};
use gentian_decide::serving::UpstreamRegistration;
use gentian_http::forward::{RequestHead, ResponseHead};

use crate::{ForwardMetadata, RequestMetadata, ResponseMetadata};

type KeyFn<T> = Box<dyn Fn(&str) -> Option<T> + Send + Sync>;
type HeadFn<T> = Box<dyn Fn(&RequestHead, &T) -> RequestHead + Send + Sync>;
type ReportFn = Box<dyn Fn(&[u8]) -> eyre::Result<EngineStateReport> + Send + Sync>;
type OrderFn = Box<dyn Fn(&EngineOrder, &str) -> (RequestHead, Vec<u8>) + Send + Sync>;
type DecodeFn<T> = Box<dyn Fn(&str, &[u8]) -> eyre::Result<T> + Send + Sync>;

/// Where records lie in the key-value service.
#[derive(Clone, Debug)]
pub struct RecordLayout {
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
pub struct PlatformCodec {
    /// Where records lie.
    pub record_layout: RecordLayout,
    /// Path of the reports of engines.
    pub report_path: String,
    /// Decodes the configuration.
    pub decode_config: DecodeFn<ServingConfig>,
    /// Decodes the registration of an upstream, given its key.
    pub decode_registration: DecodeFn<UpstreamRegistration>,
    /// Returns the failure domain that an operator's record takes out, given its key.
    pub decode_drained_domain: KeyFn<DomainId>,
    /// Decodes the head of a request.
    pub decode_request: Box<dyn Fn(&RequestHead) -> RequestMetadata + Send + Sync>,
    /// Encodes the head of a request to an upstream.
    pub encode_request: HeadFn<ForwardMetadata>,
    /// Decodes the head of an answer.
    pub decode_response: Box<dyn Fn(&ResponseHead) -> ResponseMetadata + Send + Sync>,
    /// Decodes the report of an engine.
    pub decode_report: ReportFn,
    /// Encodes an order, given the name of the holder, as a head and a body.
    pub encode_order: OrderFn,
    /// Decodes the status of the answer to an order.
    pub decode_order_reply: Box<dyn Fn(u16) -> OrderReply + Send + Sync>,
}
