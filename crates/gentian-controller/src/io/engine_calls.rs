//! Calls to upstreams for status and orders.

use std::net::SocketAddr;

use gentian_config::ConfigSet;
use gentian_core::peer::{ObjectPhase, TargetId};
use gentian_core::{ByteSize, ModelId, TimeSpan, UpstreamId};
use gentian_decide::placement::{
    EngineReport, OrderKind, OrderOutcome, PlacementOrder, ReportedObject,
};
use gentian_http::{CallError, HttpClient};
use gentian_wire::generated::engine::{EngineObject, EngineStatus, ObjectOrder, ObjectState};

const STATUS_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);
const ORDER_TIMEOUT: TimeSpan = TimeSpan::from_secs(60);
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Fetches the status of an upstream; `None` if there is no usable response.
pub(super) fn fetch_status(
    set: &ConfigSet,
    upstream: &UpstreamId,
    address: SocketAddr,
) -> Option<EngineReport> {
    let client = HttpClient::new(address, STATUS_TIMEOUT);
    let (status, body) = client.call_and_read("GET", "/status", &[], MAX_RESPONSE_BYTES).ok()?;
    if status != 200 {
        return None;
    }
    let status: EngineStatus = serde_json::from_slice(&body).ok()?;
    Some(EngineReport {
        upstream: upstream.clone(),
        boot: status.boot_id.parse().ok()?,
        memory_total: ByteSize::new(status.memory_total),
        memory_used: ByteSize::new(status.memory_used),
        objects: status.objects.iter().filter_map(|object| decode_object(set, object)).collect(),
    })
}

/// Sends an order and waits for its outcome.
pub(super) fn send_order(order: &PlacementOrder, address: SocketAddr) -> OrderOutcome {
    let path = match (order.kind, order.target.adapter.is_some()) {
        (OrderKind::Load, false) => "/v1/load_model",
        (OrderKind::Load, true) => "/v1/load_lora_adapter",
        (OrderKind::Unload, false) => "/v1/unload_model",
        (OrderKind::Unload, true) => "/v1/unload_lora_adapter",
    };
    let body = ObjectOrder {
        name: order.target.name().to_owned(),
        base: order.target.adapter.as_ref().map(|_| order.target.model.to_string()),
        memory: order.memory.get(),
        order_id: order.id.to_string(),
        fence: order.fence.get(),
    };
    let Ok(bytes) = serde_json::to_vec(&body) else { return OrderOutcome::Refused };
    let client = HttpClient::new(address, ORDER_TIMEOUT);
    match client.call_and_read("POST", path, &bytes, MAX_RESPONSE_BYTES) {
        Ok((200, _)) => OrderOutcome::Done,
        Ok((400..=499, _)) | Err(CallError::NotSent(_)) => OrderOutcome::Refused,
        Ok(_) | Err(CallError::Unknown(_)) => OrderOutcome::Unknown,
    }
}

/// Decodes an object of an engine's status. Engines name an adapter without its base model, which
/// is looked up in the configuration.
fn decode_object(set: &ConfigSet, object: &EngineObject) -> Option<ReportedObject> {
    let adapter = object.name.parse().ok().and_then(|id| set.adapters.get(&id));
    let target = match adapter {
        Some(spec) => TargetId::new(spec.base.clone()).with_adapter(spec.id.clone()),
        None => TargetId::new(object.name.parse::<ModelId>().ok()?),
    };
    let phase = match object.state {
        ObjectState::Loading => ObjectPhase::Loading,
        ObjectState::Loaded => ObjectPhase::Loaded,
        ObjectState::Unloading => ObjectPhase::Unloading,
    };
    Some(ReportedObject { target, phase, memory: ByteSize::new(object.memory) })
}
