//! A request in progress at an upstream.

use gentian_core::{MonoTime, UpstreamId};

use super::ServingCall;

/// An attempt of a request, from its sending to its end.
#[derive(Debug)]
pub(super) struct RunningCall {
    pub(super) call: ServingCall,
    pub(super) upstream: UpstreamId,
    pub(super) incarnation: u64,
    /// Prompt tokens that the upstream was not expected to hold.
    pub(super) unread_tokens: u32,
    /// Pending prompt tokens at the upstream when it was sent, its own included.
    pub(super) prefill_tokens: u32,
    pub(super) sent: MonoTime,
    pub(super) is_prefilled: bool,
}
