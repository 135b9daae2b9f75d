//! Orders to a replica, and what it holds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::ReplicaSettings;

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OrderOutcome {
    /// Answered with this status.
    Answer(u16),
    /// The replica was ordered to hold more than it can, and crashes.
    Crash(String),
}

#[derive(Clone, Debug)]
struct OpenLoad {
    model: String,
    is_load: bool,
    until: Instant,
}

/// Account of a replica: its models, the orders that it has accepted, and the fence.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaOrders {
    loaded: BTreeMap<String, BTreeSet<String>>,
    open: Option<OpenLoad>,
    sequence: u64,
    fence: u64,
}

impl ReplicaOrders {
    /// Creates the account at the start of a replica.
    pub(crate) fn new(settings: &ReplicaSettings) -> Self {
        let names = settings.holds.split(',').filter(|name| !name.is_empty());
        let loaded = names.map(|name| (name.to_owned(), BTreeSet::new()));
        Self { loaded: loaded.collect(), ..Self::default() }
    }

    /// Tells whether requests for `target`, a model or a model and an adapter, can run.
    pub(crate) fn holds(&mut self, target: &str, now: Instant) -> bool {
        self.finish(now);
        let (model, adapter) = split_target(target);
        let is_leaving =
            self.open.as_ref().is_some_and(|open| !open.is_load && open.model == model);
        let adapters = self.loaded.get(model).filter(|_| !is_leaving);
        adapters.is_some_and(|adapters| adapter.is_none_or(|adapter| adapters.contains(adapter)))
    }

    /// Takes an order.
    pub(crate) fn take_order(
        &mut self,
        order: &Value,
        settings: &ReplicaSettings,
        now: Instant,
    ) -> OrderOutcome {
        self.finish(now);
        let number = |name: &str| order.get(name).and_then(Value::as_u64);
        let text = |name: &str| order.get(name).and_then(Value::as_str);
        let (Some(fence), Some(operation), Some(model), Some(_)) =
            (number("fencing_token"), text("operation"), text("model"), text("holder"))
        else {
            return OrderOutcome::Answer(400);
        };
        if fence < self.fence {
            return OrderOutcome::Answer(412);
        }
        self.fence = fence;
        let is_out_of_turn = number("expected").is_some_and(|expected| expected != self.sequence);
        if self.open.is_some() || is_out_of_turn {
            return OrderOutcome::Answer(409);
        }
        match (operation, text("adapter")) {
            ("load", Some(adapter)) => self.load_adapter(model, adapter, settings),
            ("unload", Some(adapter)) => self.unload_adapter(model, adapter),
            ("load", None) => self.load_model(model, settings, now),
            ("unload", None) => self.unload_model(model, now),
            _ => OrderOutcome::Answer(400),
        }
    }

    /// Returns the report of the replica.
    pub(crate) fn report(&mut self, born: u64, now: Instant) -> Value {
        self.finish(now);
        let mut report = self.holdings(now);
        report["busy"] = json!(self.open.is_some());
        report["sequence"] = json!(self.sequence);
        report["incoming"] = json!([]);
        report["born"] = json!(born);
        report
    }

    /// Returns what the replica holds.
    pub(crate) fn holdings(&mut self, now: Instant) -> Value {
        self.finish(now);
        let models = self
            .loaded
            .iter()
            .map(|(name, adapters)| json!({ "name": name, "version": 1, "adapters": adapters }));
        let names: Vec<&String> = self.loaded.keys().collect();
        json!({
            "models": models.collect::<Vec<Value>>(),
            "available": { "in_memory": names, "on_disk": [] },
        })
    }

    fn load_model(
        &mut self,
        model: &str,
        settings: &ReplicaSettings,
        now: Instant,
    ) -> OrderOutcome {
        if self.loaded.contains_key(model) {
            return OrderOutcome::Answer(200);
        }
        let size = settings.model_size;
        let needed = (self.loaded.len() as u64 + 1) * size;
        if needed > settings.memory {
            return OrderOutcome::Crash(format!("{needed} MB of {}", settings.memory));
        }
        self.begin(model, true, now + Duration::from(settings.load_time))
    }

    fn unload_model(&mut self, model: &str, now: Instant) -> OrderOutcome {
        if !self.loaded.contains_key(model) {
            return OrderOutcome::Answer(200);
        }
        self.begin(model, false, now)
    }

    fn begin(&mut self, model: &str, is_load: bool, until: Instant) -> OrderOutcome {
        self.sequence += 1;
        self.open = Some(OpenLoad { model: model.to_owned(), is_load, until });
        OrderOutcome::Answer(202)
    }

    fn load_adapter(
        &mut self,
        model: &str,
        adapter: &str,
        settings: &ReplicaSettings,
    ) -> OrderOutcome {
        let count: usize = self.loaded.values().map(BTreeSet::len).sum();
        let Some(adapters) = self.loaded.get_mut(model) else { return OrderOutcome::Answer(400) };
        if adapters.contains(adapter) {
            return OrderOutcome::Answer(200);
        }
        if count >= settings.adapter_slots {
            return OrderOutcome::Crash(format!("{} adapters", count + 1));
        }
        adapters.insert(adapter.to_owned());
        self.sequence += 1;
        OrderOutcome::Answer(202)
    }

    fn unload_adapter(&mut self, model: &str, adapter: &str) -> OrderOutcome {
        let adapters = self.loaded.get_mut(model);
        if adapters.is_some_and(|adapters| adapters.remove(adapter)) {
            self.sequence += 1;
        }
        OrderOutcome::Answer(200)
    }

    fn finish(&mut self, now: Instant) {
        let Some(open) = self.open.take_if(|open| open.until <= now) else { return };
        match open.is_load {
            true => {
                self.loaded.insert(open.model, BTreeSet::new());
            }
            false => {
                self.loaded.remove(&open.model);
            }
        }
    }
}

fn split_target(target: &str) -> (&str, Option<&str>) {
    match target.split_once('/') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (target, None),
    }
}
