//! Randomized fault soak: runs the real programs as processes on loopback, injects faults from
//! outside and checks the guarantees against what callers and upstreams observed.

mod body_crowd;
mod body_pattern;
mod call_record;
mod config_probe;
mod contact_log;
mod fault_plan;
mod fleet_layout;
mod loopback_proxy;
mod notice_check;
mod process_set;
mod process_usage;
mod soak_caller;
mod soak_check;
mod soak_fault;
mod soak_run;
mod soak_settings;
mod stop_check;
mod stream_text;
mod usage_log;
mod version_log;

pub use body_crowd::{BodyCrowd, CrowdResult};
pub use body_pattern::BodyPattern;
pub use fault_plan::FaultPlan;
pub use process_usage::ProcessUsage;
pub use soak_check::SoakReport;
pub use soak_run::run_soak;
pub use soak_settings::SoakSettings;
