//! Threads that make blocking calls for the control thread.

mod engine_calls;
mod fleet_records;
mod hub_updates;
mod lease_worker;
mod quarantine_writer;
mod record_readers;

pub(crate) use engine_calls::EngineCalls;
pub(crate) use fleet_records::{EntryRecord, FleetRecord, decode_fleet_record, write_entry};
pub(crate) use hub_updates::HubUpdates;
pub(crate) use lease_worker::{LeaseWorker, start_lease_worker};
pub(crate) use quarantine_writer::{QuarantineWrite, start_quarantine_writer};
pub(crate) use record_readers::{
    RecordReader, start_fleet_reader, start_operator_watch, start_upstream_reader,
};
