//! Log of the invalid responses that one client gets.

use std::fmt;

use gentian_core::EventCode;

use super::{InvalidResponses, ResponseError, ResponseFault};

/// Logs the invalid responses to calls of one kind, and counts them if it has a counter.
#[derive(Clone, Debug)]
pub struct ResponseLog {
    /// Kind of the calls in logs and metrics.
    call_name: &'static str,
    invalid_responses: Option<InvalidResponses>,
}

impl ResponseLog {
    /// Creates a log for calls of this kind.
    pub const fn new(call_name: &'static str) -> Self {
        Self { call_name, invalid_responses: None }
    }

    /// Sets the counter.
    pub fn with_counter(self, invalid_responses: InvalidResponses) -> Self {
        Self { invalid_responses: Some(invalid_responses), ..self }
    }

    /// Records why a call of `server` has no response, if what came was invalid or not whole.
    pub fn record_error(&self, server: impl fmt::Display, error: ResponseError) {
        if let ResponseError::Invalid(fault) = error {
            self.record(server, fault);
        }
    }

    /// Records an invalid response of `server`.
    pub fn record(&self, server: impl fmt::Display, fault: ResponseFault) {
        let (code, call_name) = (EventCode::RESPONSE_INVALID, self.call_name);
        log::info!("{code} call={call_name} server={server} check={fault}");
        if let Some(invalid_responses) = &self.invalid_responses {
            invalid_responses.count(call_name, fault);
        }
    }
}
