//! One flow of calls.

use gentian_config::SectionReader;
use gentian_core::TimeSpan;

const DEFAULT_MAX_TOKENS: u32 = 16;
const DEFAULT_TIMEOUT: TimeSpan = TimeSpan::from_secs(30);
/// Calls per second that one flow may send.
const RATE_LIMIT: u64 = 5_000;

/// What a flow calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FlowKind {
    /// Streamed completions of these models; earlier ones are asked for more often.
    Completion {
        /// Names of models or adapters.
        models: Vec<String>,
        /// Tokens of each answer.
        max_tokens: u32,
    },
    /// Bookings, each with an idempotency key of its own.
    Booking,
}

/// A flow: who calls what, and how often.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FlowSpec {
    /// Name in the report.
    pub(crate) name: String,
    /// Key of the caller; none for a direct call of an upstream.
    pub(crate) key: Option<String>,
    /// Path of the calls.
    pub(crate) path: String,
    /// What is called.
    pub(crate) kind: FlowKind,
    /// Calls per second, or zero if `open` calls are kept open.
    pub(crate) rate: u64,
    /// Calls kept open, each followed by the next.
    pub(crate) open: usize,
    /// Time of the first call.
    pub(crate) start: TimeSpan,
    /// Time from which on no call is sent any more.
    pub(crate) end: Option<TimeSpan>,
    /// Targets to which the flow is limited; all if zero.
    pub(crate) target_count: usize,
    /// Longest wait for each piece of an answer.
    pub(crate) timeout: TimeSpan,
}

impl FlowSpec {
    /// Reads the section of a flow.
    pub(crate) fn read(name: &str, reader: &mut SectionReader<'_>) -> Option<Self> {
        let key = reader.optional("key");
        let path = reader.required("path");
        let models: Vec<String> = reader.list("models");
        let max_tokens = reader.optional("max_tokens").unwrap_or(DEFAULT_MAX_TOKENS);
        let rate: u64 = reader.optional("rate").unwrap_or(0);
        let open: usize = reader.optional("open").unwrap_or(0);
        let start = reader.optional("start").unwrap_or(TimeSpan::ZERO);
        let end = reader.optional("end");
        let target_count = reader.optional("target_count").unwrap_or(0);
        let timeout = reader.optional("timeout").unwrap_or(DEFAULT_TIMEOUT);
        if (rate == 0) == (open == 0) {
            reader.add_fault("rate", "a flow needs either 'rate' or 'open'");
        }
        if rate > RATE_LIMIT {
            reader.add_fault("rate", format!("'rate' is at most {RATE_LIMIT} per second"));
        }
        let kind = match models.is_empty() {
            true => FlowKind::Booking,
            false => FlowKind::Completion { models, max_tokens },
        };
        let name = name.to_owned();
        let path = path?;
        Some(Self { name, key, path, kind, rate, open, start, end, target_count, timeout })
    }
}
