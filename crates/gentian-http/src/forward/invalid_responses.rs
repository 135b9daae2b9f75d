//! Counter of invalid responses.

use prometheus::{IntCounterVec, Opts};

use super::ResponseFault;

/// Counts invalid responses by the kind of call and the check that they failed.
#[derive(Clone, Debug)]
pub struct InvalidResponses {
    counts: IntCounterVec,
}

impl InvalidResponses {
    /// Creates the counter.
    ///
    /// # Errors
    ///
    /// Returns an error if the name of the metric is invalid.
    pub fn new() -> prometheus::Result<Self> {
        let options = Opts::new(
            "gentian_invalid_responses_total",
            "Responses of other servers that are invalid or not whole, by kind of call and check.",
        );
        Ok(Self { counts: IntCounterVec::new(options, &["call", "check"])? })
    }

    /// Returns the counter, for a registry.
    pub fn counts(&self) -> IntCounterVec {
        self.counts.clone()
    }

    /// Counts an invalid response to a call of this kind.
    pub(crate) fn count(&self, call_name: &str, fault: ResponseFault) {
        self.counts.with_label_values(&[call_name, &fault.to_string()]).inc();
    }
}
