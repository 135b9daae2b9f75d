//! Refusals of requests.

use std::fmt;

use gentian_core::TimeSpan;

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalCode {
    /// The request itself is malformed.
    BadRequest,
    /// The body is larger than allowed.
    TooLarge,
    /// The request has no API key, or an unknown one.
    InvalidKey,
    /// The key's organisation may not use the route.
    Forbidden,
    /// No route or model has this name.
    NotFound,
    /// The route does not accept the method.
    WrongMethod,
    /// The organisation's quota is used up.
    RateLimited,
    /// The request needs more tokens than the organisation can have at once.
    ExceedsBurst,
    /// The deadline passed before an upstream responded.
    DeadlineExceeded,
    /// Too many requests are queued, no upstream accepts the request, or the process is shutting
    /// down.
    Overloaded,
    /// The configuration cannot be confirmed.
    ConfigStale,
    /// An earlier call with the same idempotency key has an unknown outcome.
    OutcomeUnknown,
    /// The idempotency key was used with a different body.
    KeyReused,
    /// The call cannot be recorded under its idempotency key at the moment.
    RecordUnavailable,
    /// A part of the prompt makes upstreams end.
    PromptQuarantined,
    /// The request makes upstreams end.
    RequestQuarantined,
    /// No upstream is known that writes the same text as the one that began a stream.
    StreamNotResumable,
    /// An upstream failed after the request was sent, and may have executed it.
    UpstreamFailed,
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::InvalidKey => "invalid_api_key",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::WrongMethod => "method_not_allowed",
            Self::RateLimited => "rate_limit_exceeded",
            Self::ExceedsBurst => "exceeds_burst",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::Overloaded => "overloaded",
            Self::ConfigStale => "config_stale",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::KeyReused => "idempotency_key_reused",
            Self::RecordUnavailable => "record_unavailable",
            Self::PromptQuarantined => "prompt_quarantined",
            Self::RequestQuarantined => "request_quarantined",
            Self::StreamNotResumable => "stream_not_resumable",
            Self::UpstreamFailed => "upstream_failed",
        })
    }
}

/// Whether an upstream executed a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// No upstream executed the request.
    No,
    /// The request may have been executed.
    Unknown,
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        })
    }
}

/// Refusal of a request, as returned to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub code: RefusalCode,
    /// Explanation for the caller, and what it can do.
    pub message: String,
    /// Whether the request was executed.
    pub run: RunState,
    /// Time after which a retry may succeed.
    pub retry_after: Option<TimeSpan>,
}

impl Refusal {
    /// Creates the refusal of a request that was not executed.
    pub fn new(code: RefusalCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), run: RunState::No, retry_after: None }
    }

    /// Marks the request as possibly executed.
    pub fn with_unknown_run(self) -> Self {
        Self { run: RunState::Unknown, ..self }
    }

    /// Sets the time after which a retry may succeed.
    pub fn with_retry_after(self, span: TimeSpan) -> Self {
        Self { retry_after: Some(span), ..self }
    }
}
