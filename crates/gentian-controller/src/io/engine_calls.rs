//! Calls of upstreams: status and orders.

use std::net::SocketAddr;

use gentian_config::ConfigSet;
use gentian_core::peer::{ObjectPhase, TargetId};
use gentian_core::{ByteSize, ModelId, TimeSpan, UpstreamId};
use gentian_decide::placement::{
    EngineReport, OrderKind, OrderOutcome, PlacementOrder, ReportedObject,
};
use gentian_http::{CallError, HttpClient};
use gentian_wire::generated::engine::{EngineObject, EngineStatus, ObjectOrder, ObjectState};

const STATUS_LIMIT: TimeSpan = TimeSpan::from_millis(1_000);
const ORDER_LIMIT: TimeSpan = TimeSpan::from_secs(60);
const ANSWER_LIMIT: usize = 4 << 20;

/// Asks an upstream for its status; `None` without an answer.
pub(super) fn read_status(
    set: &ConfigSet,
    upstream: &UpstreamId,
    address: SocketAddr,
) -> Option<EngineReport> {
    let agent = HttpClient::new(address, STATUS_LIMIT);
    let (status, body) = agent.call_and_read("GET", "/status", &[], ANSWER_LIMIT).ok()?;
    if status != 200 {
        return None;
    }
    let status: EngineStatus = serde_json::from_slice(&body).ok()?;
    Some(EngineReport {
        upstream: upstream.clone(),
        boot: status.boot_id.parse().ok()?,
        memory_total: ByteSize::new(status.memory_total),
        memory_used: ByteSize::new(status.memory_used),
        objects: status.objects.iter().filter_map(|object| read_object(set, object)).collect(),
    })
}

/// Sends an order and waits for its end.
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
    let agent = HttpClient::new(address, ORDER_LIMIT);
    match agent.call_and_read("POST", path, &bytes, ANSWER_LIMIT) {
        Ok((200, _)) => OrderOutcome::Done,
        Ok((400..=499, _)) | Err(CallError::NotSent(_)) => OrderOutcome::Refused,
        Ok(_) | Err(CallError::Unknown(_)) => OrderOutcome::Unknown,
    }
}

/// Reads an object; the name of an adapter is looked up for its base model.
fn read_object(set: &ConfigSet, object: &EngineObject) -> Option<ReportedObject> {
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
