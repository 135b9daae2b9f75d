//! A model of one engine: it batches requests, reads prompts between the tokens of others, keeps
//! weights in memory and on disk, and carries orders out one at a time.

use std::collections::{BTreeMap, BTreeSet};

use gentian_core::{ModelId, MonoTime, RequestId, SequenceNumber, TimeSpan};
use gentian_decide::orders::{EngineOrder, EngineStateReport, OrderAction, OrderReply};
use gentian_decide::serving::{EngineModels, LoadedModel};

use super::{DISK_LOAD, HOST_LOAD, STORE_LOAD, TICK};

/// Models that an engine holds at the same time.
pub(crate) const PLACES: usize = 3;
/// Adapters that an engine holds at the same time.
pub(crate) const ADAPTER_SLOTS: usize = 8;
/// Requests in one batch.
pub(crate) const SLOTS: usize = 64;
/// Models whose weights stay in host memory.
const HOST_PLACES: usize = 2;
/// Prompt tokens that are read, and tokens of each request that are generated, in one tick.
const READ_TOKENS: f64 = 408.0;
const MADE_TOKENS: f64 = 1.9;
/// Time that an unload takes.
const UNLOAD: TimeSpan = TimeSpan::from_millis(60);

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineRequest {
    /// Identifies the request.
    pub(crate) id: RequestId,
    /// What it needs.
    pub(crate) model: ModelId,
    /// Prompt tokens that are not read yet.
    pub(crate) unread: f64,
    /// Tokens that are not made yet.
    pub(crate) unmade: f64,
    /// Whether its first token was made.
    pub(crate) has_begun: bool,
}

/// One engine as it really is.
#[derive(Clone, Default)]
pub(crate) struct ModelEngine {
    /// Orders that were accepted.
    pub(crate) sequence: u64,
    /// Models with their adapters.
    pub(crate) loaded: BTreeMap<ModelId, BTreeSet<String>>,
    /// Models on disk.
    pub(crate) on_disk: Vec<ModelId>,
    /// Models in host memory, the newest last.
    pub(crate) in_host: Vec<ModelId>,
    /// Requests in the order of their arrival.
    pub(crate) requests: Vec<EngineRequest>,
    open: Option<(ModelId, OrderAction, MonoTime)>,
}

/// What a tick brought.
#[derive(Default)]
pub(crate) struct TickNews {
    /// Requests whose first token was made.
    pub(crate) begun: Vec<RequestId>,
    /// Requests that ended.
    pub(crate) ended: Vec<RequestId>,
}

impl ModelEngine {
    /// Takes an order; `None` with a load beyond what it holds.
    pub(crate) fn take_order(&mut self, order: &EngineOrder, now: MonoTime) -> Option<OrderReply> {
        if order.expected.get() != self.sequence {
            return Some(OrderReply::Conflict);
        }
        let model = order.target.model.clone();
        if let Some(adapter) = &order.target.adapter {
            let count: usize = self.loaded.values().map(BTreeSet::len).sum();
            let Some(adapters) = self.loaded.get_mut(&model) else {
                return Some(OrderReply::Refused);
            };
            match order.action {
                OrderAction::Load if count >= ADAPTER_SLOTS => return None,
                OrderAction::Load => adapters.insert(adapter.to_string()),
                OrderAction::Unload => adapters.remove(adapter.as_str()),
            };
        } else {
            if self.open.is_some() {
                return Some(OrderReply::Conflict);
            }
            let time = match order.action {
                OrderAction::Unload => UNLOAD,
                OrderAction::Load if self.loaded.len() >= PLACES => return None,
                OrderAction::Load => self.load_time(&model),
            };
            self.open = Some((model, order.action, now + time));
        }
        self.sequence += 1;
        Some(OrderReply::Accepted)
    }

    /// Tells whether a load of `model` would read from the weight store.
    pub(crate) fn is_store_load(&self, model: &ModelId) -> bool {
        self.load_time(model) == STORE_LOAD
    }

    /// Tells whether a model that no order changes is there.
    pub(crate) fn serves(&self, model: &ModelId) -> bool {
        let is_changing = self.open.as_ref().is_some_and(|(open, ..)| open == model);
        self.loaded.contains_key(model) && !is_changing
    }

    /// Runs until `now`, for one tick.
    pub(crate) fn tick(&mut self, now: MonoTime) -> TickNews {
        self.finish(now);
        let mut news = TickNews::default();
        let mut to_read = READ_TOKENS;
        for request in self.requests.iter_mut().take(SLOTS) {
            let read = request.unread.min(to_read);
            request.unread -= read;
            to_read -= read;
            if request.unread > 0.0 {
                continue;
            }
            if !std::mem::replace(&mut request.has_begun, true) {
                news.begun.push(request.id);
            }
            request.unmade -= MADE_TOKENS;
            if request.unmade <= 0.0 {
                news.ended.push(request.id);
            }
        }
        self.requests.retain(|request| !news.ended.contains(&request.id));
        news
    }

    /// Reports what it holds now.
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
                in_host: self.in_host.clone(),
                on_disk: self.on_disk.clone(),
            },
            incoming: Vec::new(),
        }
    }

    fn load_time(&self, model: &ModelId) -> TimeSpan {
        if self.in_host.contains(model) {
            HOST_LOAD
        } else if self.on_disk.contains(model) {
            DISK_LOAD
        } else {
            STORE_LOAD
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
            return;
        }
        self.in_host.retain(|other| *other != model);
        self.in_host.push(model.clone());
        if self.in_host.len() > HOST_PLACES {
            self.in_host.remove(0);
        }
        if !self.on_disk.contains(&model) {
            self.on_disk.push(model.clone());
        }
        self.loaded.insert(model, BTreeSet::new());
    }
}
