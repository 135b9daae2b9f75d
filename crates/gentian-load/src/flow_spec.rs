//! Specification of a flow of calls.

use gentian_config::SectionReader;
use gentian_core::TimeSpan;

const DEFAULT_MAX_TOKENS: u32 = 16;
const DEFAULT_TIMEOUT: TimeSpan = TimeSpan::from_secs(30);
/// Maximum rate of one flow.
const MAX_CALLS_PER_SECOND: u64 = 5_000;

/// Kind of the calls of a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FlowKind {
    /// Streamed completions. Models at the start of the list are requested more often.
    Completion {
        /// Names of models or adapters.
        models: Vec<String>,
        /// Tokens of each response.
        max_tokens: u32,
    },
    /// Bookings, each with its own idempotency key.
    Booking,
}

/// A flow: caller, kind of call and rate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FlowSpec {
    /// Name in the report.
    pub(crate) name: String,
    /// API key of the caller; `None` for direct calls to an upstream.
    pub(crate) key: Option<String>,
    /// Path of the calls.
    pub(crate) path: String,
    /// Kind of the calls.
    pub(crate) kind: FlowKind,
    /// Calls per second, or zero if the number of concurrent calls is fixed by `open`.
    pub(crate) rate: u64,
    /// Number of concurrent calls, each followed by another when it ends.
    pub(crate) open: usize,
    /// Time of the first call since the start of the run; only for a flow with a rate.
    pub(crate) start: TimeSpan,
    /// Time since the start of the run after which no more calls are sent; only for a flow with a
    /// rate.
    pub(crate) end: Option<TimeSpan>,
    /// Number of targets that the flow uses, from the start of the list; zero for all.
    pub(crate) target_count: usize,
    /// Longest wait for each part of a response.
    pub(crate) timeout: TimeSpan,
}

impl FlowSpec {
    /// Parses the section of a flow.
    pub(crate) fn parse(name: &str, reader: &mut SectionReader<'_>) -> Option<Self> {
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
        if rate > MAX_CALLS_PER_SECOND {
            reader
                .add_fault("rate", format!("'rate' is at most {MAX_CALLS_PER_SECOND} per second"));
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
