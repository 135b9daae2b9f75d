//! Encoding and decoding of a platform's messages, as closures.

use std::net::SocketAddr;

use gentian_config::serving::ServingConfig;
use gentian_core::{DomainId, UpstreamId, VmId};
use gentian_decide::duties::{DutyReply, UsageCall};
use gentian_decide::orders::{EngineOrder, EngineStateReport, OrderReply};
use gentian_decide::serving::UpstreamRegistration;
use gentian_decide::streams::ReportedStart;
use gentian_http::forward::{RequestHead, ResponseHead};

use crate::{ForwardMetadata, RequestMetadata, ResponseMetadata};

type DecodeKeyFn<T> = Box<dyn Fn(&str) -> Option<T> + Send + Sync>;
type EncodeHeadFn<T> = Box<dyn Fn(&RequestHead, &T) -> RequestHead + Send + Sync>;
type DecodeReportFn = Box<dyn Fn(&[u8]) -> eyre::Result<EngineStateReport> + Send + Sync>;
type EncodeStartCallFn = Box<dyn Fn(&UpstreamId, SocketAddr) -> RequestHead + Send + Sync>;
type DecodeStartFn = Box<dyn Fn(&ResponseHead, &[u8]) -> ReportedStart + Send + Sync>;
type EncodeOrderFn = Box<dyn Fn(&EngineOrder, &str) -> (RequestHead, Vec<u8>) + Send + Sync>;
type EncodeUsageFn =
    Box<dyn Fn(&UsageCall, &VmId, SocketAddr) -> (RequestHead, Vec<u8>) + Send + Sync>;
type DecodeRecordFn<T> = Box<dyn Fn(&str, &[u8]) -> eyre::Result<T> + Send + Sync>;

/// Keys and key prefixes of records in the key-value service.
#[derive(Clone, Debug)]
pub struct RecordLayout {
    /// Prefix of all records that operators write.
    pub operator_prefix: String,
    /// Key of the configuration record.
    pub config_key: String,
    /// Prefix of upstream registrations.
    pub upstream_prefix: String,
    /// Prefix of the records that the entries of the fleet write.
    pub fleet_prefix: String,
}

/// Encodes and decodes the messages of a platform's callers, upstreams and operators.
pub struct PlatformCodec {
    /// Keys of the records.
    pub record_layout: RecordLayout,
    /// URL path at which an engine serves its state report.
    pub report_path: String,
    /// Decodes the configuration, given its key and value.
    pub decode_config: DecodeRecordFn<ServingConfig>,
    /// Decodes the registration of an upstream, given its key and value.
    pub decode_registration: DecodeRecordFn<UpstreamRegistration>,
    /// Returns the failure domain that an operator's record drains, given the record's key; `None`
    /// if it is another kind of record.
    pub decode_drained_domain: DecodeKeyFn<DomainId>,
    /// Decodes the head of a caller's request.
    pub decode_request: Box<dyn Fn(&RequestHead) -> RequestMetadata + Send + Sync>,
    /// Encodes the head of a request to an upstream from the caller's head and the added metadata.
    pub encode_request: EncodeHeadFn<ForwardMetadata>,
    /// Decodes the head of an upstream's response.
    pub decode_response: Box<dyn Fn(&ResponseHead) -> ResponseMetadata + Send + Sync>,
    /// Decodes the state report of an engine.
    pub decode_report: DecodeReportFn,
    /// Encodes the head of a call that asks an upstream for its start.
    pub encode_start_call: EncodeStartCallFn,
    /// Decodes the response to it.
    pub decode_start: DecodeStartFn,
    /// Encodes an order as a head and a body, given the VM of the lease holder that sends it.
    pub encode_order: EncodeOrderFn,
    /// Decodes the response status of an order.
    pub decode_order_reply: Box<dyn Fn(u16) -> OrderReply + Send + Sync>,
    /// Encodes a report of usage as a head and a body, given the VM of the holder and the address of
    /// the platform's API.
    pub encode_usage: EncodeUsageFn,
    /// Decodes the response status of a call of a duty.
    pub decode_duty_reply: Box<dyn Fn(u16) -> DutyReply + Send + Sync>,
}
