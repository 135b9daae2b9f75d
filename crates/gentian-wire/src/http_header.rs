//! Names of the HTTP headers that the system sets or reads.

/// Identifies a request in responses and in calls to upstreams.
pub const REQUEST_ID: &str = "X-Request-Id";

/// Identifies the retries of a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

/// States in a refusal whether the request ran: `no` or `unknown`.
pub const RUN_STATE: &str = "X-Run-State";

/// Header for the fencing number of an order to an engine. Not used by this code, which sends the
/// number in the body of the order.
pub const ENGINE_FENCE: &str = "X-Fence";
