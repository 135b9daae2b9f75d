//! Limit of log lines under a flood.

use std::sync::{Mutex, PoisonError};

use gentian_core::{MonoTime, TimeSpan};

const WINDOW: TimeSpan = TimeSpan::from_secs(1);

/// What happens to a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogDecision {
    /// The line is written.
    Write,
    /// The line is written behind a line that says how many were dropped.
    WriteAfterDropped(u64),
    /// The line is dropped.
    Drop,
}

#[derive(Debug, Default)]
struct GateState {
    window_start: MonoTime,
    passed: u64,
    dropped: u64,
}

/// Passes a limited number of lines in each second and counts the others.
#[derive(Debug)]
pub struct LogLimiter {
    limit: u64,
    state: Mutex<GateState>,
}

impl LogLimiter {
    /// Creates a gate that passes `limit` lines a second.
    pub fn new(limit: u64) -> Self {
        Self { limit, state: Mutex::default() }
    }

    /// Decides on a line.
    pub fn decide(&self, now: MonoTime) -> LogDecision {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(state.window_start) >= WINDOW {
            let dropped = std::mem::take(&mut state.dropped);
            state.window_start = now;
            state.passed = 1;
            return if dropped > 0 {
                LogDecision::WriteAfterDropped(dropped)
            } else {
                LogDecision::Write
            };
        }
        if state.passed < self.limit {
            state.passed += 1;
            return LogDecision::Write;
        }
        state.dropped += 1;
        LogDecision::Drop
    }
}
