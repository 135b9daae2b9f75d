//! Metadata from the heads of requests and responses, independent of header names.

use gentian_core::peer::TargetId;
use gentian_core::{OrganisationId, RequestRate, TimeSpan, UpstreamId};
use gentian_decide::request::CallerKey;
use gentian_decide::selection::ReportedLoad;

/// Metadata of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// The caller's own id of the request.
    pub request_id: String,
    /// Host in the request, without a port.
    pub host: String,
    /// How long the caller waits for the response.
    pub timeout: Option<TimeSpan>,
    /// Authentication key of the caller.
    pub key: Option<CallerKey>,
    /// Model, with an adapter if there is one, that the request needs loaded.
    pub target: Option<TargetId>,
    /// Number of prompt tokens and maximum number of response tokens.
    pub tokens: Option<(u32, u32)>,
    /// Event after which the caller wants a stream to resume; `None` for a new one.
    pub resume_after: Option<u64>,
    /// The caller's own id of the request that brought the first event of that stream.
    pub resumed_request: Option<String>,
    /// Consecutive parts of the prompt, as digest and token count. Other requests may share all
    /// parts but the last, which belongs to this request only.
    pub prompt_prefix: Vec<(u64, u32)>,
}

/// Metadata that the gateway adds to a request that it forwards to an upstream.
#[derive(Clone, Debug)]
pub struct ForwardMetadata {
    /// Upstream that the request is meant for; any other one refuses it.
    pub upstream: UpstreamId,
    /// Time left until the request's deadline.
    pub timeout: TimeSpan,
    /// Organisation that is charged.
    pub organisation: Option<OrganisationId>,
    /// Priority of the request; 0 is the highest.
    pub priority: u8,
    /// Id of the event after which a stream resumes.
    pub resume_after: Option<u64>,
    /// Length of the body in bytes; `None` if the request has none.
    pub body_bytes: Option<usize>,
}

/// Metadata of an upstream's response.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// The caller's own id of the request that this response belongs to.
    pub request_id: Option<String>,
    /// Whether the response carries the stamp of an upstream; the stamp is not verified.
    pub has_upstream_stamp: bool,
    /// Whether the upstream states that it did not execute the request.
    pub is_not_executed: bool,
    /// Requests that the upstream accepts from all entries together, for as long as its responses
    /// name this limit.
    pub request_limit: Option<RequestRate>,
    /// Load of the upstream, if it reports a plausible one.
    pub load: Option<ReportedLoad>,
    /// Whether the upstream states that it is leaving.
    pub is_leaving: bool,
    /// For how long the upstream, which turned the request away, wants no request from this entry.
    pub pause: Option<TimeSpan>,
}
