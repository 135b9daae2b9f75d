//! Orders that a replica accepts, and the models that it has loaded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::ReplicaSettings;

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OrderOutcome {
    /// The replica responds with this status.
    Response(u16),
    /// The order exceeds the memory or the adapter slots, and the replica crashes.
    Crash(String),
}

#[derive(Clone, Debug)]
struct OpenOrder {
    model: String,
    is_load: bool,
    until: Instant,
}

/// State of a replica: its loaded models, the open order, the number of orders that changed the
/// state and the highest fencing number.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaState {
    loaded: BTreeMap<String, BTreeSet<String>>,
    open: Option<OpenOrder>,
    sequence: u64,
    fence: u64,
}

impl ReplicaState {
    /// Creates the state of a replica that starts now.
    pub(crate) fn new(settings: &ReplicaSettings) -> Self {
        let names = settings.holds.split(',').filter(|name| !name.is_empty());
        let loaded = names.map(|name| (name.to_owned(), BTreeSet::new()));
        Self { loaded: loaded.collect(), ..Self::default() }
    }

    /// Returns whether a request for `target` can run: `MODEL` or `MODEL/ADAPTER`.
    pub(crate) fn can_run(&mut self, target: &str, now: Instant) -> bool {
        self.complete_due_order(now);
        let (model, adapter) = split_target(target);
        let is_leaving =
            self.open.as_ref().is_some_and(|open| !open.is_load && open.model == model);
        let adapters = self.loaded.get(model).filter(|_| !is_leaving);
        adapters.is_some_and(|adapters| adapter.is_none_or(|adapter| adapters.contains(adapter)))
    }

    /// Checks an order and carries it out; a load or an unload of a model finishes later.
    pub(crate) fn handle_order(
        &mut self,
        order: &Value,
        settings: &ReplicaSettings,
        now: Instant,
    ) -> OrderOutcome {
        self.complete_due_order(now);
        let number = |name: &str| order.get(name).and_then(Value::as_u64);
        let text = |name: &str| order.get(name).and_then(Value::as_str);
        let (Some(fence), Some(operation), Some(model), Some(_)) =
            (number("fencing_token"), text("operation"), text("model"), text("holder"))
        else {
            return OrderOutcome::Response(400);
        };
        if fence < self.fence {
            return OrderOutcome::Response(412);
        }
        self.fence = fence;
        let has_wrong_sequence =
            number("expected").is_some_and(|expected| expected != self.sequence);
        if self.open.is_some() || has_wrong_sequence {
            return OrderOutcome::Response(409);
        }
        match (operation, text("adapter")) {
            ("load", Some(adapter)) => self.load_adapter(model, adapter, settings),
            ("unload", Some(adapter)) => self.unload_adapter(model, adapter),
            ("load", None) => self.load_model(model, settings, now),
            ("unload", None) => self.unload_model(model, now),
            _ => OrderOutcome::Response(400),
        }
    }

    /// Returns the engine report of the replica.
    pub(crate) fn report(&mut self, incarnation: u64, now: Instant) -> Value {
        self.complete_due_order(now);
        let mut report = self.loaded_models(now);
        report["busy"] = json!(self.open.is_some());
        report["sequence"] = json!(self.sequence);
        report["incoming"] = json!([]);
        report["born"] = json!(incarnation);
        report
    }

    /// Returns the loaded models and their adapters.
    pub(crate) fn loaded_models(&mut self, now: Instant) -> Value {
        self.complete_due_order(now);
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
            return OrderOutcome::Response(200);
        }
        let size = settings.model_size;
        let needed = (self.loaded.len() as u64 + 1) * size;
        if needed > settings.memory {
            return OrderOutcome::Crash(format!("{needed} MB of {}", settings.memory));
        }
        self.begin_order(model, true, now + Duration::from(settings.load_time))
    }

    fn unload_model(&mut self, model: &str, now: Instant) -> OrderOutcome {
        if !self.loaded.contains_key(model) {
            return OrderOutcome::Response(200);
        }
        self.begin_order(model, false, now)
    }

    fn begin_order(&mut self, model: &str, is_load: bool, until: Instant) -> OrderOutcome {
        self.sequence += 1;
        self.open = Some(OpenOrder { model: model.to_owned(), is_load, until });
        OrderOutcome::Response(202)
    }

    fn load_adapter(
        &mut self,
        model: &str,
        adapter: &str,
        settings: &ReplicaSettings,
    ) -> OrderOutcome {
        let count: usize = self.loaded.values().map(BTreeSet::len).sum();
        let Some(adapters) = self.loaded.get_mut(model) else { return OrderOutcome::Response(400) };
        if adapters.contains(adapter) {
            return OrderOutcome::Response(200);
        }
        if count >= settings.adapter_slots {
            return OrderOutcome::Crash(format!("{} adapters", count + 1));
        }
        adapters.insert(adapter.to_owned());
        self.sequence += 1;
        OrderOutcome::Response(202)
    }

    fn unload_adapter(&mut self, model: &str, adapter: &str) -> OrderOutcome {
        let adapters = self.loaded.get_mut(model);
        if adapters.is_some_and(|adapters| adapters.remove(adapter)) {
            self.sequence += 1;
        }
        OrderOutcome::Response(200)
    }

    fn complete_due_order(&mut self, now: Instant) {
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
