//! Faults of a stand-in, set through its control endpoint.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use gentian_core::ParseError;

/// A fault that can be injected into a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum FaultName {
    /// Every call is refused with status 503 and has no effect.
    Down,
    /// Every call takes one second longer.
    Slow,
    /// A call takes effect, but its response is not sent.
    LostResponse,
    /// A response ends in the middle.
    TruncatedResponse,
    /// A response has neither a length nor chunks, and ends with its connection.
    UnframedResponse,
    /// The same, but the connection ends inside an event.
    UnframedTruncation,
    /// Interim responses come without end.
    EndlessHead,
    /// The body of a response has no end, nor has its only event.
    EndlessBody,
    /// The trailer of a chunked body has no end.
    EndlessTrailer,
    /// The status line of a response has no end.
    EndlessStatusLine,
    /// A header field of a response has no end.
    EndlessField,
    /// The line with the size of a chunk has no end.
    EndlessChunkSize,
    /// A body goes on up to a length that is never reached, as one event.
    EndlessLength,
    /// The same, without a length.
    EndlessUnframed,
    /// A report of the replica has no end.
    EndlessReport,
    /// A head comes almost up to its largest size, then byte by byte.
    StalledHead,
    /// The same of an event, or the body of a plain service.
    StalledBody,
    /// The connection ends inside the head of a response.
    TruncatedHead,
    /// The status code of a response is 000.
    ZeroStatus,
    /// The name of a field of a response holds a blank or a control byte.
    BadFieldName,
    /// A trailer holds a line that is no field.
    BadTrailer,
    /// The last chunk of a body comes inside an event.
    ChunkedEventCut,
    /// The length of a body ends inside an event.
    LengthEventCut,
    /// A response without a length begins before a long request was read, ends after a part of its body,
    /// and the connection is reset while the request is still being sent.
    EarlyTruncation,
    /// A stream breaks off, and the request that resumes it gets an error.
    FailedResume,
    /// A request is refused, and the refusal is sent once more with the next request on the
    /// connection.
    RepeatedRefusal,
    /// The same, with refusals that do not name their request.
    RepeatedBareRefusal,
    /// A request is turned away with a time for which no other one is wanted.
    TurnedAway,
    /// Responses state that the server is leaving.
    Leaving,
    /// A response carries the id of another request.
    WrongRequestId,
    /// A load fails after its memory was allocated.
    FailedLoad,
}

impl fmt::Display for FaultName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Down => "down",
            Self::Slow => "slow",
            Self::LostResponse => "lost-answer",
            Self::TruncatedResponse => "cut-answer",
            Self::UnframedResponse => "unframed-answer",
            Self::UnframedTruncation => "unframed-cut",
            Self::EndlessHead => "endless-head",
            Self::EndlessBody => "endless-body",
            Self::EndlessTrailer => "endless-trailer",
            Self::EndlessStatusLine => "endless-status-line",
            Self::EndlessField => "endless-field",
            Self::EndlessChunkSize => "endless-chunk-size",
            Self::EndlessLength => "endless-length",
            Self::EndlessUnframed => "endless-unframed",
            Self::EndlessReport => "endless-report",
            Self::StalledHead => "stalled-head",
            Self::StalledBody => "stalled-body",
            Self::TruncatedHead => "cut-head",
            Self::ZeroStatus => "zero-status",
            Self::BadFieldName => "bad-field",
            Self::BadTrailer => "bad-trailer",
            Self::ChunkedEventCut => "chunked-event-cut",
            Self::LengthEventCut => "length-event-cut",
            Self::EarlyTruncation => "early-cut",
            Self::FailedResume => "failed-resume",
            Self::RepeatedRefusal => "repeated-refusal",
            Self::RepeatedBareRefusal => "repeated-bare-refusal",
            Self::TurnedAway => "turned-away",
            Self::Leaving => "leaving",
            Self::WrongRequestId => "crossed-answer",
            Self::FailedLoad => "failed-load",
        })
    }
}

impl FromStr for FaultName {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let all = [
            Self::Down,
            Self::Slow,
            Self::LostResponse,
            Self::TruncatedResponse,
            Self::UnframedResponse,
            Self::UnframedTruncation,
            Self::EndlessHead,
            Self::EndlessBody,
            Self::EndlessTrailer,
            Self::EndlessStatusLine,
            Self::EndlessField,
            Self::EndlessChunkSize,
            Self::EndlessLength,
            Self::EndlessUnframed,
            Self::EndlessReport,
            Self::StalledHead,
            Self::StalledBody,
            Self::TruncatedHead,
            Self::ZeroStatus,
            Self::BadFieldName,
            Self::BadTrailer,
            Self::ChunkedEventCut,
            Self::LengthEventCut,
            Self::EarlyTruncation,
            Self::FailedResume,
            Self::RepeatedRefusal,
            Self::RepeatedBareRefusal,
            Self::TurnedAway,
            Self::Leaving,
            Self::WrongRequestId,
            Self::FailedLoad,
        ];
        let found = all.into_iter().find(|name| name.to_string() == text);
        found.ok_or_else(|| {
            ParseError::new(
                "fault",
                text,
                "one of down, slow, lost-answer, cut-answer, unframed-answer, unframed-cut, \
                 endless-head, endless-body, endless-trailer, endless-status-line, \
                 endless-field, endless-chunk-size, endless-length, endless-unframed, \
                 endless-report, stalled-head, stalled-body, cut-head, zero-status, bad-field, \
                 bad-trailer, chunked-event-cut, length-event-cut, early-cut, failed-resume, \
                 repeated-refusal, repeated-bare-refusal, turned-away, leaving, crossed-answer, \
                 failed-load",
            )
        })
    }
}

/// Time until which, or number of calls for which, a fault is active.
#[derive(Clone, Copy, Debug)]
enum FaultExtent {
    Until(Instant),
    Times(u64),
}

/// Active faults of a stand-in.
#[derive(Debug, Default)]
pub(crate) struct FaultSwitch {
    faults: Mutex<BTreeMap<FaultName, FaultExtent>>,
}

impl FaultSwitch {
    /// Activates a fault for `span`.
    pub(crate) fn set_for(&self, name: FaultName, span: Duration) {
        self.lock().insert(name, FaultExtent::Until(Instant::now() + span));
    }

    /// Activates a fault for the next `times` calls.
    pub(crate) fn set_times(&self, name: FaultName, times: u64) {
        self.lock().insert(name, FaultExtent::Times(times));
    }

    /// Returns whether a fault applies to this call. If the fault is set for a number of calls, one
    /// of them is used up.
    pub(crate) fn consume(&self, name: FaultName) -> bool {
        let mut faults = self.lock();
        match faults.get_mut(&name) {
            Some(FaultExtent::Until(end)) => Instant::now() < *end,
            Some(FaultExtent::Times(times)) if *times > 0 => {
                *times -= 1;
                true
            }
            _ => false,
        }
    }

    /// Returns the first of these faults that applies to this call, and uses it up like
    /// [`Self::consume`].
    pub(crate) fn consume_any(&self, names: &[FaultName]) -> Option<FaultName> {
        names.iter().copied().find(|name| self.consume(*name))
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<FaultName, FaultExtent>> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
