//! The key-value service by the etcd v3 JSON gateway.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use gentian_core::{SequenceNumber, TimeSpan};
use gentian_http::{CallError, HttpClient};
use gentian_wire::generated::key_value::{
    CompareTarget, CompareTargetResult, CompareTargetTarget, DeleteRequest, LeaseGrantRequest,
    LeaseGrantResponse, PutRequest, RangeRequest, RangeResponse, RequestOp, StoreHeader,
    StoreRecord, TxnRequest, TxnResponse, WatchCreate, WatchEvent, WatchEventType, WatchRequest,
    WatchResponse,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::key_value_service::{BatchHandler, ReadResult, WriteResult};
use crate::{KeyValueError, KeyValueService, StoredValue, ValueChange, WatchBatch, WriteCondition};

/// Longest wait for a piece of an answer.
const CALL_LIMIT: TimeSpan = TimeSpan::from_millis(1_000);
/// Longest time of a watch without a change before it is made anew, as a sign of life.
const WATCH_LIMIT: TimeSpan = TimeSpan::from_millis(2_000);
const ANSWER_LIMIT: usize = 64 << 20;

/// Creates the calls of the gateway at `address`.
pub fn connect_etcd(address: SocketAddr) -> KeyValueService {
    let agent = HttpClient::new(address, CALL_LIMIT);
    let watcher = HttpClient::new(address, WATCH_LIMIT);
    let (reader, lister, writer) = (agent.clone(), agent.clone(), agent);
    KeyValueService::new(
        move |key| read_range(&reader, key, None),
        move |prefix| read_range(&lister, prefix, Some(prefix_end(prefix))),
        move |conditions, changes| write_all(&writer, conditions, changes),
        move |prefix, revision, take| watch(&watcher, prefix, revision, take),
    )
}

fn read_range(agent: &HttpClient, key: &str, end: Option<Vec<u8>>) -> ReadResult {
    let request =
        RangeRequest { key: encode(key.as_bytes()), range_end: end.map(|end| encode(&end)) };
    let response: RangeResponse = call(agent, "/v3/kv/range", &request)?;
    let values: Result<Vec<StoredValue>, KeyValueError> =
        response.kvs.iter().map(|record| read_record(record, true)).collect();
    Ok((values?, read_revision(response.header.as_ref())?))
}

fn write_all(
    agent: &HttpClient,
    conditions: &[WriteCondition],
    changes: &[ValueChange],
) -> WriteResult {
    let success: Result<Vec<RequestOp>, KeyValueError> =
        changes.iter().map(|change| make_op(agent, change)).collect();
    let compare = conditions.iter().map(|condition| CompareTarget {
        key: encode(condition.key.as_bytes()),
        target: CompareTargetTarget::Mod,
        result: CompareTargetResult::Equal,
        mod_revision: condition.revision.to_string(),
    });
    let request = TxnRequest { compare: compare.collect(), success: success?, failure: Vec::new() };
    let response: TxnResponse = call(agent, "/v3/kv/txn", &request)?;
    let revision = read_revision(response.header.as_ref())?;
    Ok(response.succeeded.unwrap_or(false).then_some(revision))
}

fn make_op(agent: &HttpClient, change: &ValueChange) -> Result<RequestOp, KeyValueError> {
    let empty = RequestOp { request_put: None, request_range: None, request_delete_range: None };
    match change {
        ValueChange::Put { key, value, ttl } => {
            let lease = ttl.map(|ttl| grant_lease(agent, ttl)).transpose()?;
            let (key, value) = (encode(key.as_bytes()), Some(encode(value)));
            Ok(RequestOp { request_put: Some(PutRequest { key, value, lease }), ..empty })
        }
        ValueChange::PutLeased { key, value, lease } => {
            let (key, value) = (encode(key.as_bytes()), Some(encode(value)));
            let lease = Some(lease.to_string());
            Ok(RequestOp { request_put: Some(PutRequest { key, value, lease }), ..empty })
        }
        ValueChange::Delete { key } => {
            let request = DeleteRequest { key: encode(key.as_bytes()) };
            Ok(RequestOp { request_delete_range: Some(request), ..empty })
        }
    }
}

fn grant_lease(agent: &HttpClient, ttl: TimeSpan) -> Result<String, KeyValueError> {
    let seconds = ttl.as_millis().div_ceil(1_000).max(1);
    let request = LeaseGrantRequest { ttl: seconds.to_string() };
    let response: LeaseGrantResponse =
        call(agent, "/v3/lease/grant", &request).map_err(|error| match error {
            KeyValueError::Unknown(cause) => KeyValueError::NotSent(cause),
            not_sent => not_sent,
        })?;
    Ok(response.id)
}

fn watch(
    agent: &HttpClient,
    prefix: &str,
    revision: SequenceNumber,
    take: BatchHandler<'_>,
) -> Result<(), KeyValueError> {
    let create_request = WatchCreate {
        key: encode(prefix.as_bytes()),
        range_end: Some(encode(&prefix_end(prefix))),
        start_revision: Some(revision.next().to_string()),
    };
    let body = serde_json::to_vec(&WatchRequest { create_request }).map_err(malformed)?;
    let response = agent.call("POST", "/v3/watch", &[], &body).map_err(read_call_error)?;
    let lines = BufReader::new(response.split().2).lines();
    let mut is_answered = false;
    for line in lines {
        match line {
            Ok(line) if line.is_empty() => {}
            Ok(line) => {
                is_answered = true;
                if !take(read_batch(&line)?) {
                    return Ok(());
                }
            }
            Err(_) if is_answered => return Ok(()),
            Err(error) => return Err(KeyValueError::Unknown(error.to_string())),
        }
    }
    Ok(())
}

fn read_batch(line: &str) -> Result<WatchBatch, KeyValueError> {
    let response: WatchResponse = serde_json::from_str(line).map_err(malformed)?;
    let revision = read_revision(response.result.header.as_ref())?;
    let read =
        |event: &WatchEvent| read_record(&event.kv, event.type_ != Some(WatchEventType::Delete));
    let changes: Result<Vec<StoredValue>, KeyValueError> =
        response.result.events.iter().map(read).collect();
    Ok(WatchBatch { revision, changes: changes? })
}

fn read_record(record: &StoreRecord, is_present: bool) -> Result<StoredValue, KeyValueError> {
    let decode = |text: &str| STANDARD.decode(text).map_err(malformed);
    let key = String::from_utf8(decode(&record.key)?).map_err(malformed)?;
    let value = decode(record.value.as_deref().unwrap_or(""))?;
    let revision = record.mod_revision.as_deref().unwrap_or("0");
    let revision = revision.parse().map_err(malformed)?;
    Ok(StoredValue { key, value: is_present.then_some(value), revision })
}

fn read_revision(header: Option<&StoreHeader>) -> Result<SequenceNumber, KeyValueError> {
    let text = header.and_then(|header| header.revision.as_deref()).unwrap_or("0");
    text.parse().map_err(malformed)
}

fn call<T: DeserializeOwned>(
    agent: &HttpClient,
    path: &str,
    request: &impl Serialize,
) -> Result<T, KeyValueError> {
    let body = serde_json::to_vec(request).map_err(malformed)?;
    let (status, answer) =
        agent.call_and_read("POST", path, &body, ANSWER_LIMIT).map_err(read_call_error)?;
    if status != 200 {
        return Err(KeyValueError::Unknown(format!("status {status}")));
    }
    serde_json::from_slice(&answer).map_err(malformed)
}

fn read_call_error(error: CallError) -> KeyValueError {
    match error {
        CallError::NotSent(cause) => KeyValueError::NotSent(cause),
        CallError::Unknown(cause) => KeyValueError::Unknown(cause),
    }
}

fn malformed(error: impl std::fmt::Display) -> KeyValueError {
    KeyValueError::Unknown(format!("malformed answer: {error}"))
}

fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Returns the first key behind every key with `prefix`.
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last = last.saturating_add(1);
    }
    end
}
