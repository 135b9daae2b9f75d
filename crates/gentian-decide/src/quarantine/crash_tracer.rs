//! Decides when the hub stores a trace of crashes.

use gentian_core::peer::SuspectReport;
use gentian_core::{MonoTime, TimeSpan, UpstreamId, WorkId};

/// Shortest time between two traces, so that a series of crashes doesn't cost a call for each.
const MIN_TRACE_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

/// Decides when the hub stores a trace of crashes, from which entries that all ended at once know what
/// was suspected before. Nothing is stored while no work is suspected of more than one crash.
#[derive(Debug, Default)]
pub struct CrashTracer {
    /// What the stored trace names.
    stored: Vec<(UpstreamId, Vec<WorkId>)>,
    traced: Option<MonoTime>,
}

impl CrashTracer {
    /// Creates the tracer of an entry that has read `stored`.
    pub fn new(stored: &[SuspectReport]) -> Self {
        Self { stored: name_suspects(stored), traced: None }
    }

    /// Records which trace is stored, as it was read.
    pub fn update_stored(&mut self, stored: &[SuspectReport]) {
        self.stored = name_suspects(stored);
    }

    /// Returns whether a change of the trace may be stored now.
    pub fn is_due(&self, now: MonoTime) -> bool {
        self.traced.is_none_or(|traced| now.since(traced) >= MIN_TRACE_INTERVAL)
    }

    /// Returns whether `trace` differs from the stored one, and takes it as stored then.
    pub fn record_trace(&mut self, trace: &[SuspectReport], now: MonoTime) -> bool {
        let suspects = name_suspects(trace);
        if suspects == self.stored {
            return false;
        }
        self.stored = suspects;
        self.traced = Some(now);
        true
    }
}

fn name_suspects(trace: &[SuspectReport]) -> Vec<(UpstreamId, Vec<WorkId>)> {
    trace.iter().map(|report| (report.upstream.clone(), report.works.clone())).collect()
}
