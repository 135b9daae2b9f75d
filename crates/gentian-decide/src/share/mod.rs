//! Shares of limited resources: tokens of organisations and concurrent calls of upstreams. The
//! holder of a share seat keeps the ledgers, and each entry keeps an allowance of what it was
//! granted.

mod demand_meter;
mod granted_tokens;
mod level_history;
mod report_timer;
mod request_backoff;
mod sequence_filter;
mod share_allocator;
mod slot_allowance;
mod slot_ledger;
mod slot_ramp;
mod token_allowance;
mod token_bucket;
mod token_ledger;

pub use demand_meter::DemandMeter;
pub use granted_tokens::GrantedTokens;
pub use level_history::LevelHistory;
pub use sequence_filter::SequenceFilter;
pub use share_allocator::ShareAllocator;
pub use slot_allowance::SlotAllowance;
pub use slot_ledger::SlotLedger;
pub use slot_ramp::SlotRamp;
pub use token_allowance::{TokenAllowance, TokenReservation};
pub use token_bucket::TokenBucket;
pub use token_ledger::TokenLedger;
