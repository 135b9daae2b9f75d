//! A caller's claim to the rest of a stream.

use gentian_core::{MonoTime, ServiceId, StreamId};

/// A caller's claim to the rest of a stream.
#[derive(Clone, Debug)]
pub struct TakeUpClaim {
    /// The stream; `None` if the caller doesn't name it.
    pub stream: Option<StreamId>,
    /// Service to which the request would go.
    pub service: ServiceId,
    /// When the request was queued: it arrived, or its stream broke off.
    pub received: MonoTime,
    /// Whether the list of upstreams is recent enough to show every version at which streams may have
    /// begun.
    pub is_list_current: bool,
}
