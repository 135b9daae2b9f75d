//! Simulated engine: it batches requests, interleaves the prefill of prompts with the decoding of
//! other requests, keeps weights in memory and on disk, and executes orders one at a time.

use std::collections::{BTreeMap, BTreeSet};

use gentian_core::{ModelId, MonoTime, RequestId, SequenceNumber, TimeSpan};
use gentian_decide::orders::{EngineOrder, EngineStateReport, OrderAction, OrderReply};
use gentian_decide::serving::{EngineModels, LoadedModel};

use super::{DISK_LOAD_TIME, ENGINE_BYTES, HOST_LOAD_TIME, MODEL_BYTES, STORE_LOAD_TIME, TICK};

/// Models that an engine can have loaded at the same time.
pub(crate) const MODEL_CAPACITY: usize = 3;
/// Adapters that an engine can have loaded at the same time.
pub(crate) const ADAPTER_SLOTS: usize = 8;
/// Requests in one batch.
pub(crate) const BATCH_SLOTS: usize = 64;
/// Models whose weights stay in host memory.
const HOST_MODEL_CAPACITY: usize = 2;
/// Prompt tokens prefilled in one tick, and tokens decoded for each request in one tick.
const PREFILL_TOKENS_PER_TICK: f64 = 408.0;
const DECODE_TOKENS_PER_TICK: f64 = 1.9;
/// Duration of an unload.
const UNLOAD_TIME: TimeSpan = TimeSpan::from_millis(60);

/// Time after which a load fails.
const FAILURE_TIME: TimeSpan = TimeSpan::from_millis(100);

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineRequest {
    /// Identifies the request.
    pub(crate) id: RequestId,
    /// Model that serves it.
    pub(crate) model: ModelId,
    /// Prompt tokens that are not prefilled yet.
    pub(crate) pending_prefill: f64,
    /// Tokens that are not decoded yet.
    pub(crate) pending_decode: f64,
    /// Whether the first token was decoded.
    pub(crate) has_first_token: bool,
}

/// Actual state of a simulated engine.
#[derive(Clone, Default)]
pub(crate) struct SimulatedEngine {
    /// Number of accepted orders.
    pub(crate) sequence: u64,
    /// Loaded models with their adapters.
    pub(crate) loaded: BTreeMap<ModelId, BTreeSet<String>>,
    /// Models on disk.
    pub(crate) on_disk: Vec<ModelId>,
    /// Models in host memory, the newest last.
    pub(crate) in_host_memory: Vec<ModelId>,
    /// Requests in the order of their arrival.
    pub(crate) requests: Vec<EngineRequest>,
    /// Models of which it holds the shared part of the prompts.
    pub(crate) held_prefixes: BTreeSet<ModelId>,
    /// Memory that an adapter takes.
    pub(crate) adapter_bytes: u64,
    /// Whether it refuses every load of an adapter.
    pub(crate) refuses_adapters: bool,
    /// Models of which every load fails.
    pub(crate) failing: BTreeSet<ModelId>,
    open: Option<(ModelId, OrderAction, MonoTime)>,
    is_loading_from_store: bool,
}

/// Events of one tick.
#[derive(Default)]
pub(crate) struct TickEvents {
    /// Requests whose first token was decoded.
    pub(crate) first_tokens: Vec<RequestId>,
    /// Requests that ended.
    pub(crate) ended: Vec<RequestId>,
}

impl SimulatedEngine {
    /// Handles an order; returns `None` for a load that exceeds the capacity of the engine.
    pub(crate) fn handle_order(
        &mut self,
        order: &EngineOrder,
        now: MonoTime,
    ) -> Option<OrderReply> {
        if order.expected.get() != self.sequence {
            return Some(OrderReply::Conflict);
        }
        let model = order.target.model.clone();
        if let Some(adapter) = &order.target.adapter {
            let count: usize = self.loaded.values().map(BTreeSet::len).sum();
            if !self.loaded.contains_key(&model) || self.refuses_adapters {
                return Some(OrderReply::Refused);
            }
            match order.action {
                OrderAction::Load if count >= ADAPTER_SLOTS => return None,
                OrderAction::Load if self.free_bytes() < self.adapter_bytes => return None,
                OrderAction::Load => self.adapters(&model).insert(adapter.to_string()),
                OrderAction::Unload => self.adapters(&model).remove(adapter.as_str()),
            };
        } else {
            if self.open.is_some() {
                return Some(OrderReply::Conflict);
            }
            let time = match order.action {
                OrderAction::Unload => UNLOAD_TIME,
                OrderAction::Load if self.loaded.len() >= MODEL_CAPACITY => return None,
                OrderAction::Load if self.free_bytes() < MODEL_BYTES => return None,
                OrderAction::Load if self.failing.contains(&model) => FAILURE_TIME,
                OrderAction::Load => self.load_time(&model),
            };
            self.is_loading_from_store =
                order.action == OrderAction::Load && self.is_store_load(&model);
            self.open = Some((model, order.action, now + time));
        }
        self.sequence += 1;
        Some(OrderReply::Accepted)
    }

    fn adapters(&mut self, model: &ModelId) -> &mut BTreeSet<String> {
        self.loaded.entry(model.clone()).or_default()
    }

    fn free_bytes(&self) -> u64 {
        let adapters: usize = self.loaded.values().map(BTreeSet::len).sum();
        let models = self.loaded.len() as u64 * MODEL_BYTES;
        ENGINE_BYTES - models - adapters as u64 * self.adapter_bytes
    }

    /// Returns whether a load of `model` would fetch it from the weight store.
    pub(crate) fn is_store_load(&self, model: &ModelId) -> bool {
        self.load_time(model) == STORE_LOAD_TIME
    }

    /// Returns whether it is fetching weights from the weight store.
    pub(crate) fn is_loading_from_store(&self) -> bool {
        self.open.is_some() && self.is_loading_from_store
    }

    /// Starts an order that no hub knows of and that lasts for `span`.
    pub(crate) fn start_unknown_order(&mut self, span: TimeSpan, now: MonoTime) {
        let model = super::model(0);
        self.open = Some((model, OrderAction::Unload, now + span));
    }

    /// Delays the end of the open order.
    pub(crate) fn delay_order(&mut self, span: TimeSpan) {
        if let Some((_, _, end)) = &mut self.open {
            *end = *end + span;
        }
    }

    /// Returns whether `model` is loaded and no order is changing it.
    pub(crate) fn serves(&self, model: &ModelId) -> bool {
        let is_changing = self.open.as_ref().is_some_and(|(open, ..)| open == model);
        self.loaded.contains_key(model) && !is_changing
    }

    /// Runs one tick, which ends at `now`.
    pub(crate) fn tick(&mut self, now: MonoTime) -> TickEvents {
        self.finish(now);
        let mut events = TickEvents::default();
        let mut prefill_budget = PREFILL_TOKENS_PER_TICK;
        for request in self.requests.iter_mut().take(BATCH_SLOTS) {
            let prefilled = request.pending_prefill.min(prefill_budget);
            request.pending_prefill -= prefilled;
            prefill_budget -= prefilled;
            if request.pending_prefill > 0.0 {
                continue;
            }
            if !std::mem::replace(&mut request.has_first_token, true) {
                events.first_tokens.push(request.id);
                self.held_prefixes.insert(request.model.clone());
            }
            request.pending_decode -= DECODE_TOKENS_PER_TICK;
            if request.pending_decode <= 0.0 {
                events.ended.push(request.id);
            }
        }
        self.requests.retain(|request| !events.ended.contains(&request.id));
        events
    }

    /// Returns a report of the current state.
    pub(crate) fn report(&self) -> EngineStateReport {
        let loaded = self.loaded.iter().map(|(id, adapters)| LoadedModel {
            id: id.clone(),
            adapters: adapters.iter().map(|name| name.parse().unwrap()).collect(),
        });
        EngineStateReport {
            sequence: SequenceNumber::new(self.sequence),
            is_busy: self.open.is_some(),
            models: EngineModels {
                loaded: loaded.collect(),
                in_host_memory: self.in_host_memory.clone(),
                on_disk: self.on_disk.clone(),
            },
            incoming: Vec::new(),
        }
    }

    fn load_time(&self, model: &ModelId) -> TimeSpan {
        if self.in_host_memory.contains(model) {
            HOST_LOAD_TIME
        } else if self.on_disk.contains(model) {
            DISK_LOAD_TIME
        } else {
            STORE_LOAD_TIME
        }
    }

    fn finish(&mut self, now: MonoTime) {
        let due = |(_, _, end): &mut (ModelId, OrderAction, MonoTime)| *end <= now + TICK;
        let Some((model, action, end)) = self.open.take_if(due) else { return };
        if action == OrderAction::Unload {
            if self.requests.iter().any(|request| request.model == model) {
                // An unload waits for the requests of its model.
                self.open = Some((model, action, end));
                return;
            }
            self.loaded.remove(&model);
            self.held_prefixes.remove(&model);
            return;
        }
        if self.failing.contains(&model) {
            return;
        }
        self.in_host_memory.retain(|other| *other != model);
        self.in_host_memory.push(model.clone());
        if self.in_host_memory.len() > HOST_MODEL_CAPACITY {
            self.in_host_memory.remove(0);
        }
        if !self.on_disk.contains(&model) {
            self.on_disk.push(model.clone());
        }
        self.loaded.insert(model, BTreeSet::new());
    }
}
