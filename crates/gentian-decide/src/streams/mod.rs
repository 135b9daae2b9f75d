//! Decisions on streams that callers take up: which upstreams may go on with them.

mod known_start;
mod open_query;
mod origin_log;
mod origin_tracer;
mod query_budget;
mod stream_origins;
mod take_up;
mod take_up_claim;
mod unknown_cause;

pub use known_start::{KnownStart, ReportedStart, TakeUpCheck};
use open_query::OpenQuery;
use origin_log::OriginLog;
pub use origin_tracer::OriginTracer;
use query_budget::QueryBudget;
pub use stream_origins::StreamOrigins;
pub use take_up::TakeUp;
pub use take_up_claim::TakeUpClaim;
pub use unknown_cause::UnknownCause;
