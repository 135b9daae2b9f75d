//! Configuration, registrations and requests of the simulated engines.

use std::sync::Arc;

use gentian_config::serving::{
    EngineSpec, RetrySafety, ServiceSpec, ServiceWeight, ServingConfig, ServingRoute,
};
use gentian_core::peer::{ResidentModels, TargetId};
use gentian_core::{
    ByteSize, FastMap, ModelId, MonoTime, RequestId, ServiceId, SlotCount, StoreRevision, TimeSpan,
    TokenCount, UpstreamId,
};
use gentian_decide::selection::SharedPrefix;
use gentian_decide::serving::{
    EngineModels, ServingCall, UpstreamRegistration, UpstreamState, UpstreamTable,
};

use super::{BATCH_SLOTS, HUB, TICK, bounds};

pub(crate) fn service() -> ServiceId {
    "advice".parse().unwrap()
}

pub(crate) fn model(number: usize) -> ModelId {
    format!("m{number}").parse().unwrap()
}

pub(crate) fn engine(number: usize) -> UpstreamId {
    format!("engine-{number}").parse().unwrap()
}

pub(crate) fn config(cache: Option<u64>) -> Arc<ServingConfig> {
    let spec = EngineSpec {
        memory: ByteSize::new(1),
        adapter_slots: 0,
        batch_slots: SlotCount::new(BATCH_SLOTS as u64),
        cache: cache.map(TokenCount::new),
        store_loads_per_second: 1.0,
        models: FastMap::default(),
    };
    let service_spec = ServiceSpec {
        id: service(),
        connection_limit: SlotCount::new(100_000),
        cold_duration: TimeSpan::ZERO,
        cold_request_rate: 0.0,
        engine: Some(spec),
    };
    let services = FastMap::from_iter([(service(), Arc::new(service_spec))]);
    Arc::new(ServingConfig { services, ..ServingConfig::default() })
}

pub(crate) fn registration(number: usize, incarnation: u64) -> UpstreamRegistration {
    UpstreamRegistration {
        id: engine(number),
        revision: StoreRevision::new(incarnation),
        incarnation,
        service: service(),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        domain: "north".parse().unwrap(),
        version: None,
        state: UpstreamState::Ready,
        slots: SlotCount::new(BATCH_SLOTS as u64),
        cold_remaining: TimeSpan::ZERO,
        models: Some(EngineModels::default()),
    }
}

pub(crate) fn resident(number: usize, incarnation: u64, models: &[usize]) -> ResidentModels {
    ResidentModels {
        upstream: engine(number),
        incarnation,
        loaded: models.iter().map(|it| TargetId::new(model(*it))).collect(),
        in_transition: None,
    }
}

/// Returns the table of one of `entries` entries before engines that have these models loaded.
pub(crate) fn table(
    entries: usize,
    cache: Option<u64>,
    loaded: &[Vec<usize>],
    now: MonoTime,
) -> UpstreamTable {
    let mut table = UpstreamTable::new("north".parse().unwrap(), bounds());
    table.update(config(cache));
    table.update_entry_index(0, entries as u32);
    let registrations = (0..loaded.len()).map(|number| registration(number, 1)).collect();
    table.update_registrations(registrations, StoreRevision::new(1), now);
    let models = loaded.iter().enumerate().map(|(number, models)| resident(number, 1, models));
    table.update_resident_models(HUB, models.collect(), now);
    table.permits.update_hub(true);
    table
}

pub(crate) fn route(target: u64) -> Arc<ServingRoute> {
    Arc::new(ServingRoute {
        id: "plans".parse().unwrap(),
        host: "plans.example".into(),
        path_prefix: "/".into(),
        kind: RetrySafety::Stream { is_resumable: false },
        timeout: TimeSpan::from_secs(20),
        target_latency: TICK * target,
        abandon_time: TimeSpan::from_secs(60),
        max_attempts: 1,
        priority: 0,
        services: vec![ServiceWeight { service: service(), weight: 1 }],
        allows_anonymous: true,
    })
}

/// Returns a request for a model with these shared parts.
pub(crate) fn call(
    id: u64,
    route: &Arc<ServingRoute>,
    model_number: usize,
    parts: &[(u64, u32)],
    own_tokens: u32,
    now: MonoTime,
) -> ServingCall {
    let target = Some(TargetId::new(model(model_number)));
    let shared: u32 = parts.iter().map(|(_, tokens)| tokens).sum();
    ServingCall {
        id: RequestId::new(id),
        route: Arc::clone(route),
        service: service(),
        organisation: None,
        shared_prefix: SharedPrefix::new(target.as_ref(), parts),
        target,
        cost: TokenCount::new(1),
        prompt_tokens: shared + own_tokens,
        shared_parts: Vec::new(),
        request: None,
        stream: None,
        is_resuming: false,
        origin: None,
        received: now,
        queued: now,
        deadline: now + TimeSpan::from_secs(20),
        tried: Vec::new(),
        possible_executions: 0,
        is_charged: false,
    }
}
