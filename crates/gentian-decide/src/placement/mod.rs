//! Decisions on which engines load which models and adapters.

mod demand_tracker;
mod engine_report;
mod engine_state;
mod idle_cost;
mod idle_search;
mod load_limiter;
mod placement_order;
mod placement_planner;
mod sized_target;
mod upstream_views;

pub use demand_tracker::DemandTracker;
pub use engine_report::{EngineReport, ReportedObject};
pub use engine_state::EngineState;
pub use idle_cost::IdleCost;
pub use load_limiter::LoadLimiter;
pub use placement_order::{OrderKind, OrderOutcome, PlacementOrder};
pub use placement_planner::PlacementPlanner;
pub use sized_target::SizedTarget;
pub use upstream_views::UpstreamViews;
