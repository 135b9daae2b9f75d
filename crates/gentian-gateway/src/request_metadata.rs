//! What the heads of requests and answers say, free of their spelling.

use gentian_core::peer::TargetId;
use gentian_core::{OrganisationId, TimeSpan, UpstreamId};
use gentian_decide::request::CallerKey;

/// What the head of a request says.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// The caller's name of the request.
    pub request_id: String,
    /// Host that the caller names.
    pub host: String,
    /// How long the caller waits.
    pub timeout: Option<TimeSpan>,
    /// The caller's key.
    pub key: Option<CallerKey>,
    /// What the request needs loaded.
    pub target: Option<TargetId>,
    /// Tokens of the prompt, and most tokens of the answer.
    pub tokens: Option<(u32, u32)>,
    /// Parts of the prompt that other requests may share, as digest and tokens, in their order; the
    /// last part belongs to the request itself.
    pub prompt_prefix: Vec<(u64, u32)>,
}

/// What the system adds to the head of a request on its way to an upstream.
#[derive(Clone, Debug)]
pub struct ForwardMetadata {
    /// Upstream that must answer; any other one refuses.
    pub upstream: UpstreamId,
    /// Time that is left.
    pub timeout: TimeSpan,
    /// Organisation that is charged.
    pub organisation: Option<OrganisationId>,
    /// Rank of the request, 0 first.
    pub priority: u8,
    /// Event after which a stream goes on.
    pub resume_after: Option<u64>,
    /// Length of the body in bytes; `None` if the request has none.
    pub body_bytes: Option<usize>,
}

/// What the head of an answer says.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// The caller's name of the request that is answered.
    pub request_id: Option<String>,
    /// Whether the answer bears the signature of an upstream.
    pub is_signed: bool,
    /// Whether the upstream says that it did not run the request.
    pub is_not_executed: bool,
}
