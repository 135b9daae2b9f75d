//! Limits of requests that upstreams name for all entries together: the hub grants permits, and
//! entries without a hub keep to shares.

mod permit_client;
mod permit_ledger;
mod request_share;

pub use permit_client::{PermitClient, PermitState};
pub use permit_ledger::PermitLedger;
pub use request_share::RequestShare;

use gentian_core::{RequestRate, TimeSpan};

/// Time for which a permit is valid, from the moment at which the entry asked for it.
const PERMIT_TTL: TimeSpan = TimeSpan::from_millis(250);
/// Window in which requests of entries without a hub are counted.
const SHARE_WINDOW: TimeSpan = TimeSpan::from_millis(4_200);
/// Requests in that window beyond what the limit allows in a second, for all entries together. While
/// a hub is lost or found, its permits and the shares add up in one window, and stay within one and
/// a half times the limit and a few requests.
const SHARE_REQUESTS: f64 = 2.0;
/// Smallest limit that is applied: without any request, an entry would not learn that an upstream
/// names no limit any more.
const MIN_LIMIT: RequestRate = RequestRate::from_millis(250);

/// Permits that the hub may save up: this many, and what the limit allows in this time.
const SAVED_PERMITS: f64 = 2.5;
const SAVED_TIME: TimeSpan = TimeSpan::from_millis(500);

/// Returns the requests that all entries without a hub may send within [`SHARE_WINDOW`].
fn share_requests(limit: RequestRate) -> u32 {
    (limit.max(MIN_LIMIT).per_second() + SHARE_REQUESTS) as u32
}

/// Returns the permits that the hub may save up.
fn permit_capacity(limit: RequestRate) -> f64 {
    SAVED_PERMITS + limit.max(MIN_LIMIT).requests_in(SAVED_TIME)
}
