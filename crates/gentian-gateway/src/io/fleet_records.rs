//! Records that the entries of the fleet write to the key-value service.

use std::net::SocketAddr;

use gentian_core::peer::{OriginTrace, SuspectReport, UsageRecord, UseTrace};
use gentian_core::{FenceNumber, LeaseId, StoreRevision, TimeSpan, VmId, WorkId};
use gentian_decide::duties::UsageWrite;
use gentian_decide::orders::HolderRecord;
use gentian_process::{KeyValueError, KeyValueService, StoredValue, ValueChange, WriteCondition};
use gentian_wire::{decode_record, encode_record};
use serde::{Deserialize, Serialize};

const ENTRY_PREFIX: &str = "entries/";
const HOLDER_KEY: &str = "holder";
/// Time after the last write at which an entry's record expires; more than two intervals between
/// writes.
const ENTRY_TTL: TimeSpan = TimeSpan::from_secs(600);
const QUARANTINE_PREFIX: &str = "quarantine/";
const PAST_HOLDER_KEY: &str = "past-holder";
const USE_TRACE_KEY: &str = "use-trace";
const CRASH_TRACE_KEY: &str = "crash-trace";
const ORIGIN_TRACE_KEY: &str = "stream-origins";
const USAGE_PREFIX: &str = "usage/";

/// Record in which an entry makes itself known to the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EntryRecord {
    /// VM of the entry.
    pub(crate) vm: VmId,
    /// Datagram address of the entry.
    pub(crate) address: SocketAddr,
    /// CPU that the entry may use, in thousandths of a core.
    pub(crate) capacity: u32,
}

/// A record that an entry of the fleet writes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum FleetRecord {
    /// An entry of the fleet.
    Entry(EntryRecord),
    /// The holder of the lease; the record is removed when the lease ends.
    Holder(HolderRecord),
    /// Exists once the lease has had a holder. It names the latest one and stays when the lease
    /// ends.
    PastHolder,
    /// A part of prompts with which requests are refused, or a request that is.
    QuarantinedWork(WorkId),
    /// What organisations used of their quotas, as the hub last stored it; `None` if it can't be read.
    UseTrace(Option<UseTrace>),
    /// Crashes and what is suspected of them, as the hub last stored it; `None` if it can't be read.
    CrashTrace(Option<Vec<SuspectReport>>),
    /// Which versions served and began the latest streams, as last stored; `None` if it can't be read.
    OriginTrace(Option<OriginTrace>),
    /// Counts of a window, which only the hub reads, by itself.
    Usage,
}

/// Decodes a record under `prefix`; returns `None` if it is malformed or of an unknown kind.
pub(crate) fn decode_fleet_record(prefix: &str, record: &StoredValue) -> Option<FleetRecord> {
    let name = record.key.strip_prefix(prefix)?;
    let bytes = record.value.as_ref()?;
    match name {
        HOLDER_KEY => decode_record(bytes).ok().map(FleetRecord::Holder),
        PAST_HOLDER_KEY => Some(FleetRecord::PastHolder),
        USE_TRACE_KEY => Some(FleetRecord::UseTrace(decode_record(bytes).ok())),
        ORIGIN_TRACE_KEY => Some(FleetRecord::OriginTrace(decode_record(bytes).ok())),
        CRASH_TRACE_KEY => Some(FleetRecord::CrashTrace(decode_record(bytes).ok())),
        _ if name.starts_with(USAGE_PREFIX) => Some(FleetRecord::Usage),
        _ if name.starts_with(ENTRY_PREFIX) => decode_record(bytes).ok().map(FleetRecord::Entry),
        _ => {
            let work = name.strip_prefix(QUARANTINE_PREFIX)?.parse();
            work.ok().map(FleetRecord::QuarantinedWork)
        }
    }
}

/// Writes the record of quarantined work.
///
/// # Errors
///
/// Returns an error if the call to the service fails.
pub(super) fn write_quarantined_work(
    service: &KeyValueService,
    prefix: &str,
    work: WorkId,
) -> Result<(), KeyValueError> {
    let key = format!("{prefix}{QUARANTINE_PREFIX}{work}");
    service.write(&[], &[ValueChange::put(key, encode(&work)?)])?;
    Ok(())
}

/// Deletes the record of work that is no longer quarantined.
///
/// # Errors
///
/// Returns an error if the call to the service fails.
pub(super) fn delete_quarantined_work(
    service: &KeyValueService,
    prefix: &str,
    work: WorkId,
) -> Result<(), KeyValueError> {
    let key = format!("{prefix}{QUARANTINE_PREFIX}{work}");
    service.write(&[], &[ValueChange::Delete { key }])?;
    Ok(())
}

/// Writes the trace of the use.
///
/// # Errors
///
/// Returns an error if the call to the service fails.
pub(super) fn write_use_trace(
    service: &KeyValueService,
    prefix: &str,
    trace: &UseTrace,
) -> Result<(), KeyValueError> {
    let key = format!("{prefix}{USE_TRACE_KEY}");
    service.write(&[], &[ValueChange::put(key, encode(trace)?)])?;
    Ok(())
}

/// Writes the trace of crashes.
///
/// # Errors
///
/// Returns an error if the call to the service fails.
pub(super) fn write_crash_trace(
    service: &KeyValueService,
    prefix: &str,
    trace: &[SuspectReport],
) -> Result<(), KeyValueError> {
    let key = format!("{prefix}{CRASH_TRACE_KEY}");
    service.write(&[], &[ValueChange::put(key, encode(&trace)?)])?;
    Ok(())
}

/// Writes which versions serve and began the latest streams.
///
/// # Errors
///
/// Returns an error if the call to the service fails.
pub(super) fn write_origin_trace(
    service: &KeyValueService,
    prefix: &str,
    trace: &OriginTrace,
) -> Result<(), KeyValueError> {
    let key = format!("{prefix}{ORIGIN_TRACE_KEY}");
    service.write(&[], &[ValueChange::put(key, encode(trace)?)])?;
    Ok(())
}

/// Fixes the counts of a window; returns `None` if they are fixed already or another process holds
/// the lease.
///
/// # Errors
///
/// Returns an error if the call to the service fails; the record may be written even so, or later.
pub(super) fn write_usage(
    service: &KeyValueService,
    prefix: &str,
    write: &UsageWrite,
) -> Result<Option<StoreRevision>, KeyValueError> {
    let key = |window| format!("{prefix}{USAGE_PREFIX}{window}");
    let window = key(write.record.counts.window);
    let conditions = [
        WriteCondition { key: window.clone(), revision: StoreRevision::default() },
        WriteCondition {
            key: format!("{prefix}{HOLDER_KEY}"),
            revision: StoreRevision::of_fence(write.fence),
        },
    ];
    let removed = write.removed.iter().map(|window| ValueChange::Delete { key: key(*window) });
    let mut changes = vec![ValueChange::put(window, encode(&write.record)?)];
    changes.extend(removed);
    service.write(&conditions, &changes)
}

/// Reads the fixed counts of all windows that are stored. Records that can't be read are skipped.
///
/// # Errors
///
/// Returns an error if the call to the service fails.
pub(super) fn read_usages(
    service: &KeyValueService,
    prefix: &str,
) -> Result<Vec<UsageRecord>, KeyValueError> {
    let (values, _) = service.read_prefix(&format!("{prefix}{USAGE_PREFIX}"))?;
    let decode = |value: &StoredValue| {
        let record = decode_record(value.value.as_ref()?);
        record.inspect_err(|error| log::warn!("record {} ignored: {error}", value.key)).ok()
    };
    Ok(values.iter().filter_map(decode).collect())
}

/// Writes the record of an entry and returns its revision.
///
/// # Errors
///
/// Returns an error if the call to the service fails.
pub(crate) fn write_entry(
    service: &KeyValueService,
    prefix: &str,
    entry: &EntryRecord,
) -> Result<StoreRevision, KeyValueError> {
    let value = encode(entry)?;
    let key = format!("{prefix}{ENTRY_PREFIX}{}", entry.vm);
    let change = ValueChange::Put { key, value, ttl: Some(ENTRY_TTL) };
    let lease_ended = || KeyValueError::NotExecuted("the lease of the record has ended".to_owned());
    service.write(&[], &[change])?.ok_or_else(lease_ended)
}

/// Returns whether the lease has ever had a holder. If it has, a process that acquires the lease
/// waits before it sends orders.
///
/// # Errors
///
/// Returns an error if the call to the service fails.
pub(super) fn had_holder(service: &KeyValueService, prefix: &str) -> Result<bool, KeyValueError> {
    Ok(service.read(&format!("{prefix}{PAST_HOLDER_KEY}"))?.is_some())
}

/// Writes `record` as the holder under `lease` and returns its revision; returns `None` if there is
/// a holder other than `predecessor` or if `lease` has ended.
///
/// # Errors
///
/// Returns an error if the call to the service fails; the record may have been written even so.
pub(super) fn claim_holder(
    service: &KeyValueService,
    prefix: &str,
    record: &HolderRecord,
    lease: LeaseId,
    predecessor: Option<FenceNumber>,
) -> Result<Option<StoreRevision>, KeyValueError> {
    let (holder, past) = (format!("{prefix}{HOLDER_KEY}"), format!("{prefix}{PAST_HOLDER_KEY}"));
    let value = encode(record)?;
    let current_revision = match predecessor {
        Some(_) => service.read(&holder)?.map(|found| found.revision),
        None => None,
    };
    let is_predecessor = |revision: StoreRevision| {
        predecessor.is_some_and(|fence| revision.is_same_record(StoreRevision::of_fence(fence)))
    };
    if current_revision.is_some_and(|revision| !is_predecessor(revision)) {
        return Ok(None);
    }
    // The default revision requires that no record exists.
    let condition =
        WriteCondition { key: holder.clone(), revision: current_revision.unwrap_or_default() };
    let changes = [
        ValueChange::PutLeased { key: holder, value: value.clone(), lease },
        ValueChange::put(past, value),
    ];
    service.write(&[condition], &changes)
}

/// Returns the revision of the holder's record if its content equals `record`.
///
/// # Errors
///
/// Returns an error if the call to the service fails.
pub(super) fn find_own_revision(
    service: &KeyValueService,
    prefix: &str,
    record: &HolderRecord,
) -> Result<Option<StoreRevision>, KeyValueError> {
    let found = service.read(&format!("{prefix}{HOLDER_KEY}"))?;
    let is_own = |value: &StoredValue| {
        let bytes = value.value.as_deref().unwrap_or_default();
        decode_record::<HolderRecord>(bytes).is_ok_and(|other| other == *record)
    };
    Ok(found.filter(is_own).map(|value| value.revision))
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, KeyValueError> {
    encode_record(value).map_err(|error| KeyValueError::NotExecuted(error.to_string()))
}
