//! The upstream that is selected for a request.

use std::net::SocketAddr;

use gentian_core::peer::UpstreamWork;
use gentian_core::{RequestRate, UpstreamId};

/// The selected upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamPick {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// Work of all entries there when it was selected.
    pub work: UpstreamWork,
    /// Number of available upstreams that have the target loaded.
    pub candidates: usize,
    /// Limit that the upstream names.
    pub limit: Option<RequestRate>,
}
