//! The whole set of configured objects.

use std::collections::BTreeMap;

use gentian_core::{
    AdapterId, ByteSize, DomainId, FastMap, KeyDigest, KeyId, ModelId, OrganisationId, RouteId,
    UpstreamId,
};

use crate::{
    AdapterSpec, DomainSpec, DomainState, FleetSpec, KeySpec, ModelSpec, OrganisationSpec,
    RouteSpec, UpstreamSpec,
};

/// Base model and adapter to which a caller's model name refers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelMatch {
    /// Base model.
    pub model: ModelId,
    /// Adapter on the base model, if the name is that of an adapter.
    pub adapter: Option<AdapterId>,
}

/// All configured objects; every reference between them has been checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigSet {
    /// Limits of the weight store and the number of share seats.
    pub fleet: FleetSpec,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationId, OrganisationSpec>,
    /// Keys by name.
    pub keys: BTreeMap<KeyId, KeySpec>,
    /// Base models by name.
    pub models: BTreeMap<ModelId, ModelSpec>,
    /// Adapters by name.
    pub adapters: BTreeMap<AdapterId, AdapterSpec>,
    /// Failure domains by name.
    pub domains: BTreeMap<DomainId, DomainSpec>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamId, UpstreamSpec>,
    /// Routes by name.
    pub routes: BTreeMap<RouteId, RouteSpec>,
    pub(crate) key_ids: FastMap<KeyDigest, KeyId>,
}

impl ConfigSet {
    /// Returns the key with `digest`.
    pub fn find_key(&self, digest: &KeyDigest) -> Option<&KeySpec> {
        self.key_ids.get(digest).and_then(|id| self.keys.get(id))
    }

    /// Returns the route with the longest prefix that serves `path`.
    pub fn find_route(&self, path: &str) -> Option<&RouteSpec> {
        let routes = self.routes.values().filter(|route| route.serves_path(path));
        routes.max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the model and adapter to which `name` refers, if `route` offers that model.
    pub fn find_model(&self, route: &RouteSpec, name: &str) -> Option<ModelMatch> {
        let adapter = name.parse().ok().and_then(|id: AdapterId| self.adapters.get(&id));
        let found = match adapter {
            Some(spec) => ModelMatch { model: spec.base.clone(), adapter: Some(spec.id.clone()) },
            None => ModelMatch { model: name.parse().ok()?, adapter: None },
        };
        route.models.contains(&found.model).then_some(found)
    }

    /// Returns whether the failure domain of `upstream` takes new work.
    pub fn is_serving(&self, upstream: &UpstreamSpec) -> bool {
        let domain = self.domains.get(&upstream.domain);
        domain.is_some_and(|domain| domain.state == DomainState::Serving)
    }

    /// Returns the memory that `adapter` occupies, or that `model` occupies if there is no adapter.
    pub fn memory_of(&self, model: &ModelId, adapter: Option<&AdapterId>) -> Option<ByteSize> {
        match adapter {
            Some(id) => self.adapters.get(id).map(|spec| spec.memory),
            None => self.models.get(model).map(|spec| spec.memory),
        }
    }

    /// Returns the number of configured objects.
    pub fn object_count(&self) -> usize {
        self.organisations.len()
            + self.keys.len()
            + self.models.len()
            + self.adapters.len()
            + self.domains.len()
            + self.upstreams.len()
            + self.routes.len()
    }
}
