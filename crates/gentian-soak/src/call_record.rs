//! Calls and their outcomes as observed by the callers.

use std::time::Instant;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// A resumable stream from a model engine.
    Advice,
    /// A call that may be repeated.
    Look,
    /// A call that may run at most once.
    Book,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// A complete response from an upstream.
    Served,
    /// A refusal with this status, which guarantees that the call was not and will not be executed.
    NotExecuted(u16),
    /// An error with this status, which leaves open whether the call was executed.
    Failed(u16),
    /// The connection ended before a complete response, or could not be opened.
    ConnectionLost,
    /// No response in time.
    Overdue,
    /// A response that violates a guarantee, with the reason.
    Invalid(String),
}

/// One call.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    /// Id of the call.
    pub(crate) id: String,
    /// Its kind.
    pub(crate) kind: CallKind,
    /// Organisation whose API key was sent.
    pub(crate) organisation: &'static str,
    /// Path with the query.
    pub(crate) target: String,
    /// Length of the request body in bytes.
    pub(crate) body_bytes: usize,
    /// Entry to which it was sent.
    pub(crate) entry: usize,
    /// When its connection was opened.
    pub(crate) connected: Instant,
    /// When it was sent.
    pub(crate) sent: Instant,
    /// Whether replicas crash as they begin to respond to it.
    pub(crate) is_crashing: bool,
    /// Version of the replicas that wrote the stream which it takes up.
    pub(crate) resumed_version: Option<String>,
    /// Whether its caller asks for the rest of the stream no more.
    pub(crate) is_last_take_up: bool,
    /// How it ended.
    pub(crate) outcome: CallOutcome,
    /// Replica that the response said is leaving, and when the response arrived.
    pub(crate) leaving: Option<(String, Instant)>,
}
