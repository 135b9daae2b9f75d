//! Orders to model engines: which process may give them, the confirmed state of each engine, and
//! the placement of models.

mod confirmed_state;
mod engine_order;
mod engine_report;
mod engine_tracker;
mod failed_loads;
mod fleet_planner;
mod follow_up_delay;
mod holder_lease;
mod idle_fill;
mod model_use;
mod open_order;
mod order_cooldowns;
mod placement_choice;
mod placement_figures;
mod plan_round;
mod store_load_limiter;
mod store_schedule;

pub use engine_order::{EngineOrder, OrderAction, OrderReply};
pub use engine_report::EngineStateReport;
pub use engine_tracker::EngineTracker;
pub use fleet_planner::{EngineCall, FleetPlanner};
pub use follow_up_delay::FollowUpDelay;
pub use holder_lease::{HolderLease, HolderRecord, LeaseReply, LeaseTask};
pub use order_cooldowns::OrderCooldowns;
pub use placement_figures::PlacementFigures;
pub use store_load_limiter::StoreLoadLimiter;
