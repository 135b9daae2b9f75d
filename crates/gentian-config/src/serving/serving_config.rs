//! A whole configuration of a serving fleet.

use std::sync::Arc;

use gentian_core::{ConfigVersion, FastMap, KeyDigest, OrganisationId, ServiceId};

use super::{CallerLimits, ServiceSpec, ServingOrganisation, ServingRoute};

/// The whole configuration of a serving fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServingConfig {
    /// Version of the configuration; versions only increase.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<Arc<ServingRoute>>,
    /// Services by name.
    pub services: FastMap<ServiceId, Arc<ServiceSpec>>,
    /// Organisations by name.
    pub organisations: FastMap<OrganisationId, Arc<ServingOrganisation>>,
    /// Organisations by the digest of their keys.
    pub keys: FastMap<KeyDigest, OrganisationId>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
}

impl ServingConfig {
    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<ServingRoute>> {
        let serves = |route: &&Arc<ServingRoute>| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(route.path_prefix.as_str())
        };
        self.routes.iter().filter(serves).max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the organisation that owns the key with this digest.
    pub fn find_organisation(&self, digest: &KeyDigest) -> Option<&Arc<ServingOrganisation>> {
        self.organisations.get(self.keys.get(digest)?)
    }

    /// Returns whether callers need keys at all.
    pub fn requires_keys(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Lists the routes without a service, and the references to services and organisations that
    /// are not configured.
    pub fn check_references(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for route in &self.routes {
            if route.services.is_empty() {
                faults.push(format!("route '{}' has no service", route.id));
            }
            let services = route.services.iter().map(|item| &item.service);
            for service in services.filter(|service| !self.services.contains_key(*service)) {
                faults.push(format!("route '{}' names the unknown service '{service}'", route.id));
            }
        }
        for organisation in self.keys.values().filter(|id| !self.organisations.contains_key(*id)) {
            faults.push(format!("a key names the unknown organisation '{organisation}'"));
        }
        faults
    }
}
