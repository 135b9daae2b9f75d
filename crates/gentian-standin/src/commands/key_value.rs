//! Subcommand that runs the key-value service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use argh::FromArgs;
use gentian_http::HttpRequest;
use gentian_wire::generated::key_value::{
    LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse,
    RangeRequest, TxnRequest, WatchRequest,
};
use serde_json::json;

use crate::key_value::MemoryStore;
use crate::shared::{FaultName, StandinServer, read_json, respond_json};

/// Time after which a watch ends, which frees the threads of watchers that are gone.
const WATCH_DURATION: Duration = Duration::from_secs(4);
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The key-value service, with the API of the etcd v3 JSON gateway.
#[derive(FromArgs)]
#[argh(subcommand, name = "key-value")]
pub(crate) struct KeyValueCommand {
    /// address of the HTTP port
    #[argh(option)]
    address: SocketAddr,
}

/// Runs the key-value service until the process receives a stop signal.
pub(crate) fn run_key_value(command: KeyValueCommand) -> eyre::Result<()> {
    let store = Arc::new(MemoryStore::new());
    StandinServer::serve(command.address, move |server, mut request| {
        store.count_call();
        match request.path() {
            "/v3/kv/range" => match read_json::<RangeRequest>(&mut request) {
                Some(body) => respond_json(request, 200, &store.range(&body)),
                None => refuse(request),
            },
            "/v3/kv/txn" => handle_txn(&store, server, request),
            "/v3/lease/grant" => match read_json::<LeaseGrantRequest>(&mut request) {
                Some(body) => respond_json(request, 200, &grant(&store, &body)),
                None => refuse(request),
            },
            "/v3/lease/keepalive" => match read_json::<LeaseKeepAliveRequest>(&mut request) {
                Some(body) => respond_json(request, 200, &keep_alive(&store, body)),
                None => refuse(request),
            },
            "/v3/watch" => handle_watch(&store, server, request),
            "/control/counts" => {
                let (calls, writes) = store.counts();
                respond_json(request, 200, &json!({ "calls": calls, "writes": writes }));
            }
            _ => refuse(request),
        }
    })
}

fn handle_txn(store: &MemoryStore, server: &StandinServer, mut request: HttpRequest) {
    let Some(body) = read_json::<TxnRequest>(&mut request) else { return refuse(request) };
    let response = store.transact(&body);
    if server.faults.consume(FaultName::LostResponse) {
        server.journal.record("lost-answer", "", "txn", 0);
        return respond_json(request, 503, &json!({ "error": "answer lost" }));
    }
    respond_json(request, 200, &response);
}

fn handle_watch(store: &MemoryStore, server: &StandinServer, mut request: HttpRequest) {
    let Some(body) = read_json::<WatchRequest>(&mut request) else { return refuse(request) };
    let Ok(mut stream) = request.stream("application/json", &[]) else { return };
    let mut next_revision =
        body.create_request.start_revision.as_deref().unwrap_or("0").parse().unwrap_or(0);
    let mut line = store.watch_created_line();
    let end = Instant::now() + WATCH_DURATION;
    while Instant::now() < end && !server.stop.load(Ordering::Acquire) {
        if let Some(text) = line.take()
            && (server.faults.consume(FaultName::Down) || stream.send(text.as_bytes()).is_err())
        {
            return;
        }
        let batch =
            store.wait_for_changes(&body.create_request, next_revision, WATCH_POLL_INTERVAL);
        next_revision = batch.next_revision;
        line = batch.line;
    }
}

fn grant(store: &MemoryStore, body: &LeaseGrantRequest) -> LeaseGrantResponse {
    let seconds = body.ttl.parse().unwrap_or(1);
    let id = store.grant_lease(Duration::from_secs(seconds));
    LeaseGrantResponse { id: id.to_string(), ttl: Some(body.ttl.clone()) }
}

fn keep_alive(store: &MemoryStore, body: LeaseKeepAliveRequest) -> LeaseKeepAliveResponse {
    let seconds = body.id.parse().ok().and_then(|id| store.renew_lease(id)).unwrap_or(0);
    let result = LeaseGrantResponse { id: body.id, ttl: Some(seconds.to_string()) };
    LeaseKeepAliveResponse { result }
}

fn refuse(request: HttpRequest) {
    respond_json(request, 400, &json!({ "error": "malformed request" }));
}
