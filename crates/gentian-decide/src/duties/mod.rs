//! Duties of one VM at a time: calls to the platform's API that only the hub makes.
//!
//! Load handled here: every request of every entry adds to a count, and each window of a few seconds
//! ends with one report for the whole fleet, also while hubs, links and the key-value service fail.

mod fleet_clock;
mod usage_backup;
mod usage_counter;
mod usage_duty;
mod usage_ledger;
mod usage_report;
mod usage_rules;

pub use fleet_clock::FleetClock;
pub use usage_backup::UsageBackup;
pub use usage_counter::UsageCounter;
pub use usage_duty::{DutyContext, UsageDuty, UsageEvent};
pub use usage_ledger::UsageLedger;
pub use usage_report::{
    DutyReply, DutyTask, UsageCall, UsageStoreReply, UsageStoreTask, UsageWrite,
};
pub use usage_rules::UsageRules;
