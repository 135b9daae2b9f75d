//! Bounds on what a caller may send.

use gentian_core::TimeSpan;

/// Bounds on what a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head in bytes.
    pub max_header_bytes: usize,
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a request to the end of its body.
    pub request_timeout: TimeSpan,
    /// Longest time for which a keep-alive connection may be idle.
    pub idle_timeout: TimeSpan,
}

impl Default for CallerLimits {
    /// Returns the limits that apply before the first configuration.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            request_timeout: TimeSpan::from_secs(3),
            idle_timeout: TimeSpan::from_secs(15),
        }
    }
}
