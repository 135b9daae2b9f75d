//! Bounds on what a caller may send.

use gentian_core::TimeSpan;

/// Bounds on what a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head in bytes.
    pub head_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request to the end of its body.
    pub request_time: TimeSpan,
    /// Longest time for which a kept connection may be idle.
    pub idle_time: TimeSpan,
}

impl Default for CallerLimits {
    /// Returns the limits before the first configuration.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            request_time: TimeSpan::from_secs(3),
            idle_time: TimeSpan::from_secs(15),
        }
    }
}
