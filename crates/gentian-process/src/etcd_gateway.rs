//! Key-value service over the etcd v3 JSON gateway.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use gentian_core::{StoreRevision, TimeSpan};
use gentian_http::{CallError, HttpClient};
use gentian_wire::generated::key_value::{
    CompareTarget, CompareTargetResult, CompareTargetTarget, DeleteRequest, LeaseGrantRequest,
    LeaseGrantResponse, PutRequest, RangeRequest, RangeResponse, RequestOp, StoreHeader,
    StoreRecord, TxnRequest, TxnResponse, WatchCreate, WatchEvent, WatchEventType,
    WatchRequest as WatchMessage, WatchResponse,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::key_value_service::{BatchHandler, ReadResult, WriteResult};
use crate::{
    KeyValueError, KeyValueService, StoredValue, ValueChange, WatchBatch, WatchRequest,
    WriteCondition,
};

/// Longest wait for the connection and for each read of a response.
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);
/// Largest accepted response.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Creates a key-value service that calls the gateway at `address`.
pub fn connect_etcd(address: SocketAddr) -> KeyValueService {
    let client = HttpClient::new(address, CALL_TIMEOUT);
    let (reader, lister, writer) = (client.clone(), client.clone(), client);
    KeyValueService::new(
        move |key| read_range(&reader, key, None),
        move |prefix| read_range(&lister, prefix, Some(prefix_end(prefix))),
        move |conditions, changes| run_transaction(&writer, conditions, changes),
        move |request, handle_batch| watch(address, request, handle_batch),
    )
}

fn read_range(client: &HttpClient, key: &str, end: Option<Vec<u8>>) -> ReadResult {
    let request = RangeRequest {
        key: encode_base64(key.as_bytes()),
        range_end: end.map(|end| encode_base64(&end)),
    };
    let response: RangeResponse = call(client, "/v3/kv/range", &request)?;
    let values: Result<Vec<StoredValue>, KeyValueError> =
        response.kvs.iter().map(|record| decode_value(record, true)).collect();
    Ok((values?, parse_revision(response.header.as_ref())?))
}

fn run_transaction(
    client: &HttpClient,
    conditions: &[WriteCondition],
    changes: &[ValueChange],
) -> WriteResult {
    let success: Result<Vec<RequestOp>, KeyValueError> =
        changes.iter().map(|change| make_op(client, change)).collect();
    let compare = conditions.iter().map(|condition| CompareTarget {
        key: encode_base64(condition.key.as_bytes()),
        target: CompareTargetTarget::Mod,
        result: CompareTargetResult::Equal,
        mod_revision: condition.revision.to_string(),
    });
    let request = TxnRequest { compare: compare.collect(), success: success?, failure: Vec::new() };
    let response: TxnResponse = call(client, "/v3/kv/txn", &request)?;
    let revision = parse_revision(response.header.as_ref())?;
    Ok(response.succeeded.unwrap_or(false).then_some(revision))
}

fn make_op(client: &HttpClient, change: &ValueChange) -> Result<RequestOp, KeyValueError> {
    let empty = RequestOp { request_put: None, request_range: None, request_delete_range: None };
    match change {
        ValueChange::Put { key, value, ttl } => {
            let lease = ttl.map(|ttl| grant_lease(client, ttl)).transpose()?;
            let (key, value) = (encode_base64(key.as_bytes()), Some(encode_base64(value)));
            Ok(RequestOp { request_put: Some(PutRequest { key, value, lease }), ..empty })
        }
        ValueChange::PutLeased { key, value, lease } => {
            let (key, value) = (encode_base64(key.as_bytes()), Some(encode_base64(value)));
            let lease = Some(lease.to_string());
            Ok(RequestOp { request_put: Some(PutRequest { key, value, lease }), ..empty })
        }
        ValueChange::Delete { key } => {
            let request = DeleteRequest { key: encode_base64(key.as_bytes()) };
            Ok(RequestOp { request_delete_range: Some(request), ..empty })
        }
    }
}

fn grant_lease(client: &HttpClient, ttl: TimeSpan) -> Result<String, KeyValueError> {
    let seconds = ttl.as_millis().div_ceil(1_000).max(1);
    let request = LeaseGrantRequest { ttl: seconds.to_string() };
    let response: LeaseGrantResponse =
        call(client, "/v3/lease/grant", &request).map_err(|error| match error {
            // The transaction was not sent yet, and an unused lease expires.
            KeyValueError::Unknown(cause) => KeyValueError::NotExecuted(cause),
            not_executed => not_executed,
        })?;
    Ok(response.id)
}

fn watch(
    address: SocketAddr,
    request: WatchRequest<'_>,
    handle_batch: BatchHandler<'_>,
) -> Result<(), KeyValueError> {
    let client = HttpClient::new(address, request.wait);
    let create_request = WatchCreate {
        key: encode_base64(request.prefix.as_bytes()),
        range_end: Some(encode_base64(&prefix_end(request.prefix))),
        start_revision: Some(request.after.next().to_string()),
    };
    let body = serde_json::to_vec(&WatchMessage { create_request }).map_err(malformed)?;
    let response = client.call("POST", "/v3/watch", &[], &body).map_err(convert_error)?;
    let lines = BufReader::new(response).lines();
    let mut has_response = false;
    for line in lines {
        match line {
            Ok(line) if line.is_empty() => {}
            Ok(line) => {
                has_response = true;
                if !handle_batch(decode_batch(&line)?) || !(request.is_wanted)() {
                    return Ok(());
                }
            }
            Err(_) if has_response => return Ok(()),
            Err(error) => return Err(KeyValueError::Unknown(error.to_string())),
        }
    }
    Ok(())
}

fn decode_batch(line: &str) -> Result<WatchBatch, KeyValueError> {
    let response: WatchResponse = serde_json::from_str(line).map_err(malformed)?;
    let revision = parse_revision(response.result.header.as_ref())?;
    let read =
        |event: &WatchEvent| decode_value(&event.kv, event.type_ != Some(WatchEventType::Delete));
    let changes: Result<Vec<StoredValue>, KeyValueError> =
        response.result.events.iter().map(read).collect();
    Ok(WatchBatch { revision, changes: changes? })
}

fn decode_value(record: &StoreRecord, is_present: bool) -> Result<StoredValue, KeyValueError> {
    let decode = |text: &str| STANDARD.decode(text).map_err(malformed);
    let key = String::from_utf8(decode(&record.key)?).map_err(malformed)?;
    let value = decode(record.value.as_deref().unwrap_or(""))?;
    let revision = record.mod_revision.as_deref().unwrap_or("0");
    let revision = revision.parse().map_err(malformed)?;
    Ok(StoredValue { key, value: is_present.then_some(value), revision })
}

fn parse_revision(header: Option<&StoreHeader>) -> Result<StoreRevision, KeyValueError> {
    let text = header.and_then(|header| header.revision.as_deref()).unwrap_or("0");
    text.parse().map_err(malformed)
}

fn call<T: DeserializeOwned>(
    client: &HttpClient,
    path: &str,
    request: &impl Serialize,
) -> Result<T, KeyValueError> {
    let body = serde_json::to_vec(request).map_err(malformed)?;
    let (status, response) =
        client.call_and_read("POST", path, &body, MAX_RESPONSE_BYTES).map_err(convert_error)?;
    if status != 200 {
        return Err(KeyValueError::Unknown(format!("status {status}")));
    }
    serde_json::from_slice(&response).map_err(malformed)
}

fn convert_error(error: CallError) -> KeyValueError {
    match error {
        CallError::NotSent(cause) => KeyValueError::NotExecuted(cause),
        CallError::Unknown(cause) => KeyValueError::Unknown(cause),
    }
}

/// Converts an error of decoding a response, or of encoding a request.
fn malformed(error: impl std::fmt::Display) -> KeyValueError {
    KeyValueError::Unknown(format!("malformed answer: {error}"))
}

fn encode_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Returns the end of the key range of `prefix`: the first key after all keys with that prefix.
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last = last.saturating_add(1);
    }
    end
}
