//! Decisions of an entry in a serving fleet: quotas, load balancing, retries, and the exchange with
//! the hub, which aggregates use over all entries.

mod attempt_end;
mod attempt_progress;
mod call_scheduler;
mod cold_limiter;
mod fleet_hub;
mod hub_client;
mod limited_capacity;
mod pending_watch;
mod pick_outcome;
mod prefill_time;
mod quota_limit;
mod quota_limiter;
mod report_interval;
mod revised_map;
mod selection_cost;
mod serving_bounds;
mod serving_call;
mod shared_retry_budget;
mod upstream_pick;
mod upstream_registration;
mod upstream_row;
mod upstream_table;

pub use attempt_end::AttemptEnd;
pub use attempt_progress::AttemptProgress;
pub use call_scheduler::{CallScheduler, ScheduleDecision};
pub use cold_limiter::ColdLimiter;
pub use fleet_hub::{FleetHub, TargetUse};
pub use hub_client::HubClient;
pub use limited_capacity::LimitedCapacity;
pub use pending_watch::PendingWatch;
pub use pick_outcome::PickOutcome;
pub use prefill_time::PrefillTime;
pub use quota_limit::QuotaLimit;
pub use quota_limiter::{FleetPartition, QuotaLimiter, QuotaOutcome};
use revised_map::RevisedMap;
pub use serving_bounds::ServingBounds;
pub use serving_call::{AttemptOutcome, ServingCall};
pub use shared_retry_budget::SharedRetryBudget;
pub use upstream_pick::UpstreamPick;
pub use upstream_registration::{EngineModels, LoadedModel, UpstreamRegistration, UpstreamState};
pub use upstream_row::UpstreamRow;
pub use upstream_table::UpstreamTable;
