//! What callers saw.

use std::time::Instant;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// A resumable stream of a model.
    Advice,
    /// A call that may be repeated.
    Look,
    /// A call that may run at most once.
    Book,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// A whole answer of an upstream.
    Served,
    /// A promise that the call has not run and never will.
    NotRun(u16),
    /// An answer that promises nothing.
    Failed(u16),
    /// The connection ended without a whole answer, or could not be opened.
    Cut,
    /// Nothing came in time.
    Overdue,
    /// An answer that breaks a promise.
    Wrong(String),
}

/// One call.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    /// Id of the call.
    pub(crate) id: String,
    /// Its kind.
    pub(crate) kind: CallKind,
    /// Organisation whose key it bore.
    pub(crate) organisation: &'static str,
    /// Path with the query.
    pub(crate) target: String,
    /// Bytes of its body.
    pub(crate) body_bytes: usize,
    /// Entry that it was sent to.
    pub(crate) entry: usize,
    /// When it was sent.
    pub(crate) sent: Instant,
    /// How it ended.
    pub(crate) outcome: CallOutcome,
}
