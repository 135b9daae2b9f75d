//! Decisions on waiting requests.

use std::net::SocketAddr;

use gentian_core::{RequestId, TokenCount, UpstreamId};

use crate::request::Refusal;

/// What happens to a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallDecision {
    /// The request is sent.
    Send {
        /// The request.
        id: RequestId,
        /// The upstream.
        upstream: UpstreamId,
        /// Address of the upstream.
        address: SocketAddr,
        /// Why this upstream.
        reason: &'static str,
    },
    /// The request is refused.
    Refuse {
        /// The request.
        id: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The upstream answered, or may have run the request; this many tokens were used.
    Done(TokenCount),
    /// No byte of the request was written.
    NotSent,
}
