//! What the dispatcher decides about a waiting request, and how an attempt ended.

use std::net::SocketAddr;

use gentian_core::{RequestId, TokenCount, UpstreamId};

use crate::request::Refusal;

/// Decision about a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallDecision {
    /// Send the request to an upstream.
    Send {
        /// The request.
        id: RequestId,
        /// The upstream.
        upstream: UpstreamId,
        /// Address of the upstream.
        address: SocketAddr,
        /// Why this upstream was chosen, for the log.
        reason: &'static str,
    },
    /// Refuse the request.
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
    /// The upstream responded or may have executed the request; this many tokens were used.
    Done(TokenCount),
    /// The upstream did not execute the request, so another upstream may be tried.
    NotExecuted,
}
