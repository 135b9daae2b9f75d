//! Subcommand that runs the metadata store of the users' platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use gentian_http::{HttpRequest, HttpResponse};
use gentian_process::prefix_end;
use gentian_wire::generated::key_value::{
    CompareTarget, CompareTargetResult, CompareTargetTarget, DeleteRequest, PutRequest,
    RangeRequest, RequestOp, StoreRecord, TxnRequest, WatchCreate, WatchEventType, WatchResponse,
};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::key_value::MemoryStore;
use crate::shared::{FaultName, StandinServer, read_json};

/// Era of a store that was never restored from a copy.
const FIRST_ERA: u64 = 1;
/// Longest time for which a watch occupies a thread.
const MAX_WATCH_WAIT_MS: u64 = 30_000;
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The metadata store of the users' platform.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet-store")]
pub(crate) struct FleetStoreCommand {
    /// address of the HTTP port
    #[argh(option)]
    address: SocketAddr,
}

#[derive(Deserialize)]
struct TransactionBody {
    #[serde(default)]
    expected: Vec<ExpectedRevision>,
    #[serde(default)]
    writes: Vec<RecordWrite>,
    #[serde(default)]
    remove: Vec<String>,
}

#[derive(Deserialize)]
struct ExpectedRevision {
    key: String,
    revision: u64,
}

#[derive(Deserialize)]
struct RecordWrite {
    key: String,
    value: String,
    #[serde(default)]
    lease: u64,
}

/// Runs the metadata store until the process receives a stop signal.
pub(crate) fn run_fleet_store(command: FleetStoreCommand) -> eyre::Result<()> {
    let store = Arc::new(MemoryStore::new());
    StandinServer::serve(command.address, move |server, request| {
        store.count_call();
        let path = request.path().to_owned();
        match path.as_str() {
            "/control/restore" => handle_restore(&store, request),
            "/-/kv-key" => handle_key(&store, request),
            "/-/kv-range" => handle_range(&store, request),
            "/-/kv-watch" => handle_watch(&store, server, request),
            "/-/kv-txn" => handle_transaction(&store, server, request),
            "/-/kv-lease" => handle_lease(&store, request),
            _ => match path.rsplit_once('/') {
                Some(("/-/kv-keep", id)) => {
                    let exists = id.parse().is_ok_and(|id| store.renew_lease(id).is_some());
                    respond(&store, request, if exists { 200 } else { 404 }, &json!({}));
                }
                Some(("/-/kv-lease-end", id)) => {
                    let exists = id.parse().is_ok_and(|id| store.revoke_lease(id));
                    respond(&store, request, if exists { 200 } else { 404 }, &json!({}));
                }
                _ => respond(&store, request, 400, &json!({ "error": "unknown call" })),
            },
        }
    })
}

/// Restores the store from the copy that was made `age_ms` ago.
fn handle_restore(store: &MemoryStore, request: HttpRequest) {
    let age = request.query("age_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
    store.restore(Duration::from_millis(age));
    respond(store, request, 200, &json!({}));
}

/// Sends a JSON response with the era of the store.
fn respond(store: &MemoryStore, request: HttpRequest, status: u16, body: &Value) {
    let (_, restorations) = store.revision_and_restorations();
    let response = HttpResponse::new(status)
        .with_json(body.to_string().into_bytes())
        .with_header("Store-Era", (FIRST_ERA + restorations).to_string());
    if let Err(error) = request.respond(response) {
        log::debug!("response not delivered: {error}");
    }
}

fn handle_key(store: &MemoryStore, request: HttpRequest) {
    let key = request.query("key").unwrap_or("");
    let range = store.range(&RangeRequest { key: STANDARD.encode(key), range_end: None });
    match range.kvs.first().map(record_item) {
        Some(item) => respond(store, request, 200, &item),
        None => respond(store, request, 404, &json!({})),
    }
}

fn handle_range(store: &MemoryStore, request: HttpRequest) {
    let prefix = request.query("path_prefix").unwrap_or("").to_owned();
    let range_end = Some(STANDARD.encode(prefix_end(&prefix)));
    let range = store.range(&RangeRequest { key: STANDARD.encode(&prefix), range_end });
    let at = range.header.and_then(|header| header.revision).unwrap_or_default();
    let items: Vec<Value> = range.kvs.iter().map(record_item).collect();
    let at: u64 = at.parse().unwrap_or(0);
    respond(store, request, 200, &json!({ "items": items, "truncated": false, "at": at }));
}

fn handle_watch(store: &MemoryStore, server: &StandinServer, request: HttpRequest) {
    let prefix = request.query("path_prefix").unwrap_or("").to_owned();
    let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let (after, wait) = (number("after"), number("wait_ms").min(MAX_WATCH_WAIT_MS));
    let watch = WatchCreate {
        key: STANDARD.encode(&prefix),
        range_end: Some(STANDARD.encode(prefix_end(&prefix))),
        start_revision: None,
    };
    if after > store.revision_and_restorations().0 {
        return respond(store, request, 410, &json!({}));
    }
    let mut next_revision = after + 1;
    let mut events = Vec::new();
    let steps = wait / WATCH_POLL_INTERVAL.as_millis() as u64;
    for _ in 0..=steps {
        let batch = store.wait_for_changes(&watch, next_revision, WATCH_POLL_INTERVAL);
        next_revision = batch.next_revision;
        if let Some(line) = batch.line {
            events = parse_events(&line);
            break;
        }
        if server.faults.consume(FaultName::Down) {
            return respond(store, request, 503, &json!({}));
        }
    }
    respond(
        store,
        request,
        200,
        &json!({ "events": events, "at": next_revision.saturating_sub(1) }),
    );
}

fn parse_events(line: &str) -> Vec<Value> {
    let Ok(response) = serde_json::from_str::<WatchResponse>(line) else { return Vec::new() };
    let events = response.result.events.iter().map(|event| {
        let mut item = record_item(&event.kv);
        if event.type_ == Some(WatchEventType::Delete) {
            item = json!({ "key": item["key"], "revision": item["revision"], "removed": true });
        }
        item
    });
    events.collect()
}

fn handle_transaction(store: &MemoryStore, server: &StandinServer, mut request: HttpRequest) {
    let Some(body) = read_json::<TransactionBody>(&mut request) else {
        return respond(store, request, 400, &json!({}));
    };
    let compare = body.expected.iter().map(|row| CompareTarget {
        key: STANDARD.encode(&row.key),
        target: CompareTargetTarget::Mod,
        result: CompareTargetResult::Equal,
        mod_revision: row.revision.to_string(),
    });
    let empty = RequestOp { request_put: None, request_range: None, request_delete_range: None };
    let writes = body.writes.iter().map(|row| {
        let lease = (row.lease > 0).then(|| row.lease.to_string());
        let (key, value) = (STANDARD.encode(&row.key), Some(row.value.clone()));
        RequestOp { request_put: Some(PutRequest { key, value, lease }), ..empty.clone() }
    });
    let removals = body.remove.iter().map(|key| {
        let request = DeleteRequest { key: STANDARD.encode(key) };
        RequestOp { request_delete_range: Some(request), ..empty.clone() }
    });
    let success = writes.chain(removals).collect();
    let response =
        store.transact(&TxnRequest { compare: compare.collect(), success, failure: Vec::new() });
    if server.faults.consume(FaultName::LostResponse) {
        server.journal.record("lost-answer", "", "txn", 0);
        return drop(request.into_writer());
    }
    let revision = response.header.and_then(|header| header.revision).unwrap_or_default();
    let revision: u64 = revision.parse().unwrap_or(0);
    let status = if response.succeeded == Some(true) { 200 } else { 412 };
    respond(store, request, status, &json!({ "revision": revision, "items": [] }));
}

fn handle_lease(store: &MemoryStore, mut request: HttpRequest) {
    let body: Value = read_json(&mut request).unwrap_or_default();
    let millis = body["ttl_ms"].as_u64().unwrap_or(1_000).max(1_000);
    let lease = store.grant_lease(Duration::from_millis(millis));
    respond(store, request, 200, &json!({ "lease": lease, "ttl_ms": millis }));
}

fn record_item(record: &StoreRecord) -> Value {
    let key = STANDARD.decode(&record.key).unwrap_or_default();
    let number = |text: &Option<String>| -> u64 {
        text.as_deref().and_then(|text| text.parse().ok()).unwrap_or(0)
    };
    json!({
        "key": String::from_utf8_lossy(&key),
        "value": record.value,
        "revision": number(&record.mod_revision),
        "lease": number(&record.lease),
    })
}
