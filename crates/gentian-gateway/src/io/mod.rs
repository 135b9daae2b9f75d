//! Threads that do blocking calls for the control thread.

mod engine_calls;
mod hub_freshness;
mod lease_worker;
mod own_records;
mod record_follower;

pub(crate) use engine_calls::EngineCalls;
pub(crate) use hub_freshness::HubFreshness;
pub(crate) use lease_worker::{LeaseWorker, start_lease_worker};
pub(crate) use own_records::{MemberRecord, OwnRecord, decode_own_record, write_member};
pub(crate) use record_follower::{
    RecordFollower, start_operator_watch, start_own_reader, start_upstream_reader,
};
