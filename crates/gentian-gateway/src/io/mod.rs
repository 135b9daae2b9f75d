//! Threads that make blocking calls for the control thread.

mod duty_worker;
mod engine_calls;
mod fleet_records;
mod hub_updates;
mod lease_worker;
mod record_readers;
mod record_writer;

pub(crate) use duty_worker::{DutyQueues, DutyWorker, start_duty_workers};
pub(crate) use engine_calls::EngineCalls;
pub(crate) use fleet_records::{EntryRecord, FleetRecord, decode_fleet_record, write_entry};
pub(crate) use hub_updates::HubUpdates;
pub(crate) use lease_worker::{LeaseWorker, start_lease_worker};
pub(crate) use record_readers::{
    RecordReader, start_fleet_reader, start_operator_watch, start_upstream_reader,
};
pub(crate) use record_writer::{RecordWrite, start_record_writer};
