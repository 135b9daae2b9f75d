//! Decides when an entry stores which versions serve and began the latest streams.

use gentian_core::peer::{OriginTrace, ServiceVersion};
use gentian_core::{MonoTime, TimeSpan};

/// Shortest time between two checks whether the trace has changed.
const MIN_TRACE_INTERVAL: TimeSpan = TimeSpan::from_millis(250);

/// Decides when an entry stores which versions serve and began the latest streams. After all entries have
/// ended at once, that is all that is known.
#[derive(Debug, Default)]
pub struct OriginTracer {
    stored: OriginTrace,
    checked: Option<MonoTime>,
}

impl OriginTracer {
    /// Creates the tracer of an entry that has read `stored`.
    pub fn new(stored: OriginTrace) -> Self {
        Self { stored, checked: None }
    }

    /// Records which trace is stored, as it was read.
    pub fn update_stored(&mut self, stored: OriginTrace) {
        self.stored = stored;
    }

    /// Takes note that the key-value service has lost what was stored.
    pub fn forget_stored(&mut self) {
        self.stored = OriginTrace::default();
        self.checked = None;
    }

    /// Returns whether these are the stored versions.
    pub fn has_versions(&self, versions: &[ServiceVersion]) -> bool {
        self.stored.versions == versions
    }

    /// Returns whether a changed trace may be stored now, and if so counts this as the check.
    pub fn begin_check(&mut self, now: MonoTime) -> bool {
        let is_due = self.checked.is_none_or(|checked| now.since(checked) >= MIN_TRACE_INTERVAL);
        if is_due {
            self.checked = Some(now);
        }
        is_due
    }

    /// Returns whether `trace` differs from the stored one, and takes it as stored then.
    pub fn record_trace(&mut self, trace: &OriginTrace) -> bool {
        if *trace == self.stored {
            return false;
        }
        self.stored = trace.clone();
        true
    }
}
