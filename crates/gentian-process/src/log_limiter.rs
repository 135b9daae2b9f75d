//! Rate limit for log lines.

use std::sync::{Mutex, PoisonError};

use gentian_core::{MonoTime, TimeSpan};

/// Length of the window in which lines are counted.
const WINDOW: TimeSpan = TimeSpan::from_secs(1);

/// Whether a log line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogDecision {
    /// The line is written.
    Write,
    /// The line is written after a line that reports how many were dropped.
    WriteAfterDropped(u64),
    /// The line is dropped.
    Drop,
}

#[derive(Debug, Default)]
struct LimiterState {
    window_start: MonoTime,
    written: u64,
    dropped: u64,
}

/// Lets a limited number of lines through in each second and counts the dropped ones.
#[derive(Debug)]
pub struct LogLimiter {
    limit: u64,
    state: Mutex<LimiterState>,
}

impl LogLimiter {
    /// Creates a limiter for `limit` lines per second.
    pub fn new(limit: u64) -> Self {
        Self { limit, state: Mutex::default() }
    }

    /// Decides whether a line is written at `now`.
    pub fn decide(&self, now: MonoTime) -> LogDecision {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(state.window_start) >= WINDOW {
            let dropped = std::mem::take(&mut state.dropped);
            state.window_start = now;
            state.written = 1;
            return if dropped > 0 {
                LogDecision::WriteAfterDropped(dropped)
            } else {
                LogDecision::Write
            };
        }
        if state.written < self.limit {
            state.written += 1;
            return LogDecision::Write;
        }
        state.dropped += 1;
        LogDecision::Drop
    }
}
