//! Check of the references between objects, and of digests, names and paths that must be unique.

use std::fmt::Display;

use crate::config_parser::ObjectIndex;
use crate::{ConfigFault, ConfigSet, RouteAccess, RouteSpec};

/// An object named in a fault message.
struct ObjectRef {
    kind: &'static str,
    name: String,
}

impl ObjectRef {
    fn new(kind: &'static str, name: impl Display) -> Self {
        Self { kind, name: name.to_string() }
    }
}

/// Collects the faults of dangling references.
struct ReferenceFaults<'a> {
    index: &'a ObjectIndex,
    faults: Vec<ConfigFault>,
}

impl ReferenceFaults<'_> {
    /// Adds a fault unless the object that `from` refers to is known.
    fn require(&mut self, is_known: bool, from: ObjectRef, to: ObjectRef) {
        if is_known {
            return;
        }
        let is_withdrawn = self.index.is_withdrawn(to.kind, &to.name);
        let state = if is_withdrawn { "withdrawn" } else { "missing" };
        let message =
            format!("{} {} refers to the {state} {} {}", from.kind, from.name, to.kind, to.name);
        self.faults.push(ConfigFault::new(self.index.line(from.kind, &from.name), message));
    }
}

/// Returns a fault for each reference to a missing or withdrawn object, for each upstream of
/// another kind than its route's, for each adapter with the name of a model, and for each key
/// digest and route path that is not unique.
pub(crate) fn check_set(set: &ConfigSet, index: &ObjectIndex) -> Vec<ConfigFault> {
    let mut found = ReferenceFaults { index, faults: Vec::new() };
    for key in set.keys.values() {
        let is_known = set.organisations.contains_key(&key.organisation);
        let to = ObjectRef::new("organisation", &key.organisation);
        found.require(is_known, ObjectRef::new("key", &key.id), to);
    }
    for adapter in set.adapters.values() {
        let is_known = set.models.contains_key(&adapter.base);
        let to = ObjectRef::new("model", &adapter.base);
        found.require(is_known, ObjectRef::new("adapter", &adapter.id), to);
    }
    for upstream in set.upstreams.values() {
        let is_known = set.domains.contains_key(&upstream.domain);
        let to = ObjectRef::new("domain", &upstream.domain);
        found.require(is_known, ObjectRef::new("upstream", &upstream.id), to);
    }
    set.routes.values().for_each(|route| check_route(set, route, &mut found));
    let mut faults = found.faults;
    faults.extend(check_kinds(set, index));
    faults.extend(check_duplicates(set, index));
    faults
}

fn check_route(set: &ConfigSet, route: &RouteSpec, found: &mut ReferenceFaults<'_>) {
    let from = || ObjectRef::new("route", &route.id);
    for upstream in &route.upstreams {
        let is_known = set.upstreams.contains_key(upstream);
        found.require(is_known, from(), ObjectRef::new("upstream", upstream));
    }
    for model in &route.models {
        let is_known = set.models.contains_key(model);
        found.require(is_known, from(), ObjectRef::new("model", model));
    }
    if let RouteAccess::Organisations(organisations) = &route.access {
        for organisation in organisations {
            let is_known = set.organisations.contains_key(organisation);
            found.require(is_known, from(), ObjectRef::new("organisation", organisation));
        }
    }
}

fn check_kinds(set: &ConfigSet, index: &ObjectIndex) -> Vec<ConfigFault> {
    let mut faults = Vec::new();
    for route in set.routes.values() {
        let upstreams = route.upstreams.iter().filter_map(|id| set.upstreams.get(id));
        for upstream in upstreams.filter(|upstream| upstream.kind != route.kind) {
            let message = format!(
                "route {} is for {} upstreams, but upstream {} is of another kind",
                route.id, route.kind, upstream.id
            );
            faults.push(ConfigFault::new(index.line("route", &route.id), message));
        }
    }
    faults
}

fn check_duplicates(set: &ConfigSet, index: &ObjectIndex) -> Vec<ConfigFault> {
    let mut faults = Vec::new();
    for key in set.keys.values().filter(|key| set.key_ids.get(&key.digest) != Some(&key.id)) {
        let message = format!("key {} has the digest of another key", key.id);
        faults.push(ConfigFault::new(index.line("key", &key.id), message));
    }
    for adapter in set.adapters.values() {
        let is_model = set.models.keys().any(|model| model.as_str() == adapter.id.as_str());
        if is_model {
            let message = format!("adapter {} has the name of a model", adapter.id);
            faults.push(ConfigFault::new(index.line("adapter", &adapter.id), message));
        }
    }
    let routes: Vec<&RouteSpec> = set.routes.values().collect();
    for (i, route) in routes.iter().enumerate() {
        if routes[..i].iter().any(|other| other.path_prefix == route.path_prefix) {
            let message = format!("route {} has the path of another route", route.id);
            faults.push(ConfigFault::new(index.line("route", &route.id), message));
        }
    }
    faults
}
